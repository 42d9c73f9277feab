// The appliance configuration file: the addresses of the OpenAI-style front, its health checks and its
// operator page, the models that it offers and the model-server instances ("boxes" in the file) behind it.
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
  bool native_responses = false;  // its instances implement /v1/responses themselves
  // How its instances continue a partial answer.
  recovery::ContinuationMode continuation = recovery::ContinuationMode::none;
};

// A model-server instance, as the file lists it.
struct Instance {
  std::string id;
  std::string address;
  double weight = 1.0;
};

// The shared store by which several appliance processes on one machine coordinate.
struct Coordination {
  std::string file;
  std::string member;                // this process's name, unique in the store
  core::Duration lease{10'000'000};  // microseconds until another process may take over a dead one's duties
};

struct Appliance {
  std::string name;
  std::string listen;                // address of the chat API and /-/healthy
  std::string operator_listen;       // address of the operator page; empty: none
  std::string agent_listen;          // address of the agent-check; empty: none
  std::vector<std::string> classes;  // names, in the order of `module.classes`
  std::vector<Model> models;
  std::vector<Instance> boxes;
  eiderarch::Tokens default_output_tokens = 800;  // assumed output tokens of a request without a limit
  core::Duration check_every{2'000'000};          // interval between health checks of an instance
  core::Duration connect_timeout{250'000};
  core::Duration idle_timeout{15'000'000};
  std::size_t max_body_bytes = 8 * 1024 * 1024;  // bytes of one request's body, decompressed
  // How long a client waits while another instance continues its answer.
  core::Duration continuation_wait{3'000'000};
  core::Duration stream_keep_alive_interval{0};  // interval of SSE comments before the first token; 0: none
  std::vector<std::string> cors_origins;         // origins allowed by CORS; "*": all
  std::string keys_file;                         // empty: requests need no API key
  std::optional<std::vector<admission::Key>> keys;  // contents of `keys_file`
  std::vector<std::string> tenants;                 // sorted names at start; the index is the module's number
  admission::LedgerLimits ledger;
  std::optional<Coordination> coordination;  // nullopt: this process does not coordinate with others
  std::size_t sockets = 1024;
  std::size_t memory_mb = 192;
  eiderarch::Settings module;
  std::size_t startup_settings_hash = 0;  // hash of all settings that a reload cannot change

  // The decision module's number of a tenant. Tenants added after the start all get the number
  // tenants.size(), which has no quota in the module.
  [[nodiscard]] std::uint32_t tenant_index(const std::string& name) const;
  // Applies the reloadable settings of `reloaded`: instances, models, keys, check interval, continuation wait
  // and default output tokens. Returns false if other settings differ too, which take effect at the next
  // start. If the classes differ, the old models stay, because models refer to their class by index.
  bool apply_reload(Appliance reloaded);
};

// Reads the appliance file and the key file that it names. Throws BadConfig naming the invalid key.
Appliance read_appliance(const std::string& path);
// Registers the tenants of these keys with the module; each tenant's quota is the sum of its keys' limits, in
// requests per second.
void set_keys(Appliance& appliance, std::vector<admission::Key> keys);
// Checks a document against the schema and reads it. Throws BadConfig naming the invalid key.
Appliance parse_appliance(const nlohmann::json& document);

}  // namespace bankmux::config
