// Translates between the simulator's JSON protocol and the module's types. No decisions here.
#pragma once

#include <array>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "eiderarch/router.hpp"

namespace eiderarch::wire {

using Json = nlohmann::json;

// Thrown for input that violates the protocol; the message says what is wrong with it.
class MalformedInput : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

Json parse_object(const std::string& line);
std::string text_field(const Json& object, const char* name);
Time time_field(const Json& object, const char* name);

// Hashes a text to a key, the same at every front; 0 for an empty text.
Key hash_key(const std::string& text);

// Decode settings: the options object of the configuration, and the simulator's first message, which contains
// it.
Settings decode_options(const Json& options, std::uint64_t seed);
Settings decode_settings(const Json& init);

// Field names and values of a list's entries: those of the simulator or of discovery.
struct EntryFormat {
  const char* engine;
  const char* state;
  const char* zone;
  const char* cell;
  const char* kind;
  const char* rating;
  const char* started;
  double started_per_second;
  std::array<const char*, 3> states;  // values of live, draining, gone
};
extern const EntryFormat kSimulatorEntryFormat;
// Zones and kinds are indices or names from these lists. A textual instance id is hashed to its key.
EngineEntry decode_entry(const Json& row, const EntryFormat& form, const std::vector<std::string>& zones,
                         const std::vector<std::string>& kinds);

// Returns nothing for an event type that the module does not use.
std::optional<Event> decode_event(const std::string& type, const Json& message);
std::string encode_action(const std::string& instance, const Action& action);
std::string encode_crash(const std::string& instance, const std::string& message);

}  // namespace eiderarch::wire
