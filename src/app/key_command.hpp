// `bankmux key add|list|revoke`: manages the API key file. A new key is printed once, and only its salted
// hash is stored. Exit codes: 0 success, 1 unknown key or the file cannot be written, 2 invalid file.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace bankmux::app {

struct KeyCommandOptions {
  std::string action;  // add, list, revoke
  std::string file;
  std::string tenant;
  std::string id;  // of the key to revoke; unused by the other actions
  std::vector<std::string> models;
  std::int64_t requests_per_minute = 0, tokens_per_minute = 0;
  int open = 0;
  bool json = false;
};

// Runs the command and returns its exit code. Throws config::BadConfig if the file or a new key is invalid,
// and std::runtime_error if the file cannot be written.
int key_command(const KeyCommandOptions& options);

}  // namespace bankmux::app
