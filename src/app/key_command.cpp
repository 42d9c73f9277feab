#include "app/key_command.hpp"

#include <sodium.h>
#include <sys/stat.h>

#include <cstdio>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "config/keys_file.hpp"

namespace bankmux::app {

namespace {

std::string random_hex(std::size_t bytes) {
  std::vector<unsigned char> raw(bytes);
  randombytes_buf(raw.data(), raw.size());
  std::string text(2 * bytes + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), raw.data(), raw.size());
  text.pop_back();
  return text;
}

std::vector<admission::Key> load_keys(const std::string& file) {
  struct stat status {};
  if (::stat(file.c_str(), &status) != 0) return {};  // `key add` creates the file with the first key
  return config::read_keys(file);
}

std::string limits_text(const admission::Key& key) {
  const auto limit = [](std::int64_t value, const char* unit) {
    return value > 0 ? std::to_string(value) + " " + unit : std::string("-");
  };
  return limit(key.limits.requests_per_minute, "req/min") + ", " +
         limit(key.limits.tokens_per_minute, "tok/min") + ", " + limit(key.limits.open, "open");
}

}  // namespace

int key_command(const KeyCommandOptions& options) {
  if (sodium_init() < 0) throw std::runtime_error("libsodium cannot start");
  std::vector<admission::Key> keys = load_keys(options.file);
  if (options.action == "list") {
    if (options.json) {
      nlohmann::json list = config::keys_json(keys)["keys"];
      for (auto& entry : list) {
        entry.erase("salt");
        entry.erase("hash");
      }
      std::printf("%s\n", list.dump(2).c_str());
      return 0;
    }
    std::printf("%-14s %-20s %-24s %s\n", "ID", "TENANT", "MODELS", "LIMITS");
    for (const admission::Key& key : keys) {
      std::string models;
      for (const std::string& model : key.models) models += (models.empty() ? "" : ",") + model;
      std::printf("%-14s %-20s %-24s %s\n", key.id.c_str(), key.tenant.c_str(),
                  models.empty() ? "all" : models.c_str(), limits_text(key).c_str());
    }
    return 0;
  }
  if (options.action == "revoke") {
    const auto erased = std::erase_if(keys, [&](const admission::Key& key) { return key.id == options.id; });
    if (erased == 0) {
      std::fprintf(stderr, "bankmux: no key '%s' in %s\n", options.id.c_str(), options.file.c_str());
      return 1;
    }
    config::write_keys(options.file, keys);
    std::printf("revoked %s; a serving bankmux takes it on SIGHUP\n", options.id.c_str());
    return 0;
  }
  admission::Key key;
  key.id = random_hex(admission::kIdBytes);
  key.tenant = options.tenant;
  key.models = options.models;
  key.limits = {options.requests_per_minute, options.tokens_per_minute, options.open};
  randombytes_buf(key.salt.data(), key.salt.size());
  const std::string secret = random_hex(admission::kSecretBytes);
  key.hash = admission::hash_secret(key.salt, secret);
  keys.push_back(key);
  // Validates the new key like one read from a file, so that an invalid tenant name is rejected here.
  (void)config::parse_keys(config::keys_json(keys));
  config::write_keys(options.file, keys);
  std::printf("%s\n", admission::format_key(key.id, secret).c_str());
  std::fprintf(stderr,
               "key %s for tenant '%s' added to %s; it is shown this once. A serving bankmux takes it "
               "on SIGHUP.\n",
               key.id.c_str(), key.tenant.c_str(), options.file.c_str());
  return 0;
}

}  // namespace bankmux::app
