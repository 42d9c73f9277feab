// Translates between the simulator's JSON wire and the module's types. No decisions here.
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

// A line that is not what the wire promises; the text says what is wrong with it.
class MalformedInput : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

Json parse_object(const std::string& line);
std::string text_field(const Json& object, const char* name);
Time time_field(const Json& object, const char* name);

// Text to the key that every front gets for it; 0 for none.
Key key_of(const std::string& text);

// The object of the settings, as the simulator's first message and the conductor's configuration hold it.
Settings decode_options(const Json& options, std::uint64_t seed);
Settings decode_settings(const Json& init);

// How a list words its entries: the simulator's names or discovery's.
struct EntryForm {
  const char* engine;
  const char* state;
  const char* zone;
  const char* cell;
  const char* kind;
  const char* rating;
  const char* started;
  double started_per_second;
  std::array<const char*, 3> states;  // live, draining, gone
};
extern const EntryForm kSimulatorEntry;
// Zones and kinds come as indices, or as names in these lists. An engine's name becomes its key.
EngineEntry decode_entry(const Json& row, const EntryForm& form, const std::vector<std::string>& zones,
                         const std::vector<std::string>& kinds);

// Empty for an event type that the module has no use for.
std::optional<Event> decode_event(const std::string& type, const Json& message);
std::string encode_action(const std::string& instance, const Action& action);
std::string encode_crash(const std::string& instance, const std::string& message);

}  // namespace eiderarch::wire
