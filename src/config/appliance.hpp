// The appliance file: where the OpenAI-style front, its checks and its operator's page listen, the models
// that it offers and the boxes behind it.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "config/config.hpp"

namespace bankmux::config {

struct Model {
  std::string name;
  std::uint32_t request_class = 0;
  bool native_responses = false;  // its boxes speak /v1/responses themselves
};

struct Box {
  std::string id;
  std::string address;
  double weight = 1.0;
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
  core::Duration stream_keep_alive{0};      // between comments on a stream that has not begun; 0: none
  std::vector<std::string> cors_origins;    // whose pages may ask; "*": all
  std::size_t sockets = 1024;
  std::size_t memory_mb = 192;
  eiderarch::Settings module;
  std::size_t fixed = 0;  // of all that counts from the start alone; differs where any of it does

  // Takes the boxes, the models and what goes with them from a file read later. False where that holds more
  // that is new; with other classes the old models stay, for they name their class by its place.
  bool take_over(Appliance fresh);
};

// Both throw BadConfig naming the faulty key.
Appliance read_appliance(const std::string& path);
Appliance parse_appliance(const nlohmann::json& document);

}  // namespace bankmux::config
