#include "net/openai/json_reader.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "net/openai/errors.hpp"

namespace bankmux::net::openai {

using nlohmann::json;

namespace {

// Limit for the JSON library's message, which may quote megabytes of input.
constexpr std::size_t kBytesPerValue = 160;  // of a member of a small object, with its key
constexpr std::size_t kMaxMessageBytes = 160;

[[noreturn]] void throw_invalid_json(const std::string& why) {
  throw RequestError{"the body is not sound JSON: " + why, "", 400, "invalid_json"};
}

// The library's message without its prefix, such as "[json.exception.parse_error.101]", which has no meaning
// for a client.
std::string parser_message(const json::exception& problem) {
  std::string text = problem.what();
  if (const std::size_t end = text.find("] "); end != std::string::npos) text.erase(0, end + 2);
  if (text.size() > kMaxMessageBytes) text = text.substr(0, kMaxMessageBytes) + "...";
  return text;
}

// The keys of one object. Most objects have few keys, for which a list is faster than a tree.
class ObjectKeys {
 public:
  // False if the key is present already.
  bool add(const std::string& key) {
    if (!set_.empty()) return set_.insert(key).second;
    if (std::ranges::count(list_, key) > 0) return false;
    list_.push_back(key);
    if (list_.size() > kMaxListKeys) set_.insert(list_.begin(), list_.end());
    return true;
  }

 private:
  static constexpr std::size_t kMaxListKeys = 16;
  std::vector<std::string> list_;
  std::set<std::string> set_;
};

// Checks the limits and duplicate keys at each parse event, before the value is stored.
class LimitChecker {
 public:
  explicit LimitChecker(const JsonLimits& limits) : limits_(limits) {}
  bool operator()(int depth, json::parse_event_t event, const json& parsed) {
    using Event = json::parse_event_t;
    if (event == Event::key) {
      const auto& key = parsed.get_ref<const std::string&>();
      if (!open_.back().add(key)) throw_invalid_json("the key '" + key.substr(0, 64) + "' is there twice");
      return true;
    }
    if (event == Event::object_end) {
      open_.pop_back();
      return true;
    }
    if (event == Event::array_end) return true;
    if (++values_ > limits_.values)
      throw_invalid_json("it holds more than " + std::to_string(limits_.values) + " values");
    if (depth >= limits_.depth && event != Event::value) {
      throw_invalid_json("it nests deeper than " + std::to_string(limits_.depth) + " levels");
    }
    if (event == Event::object_start) open_.emplace_back();
    return true;
  }

 private:
  JsonLimits limits_;
  std::size_t values_ = 0;
  std::vector<ObjectKeys> open_;  // of the enclosing objects
};

}  // namespace

JsonLimits json_limits(std::size_t bytes) {
  JsonLimits limits;
  limits.values = std::min(limits.values, bytes / kBytesPerValue);
  return limits;
}

json read_json(std::string_view text, const JsonLimits& limits) {
  json body;
  try {
    LimitChecker checker(limits);
    body = json::parse(text, std::ref(checker));
  } catch (const json::exception& problem) {
    throw_invalid_json(parser_message(problem));
  }
  if (!body.is_object()) throw RequestError{"the body is not a JSON object", "", 400, "invalid_json"};
  return body;
}

}  // namespace bankmux::net::openai
