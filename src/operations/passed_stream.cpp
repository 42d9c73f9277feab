#include "operations/passed_stream.hpp"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>
#include <vector>

namespace bankmux::operations {

using nlohmann::json;

namespace {

constexpr int kFormat = 1;
constexpr std::size_t kMostName = 128;
constexpr std::size_t kMostBox = 256;
constexpr std::int64_t kMostIndex = 100'000;       // classes and tenants
constexpr std::int64_t kMostTokens = 100'000'000;  // of a prompt
constexpr std::int64_t kMostAttempts = 1'000'000;
constexpr std::int64_t kMostTime = 86'400LL * 1'000'000;  // microseconds

json bytes(const std::string& text) {
  return json::binary(std::vector<std::uint8_t>(text.begin(), text.end()));
}

struct Unreadable {};

class Reader {
 public:
  explicit Reader(const json& object) : object_(object) {
    if (!object.is_object()) throw Unreadable{};
  }
  [[nodiscard]] std::int64_t whole(const char* name, std::int64_t least, std::int64_t most) const {
    const json& value = member(name);
    if (!value.is_number_integer()) throw Unreadable{};
    if (value.is_number_unsigned() && value.get<std::uint64_t>() > std::uint64_t(most)) throw Unreadable{};
    const auto number = value.get<std::int64_t>();
    if (number < least || number > most) throw Unreadable{};
    return number;
  }
  [[nodiscard]] std::string text(const char* name, std::size_t most) const {
    const json& value = member(name);
    if (!value.is_string()) throw Unreadable{};
    auto result = value.get<std::string>();
    if (result.empty() || result.size() > most) throw Unreadable{};
    return result;
  }
  [[nodiscard]] std::string binary(const char* name) const {
    const json& value = member(name);
    if (!value.is_binary()) throw Unreadable{};
    return {value.get_binary().begin(), value.get_binary().end()};
  }

 private:
  [[nodiscard]] const json& member(const char* name) const {
    const auto it = object_.find(name);
    if (it == object_.end()) throw Unreadable{};
    return *it;
  }
  const json& object_;
};

}  // namespace

std::string encode(const std::string& name, const core::RunningStream& stream) {
  const eiderarch::RequestArrived& facts = stream.ask.facts;
  std::string message;
  json::to_cbor({{"format", kFormat},
                 {"name", name},
                 {"class", facts.request_class},
                 {"tenant", facts.tenant},
                 {"prompt", facts.prompt_tokens},
                 {"box", stream.box},
                 {"attempts", stream.attempts},
                 {"age", stream.age.count()},
                 {"first", stream.first.count()},
                 {"client", bytes(stream.client.state)},
                 {"instance", bytes(stream.instance.state)}},
                message);
  return message.size() > kMostMessage ? std::string() : message;
}

std::optional<PassedStream> decode_stream(std::string_view message) {
  if (message.size() > kMostMessage) return std::nullopt;
  const json value = json::from_cbor(message, true, false);
  try {
    const Reader reader(value);
    (void)reader.whole("format", kFormat, kFormat);
    PassedStream result;
    result.name = reader.text("name", kMostName);
    // It becomes part of a path at the instances.
    const bool plain = std::ranges::all_of(result.name, [](unsigned char c) {
      return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
    });
    if (!plain) return std::nullopt;
    core::RunningStream& stream = result.stream;
    stream.ask.facts.request_class = std::uint32_t(reader.whole("class", 0, kMostIndex));
    stream.ask.facts.tenant = std::uint32_t(reader.whole("tenant", 0, kMostIndex));
    stream.ask.facts.prompt_tokens = reader.whole("prompt", 0, kMostTokens);
    stream.box = reader.text("box", kMostBox);
    stream.attempts = int(reader.whole("attempts", 1, kMostAttempts));
    stream.age = core::Duration(reader.whole("age", 0, kMostTime));
    stream.first = core::Duration(reader.whole("first", 0, stream.age.count()));
    stream.client.state = reader.binary("client");
    stream.instance.state = reader.binary("instance");
    return result;
  } catch (const Unreadable&) {
    return std::nullopt;
  }
}

}  // namespace bankmux::operations
