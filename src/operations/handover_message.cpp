#include "operations/handover_message.hpp"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>
#include <vector>

namespace bankmux::operations {

using nlohmann::json;

namespace {

constexpr int kFormat = 1;
constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxInstanceIdBytes = 256;
constexpr std::int64_t kMaxIndex = 100'000;       // of classes and tenants
constexpr std::int64_t kMaxTokens = 100'000'000;  // of a prompt
constexpr std::int64_t kMaxAttempts = 1'000'000;
constexpr std::int64_t kMaxTimeUs = 86'400LL * 1'000'000;  // microseconds

json binary_value(const std::string& text) {
  return json::binary(std::vector<std::uint8_t>(text.begin(), text.end()));
}

// Thrown by FieldReader for a missing or malformed field.
struct InvalidMessage {};

class FieldReader {
 public:
  explicit FieldReader(const json& object) : object_(object) {
    if (!object.is_object()) throw InvalidMessage{};
  }
  [[nodiscard]] bool has(const char* name) const { return object_.contains(name); }
  [[nodiscard]] std::int64_t integer(const char* name, std::int64_t min, std::int64_t max) const {
    const json& value = member(name);
    if (!value.is_number_integer()) throw InvalidMessage{};
    if (value.is_number_unsigned() && value.get<std::uint64_t>() > std::uint64_t(max)) throw InvalidMessage{};
    const auto number = value.get<std::int64_t>();
    if (number < min || number > max) throw InvalidMessage{};
    return number;
  }
  [[nodiscard]] std::string text(const char* name, std::size_t max) const {
    const json& value = member(name);
    if (!value.is_string()) throw InvalidMessage{};
    auto result = value.get<std::string>();
    if (result.empty() || result.size() > max) throw InvalidMessage{};
    return result;
  }
  [[nodiscard]] std::string binary(const char* name) const {
    const json& value = member(name);
    if (!value.is_binary()) throw InvalidMessage{};
    return {value.get_binary().begin(), value.get_binary().end()};
  }

 private:
  [[nodiscard]] const json& member(const char* name) const {
    const auto it = object_.find(name);
    if (it == object_.end()) throw InvalidMessage{};
    return *it;
  }
  const json& object_;
};

}  // namespace

std::string encode(const std::string& name, const core::RunningStream& stream) {
  const eiderarch::RequestArrived& facts = stream.client_request.facts;
  std::string message;
  json::to_cbor({{"format", kFormat},
                 {"name", name},
                 {"class", facts.request_class},
                 {"tenant", facts.tenant},
                 {"prompt", facts.prompt_tokens},
                 {"box", stream.instance_id},
                 {"attempts", stream.attempts},
                 {"age", stream.age.count()},
                 {"first", stream.first.count()},
                 {"silence", stream.silence.count()},
                 {"client", binary_value(stream.client.state)},
                 {"instance", binary_value(stream.instance.state)}},
                message);
  return message.size() > kMaxMessageBytes ? std::string() : message;
}

std::optional<HandedOverStream> decode_handover_message(std::string_view message) {
  if (message.size() > kMaxMessageBytes) return std::nullopt;
  const json value = json::from_cbor(message, true, false);
  try {
    const FieldReader reader(value);
    (void)reader.integer("format", kFormat, kFormat);
    HandedOverStream result;
    result.name = reader.text("name", kMaxNameBytes);
    // The name becomes part of a path at the instances.
    const bool valid_name = std::ranges::all_of(result.name, [](unsigned char c) {
      return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
    });
    if (!valid_name) return std::nullopt;
    core::RunningStream& stream = result.stream;
    stream.client_request.facts.request_class = std::uint32_t(reader.integer("class", 0, kMaxIndex));
    stream.client_request.facts.tenant = std::uint32_t(reader.integer("tenant", 0, kMaxIndex));
    stream.client_request.facts.prompt_tokens = reader.integer("prompt", 0, kMaxTokens);
    stream.instance_id = reader.text("box", kMaxInstanceIdBytes);
    stream.attempts = int(reader.integer("attempts", 1, kMaxAttempts));
    stream.age = core::Duration(reader.integer("age", 0, kMaxTimeUs));
    stream.first = core::Duration(reader.integer("first", 0, stream.age.count()));
    // Processes before this field was added do not send it.
    if (reader.has("silence")) stream.silence = core::Duration(reader.integer("silence", 0, kMaxTimeUs));
    stream.client.state = reader.binary("client");
    stream.instance.state = reader.binary("instance");
    return result;
  } catch (const InvalidMessage&) {
    return std::nullopt;
  }
}

}  // namespace bankmux::operations
