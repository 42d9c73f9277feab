#include "net/openai/json_reader.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "net/openai/errors.hpp"

namespace bankmux::net::openai {

using nlohmann::json;

namespace {

constexpr std::size_t kMostWords = 160;  // of the library's complaint, which may quote a text of megabytes

[[noreturn]] void not_json(const std::string& why) {
  throw RequestError{"the body is not sound JSON: " + why, "", 400, "invalid_json"};
}

// "[json.exception.parse_error.101] parse error at ...": without what means nothing to a client.
std::string complaint(const json::exception& problem) {
  std::string text = problem.what();
  if (const std::size_t end = text.find("] "); end != std::string::npos) text.erase(0, end + 2);
  if (text.size() > kMostWords) text = text.substr(0, kMostWords) + "...";
  return text;
}

// The keys of one object. Most have a few, and a list of these is quicker than a tree.
class Keys {
 public:
  // False where it is there already.
  bool add(const std::string& key) {
    if (!many_.empty()) return many_.insert(key).second;
    if (std::ranges::count(few_, key) > 0) return false;
    few_.push_back(key);
    if (few_.size() > kFew) many_.insert(few_.begin(), few_.end());
    return true;
  }

 private:
  static constexpr std::size_t kFew = 16;
  std::vector<std::string> few_;
  std::set<std::string> many_;
};

// Looks at each event of the parse before anything is kept of it.
class Guard {
 public:
  explicit Guard(const JsonLimits& limits) : limits_(limits) {}
  bool operator()(int depth, json::parse_event_t event, const json& parsed) {
    using Event = json::parse_event_t;
    if (event == Event::key) {
      const auto& key = parsed.get_ref<const std::string&>();
      if (!open_.back().add(key)) not_json("the key '" + key.substr(0, 64) + "' is there twice");
      return true;
    }
    if (event == Event::object_end) {
      open_.pop_back();
      return true;
    }
    if (event == Event::array_end) return true;
    if (++values_ > limits_.values)
      not_json("it holds more than " + std::to_string(limits_.values) + " values");
    if (depth >= limits_.depth && event != Event::value) {
      not_json("it nests deeper than " + std::to_string(limits_.depth) + " levels");
    }
    if (event == Event::object_start) open_.emplace_back();
    return true;
  }

 private:
  JsonLimits limits_;
  std::size_t values_ = 0;
  std::vector<Keys> open_;  // of the objects that are open
};

}  // namespace

json read_json(std::string_view text, const JsonLimits& limits) {
  json body;
  try {
    Guard guard(limits);
    body = json::parse(text, std::ref(guard));
  } catch (const json::exception& problem) {
    not_json(complaint(problem));
  }
  if (!body.is_object()) throw RequestError{"the body is not a JSON object", "", 400, "invalid_json"};
  return body;
}

}  // namespace bankmux::net::openai
