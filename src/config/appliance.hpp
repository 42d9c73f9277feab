// The appliance file: where the OpenAI-style front, its checks and its operator's page listen, the models
// that it offers and the boxes behind it.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "admission/keys.hpp"
#include "admission/ledger.hpp"
#include "config/config.hpp"
#include "recovery/recovery.hpp"

namespace bankmux::config {

struct Model {
  std::string name;
  std::uint32_t request_class = 0;
  bool native_responses = false;                     // its boxes speak /v1/responses themselves
  recovery::Way continuation = recovery::Way::none;  // how its boxes go on with a begun answer
};

struct Box {
  std::string id;
  std::string address;
  double weight = 1.0;
};

// The store that several processes on one machine agree by.
struct Coordination {
  std::string file;
  std::string member;                // this process's name among them
  core::Duration lease{10'000'000};  // after which what a dead process owned is another's
};

struct Appliance {
  std::string name;
  std::string listen;                // the chat API and /-/healthy
  std::string operator_listen;       // /-/status and drains, for the console; empty: none
  std::string agent_listen;          // agent-check; empty: none
  std::vector<std::string> classes;  // names, as in `module`
  std::vector<Model> models;
  std::vector<Box> boxes;
  eiderarch::Tokens default_output = 800;  // where a request does not limit its answer
  core::Duration check_every{2'000'000};   // how often a box is asked whether it runs
  core::Duration connect_timeout{250'000};
  core::Duration idle_timeout{15'000'000};
  std::size_t most_body = 8 * 1024 * 1024;  // bytes of one request's body, expanded
  core::Duration seam{3'000'000};           // how long a client waits where its answer goes on at another box
  core::Duration stream_keep_alive{0};      // between comments on a stream that has not begun; 0: none
  std::vector<std::string> cors_origins;    // whose pages may ask; "*": all
  std::string keys_file;                    // empty: whoever reaches `listen` may ask
  std::optional<std::vector<admission::Key>> keys;  // what it holds
  std::vector<std::string> tenants;                 // those at start, in order: their numbers in the module
  admission::LedgerLimits ledger;
  std::optional<Coordination> coordination;  // none: this process knows of no other
  std::size_t sockets = 1024;
  std::size_t memory_mb = 192;
  eiderarch::Settings module;
  std::size_t fixed = 0;  // of all that counts from the start alone; differs where any of it does

  // The module's number of a tenant; one that came after the start has none, and no quota there.
  [[nodiscard]] std::uint32_t tenant_number(const std::string& name) const;
  // Takes the boxes, the models, the keys and what goes with them from a file read later. False where that
  // holds more that is new; with other classes the old models stay, for they name their class by its place.
  bool take_over(Appliance fresh);
};

// All throw BadConfig naming the faulty key. `read` also reads the file of keys that it names.
Appliance read_appliance(const std::string& path);
// Gives the module the tenants of these keys, each with the requests a second that its keys allow together.
void set_keys(Appliance& appliance, std::vector<admission::Key> keys);
Appliance parse_appliance(const nlohmann::json& document);

}  // namespace bankmux::config
