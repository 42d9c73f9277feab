// API keys of the form `bmx-ID-SECRET`. ID is looked up; SECRET is compared with a salted BLAKE2b hash
// (libsodium) in constant time. An unknown ID is compared with a decoy key, so that a guess costs one hash
// and takes equally long whether or not the ID exists. No I/O, clock or thread.
#pragma once

#include <array>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "admission/limiter.hpp"

namespace bankmux::admission {

constexpr std::size_t kSaltBytes = 16;
constexpr std::size_t kHashBytes = 32;
constexpr std::size_t kSecretBytes = 32;  // 256 random bits cannot be guessed, so a fast hash suffices
constexpr std::size_t kIdBytes = 6;
using Salt = std::array<unsigned char, kSaltBytes>;
using Hash = std::array<unsigned char, kHashBytes>;

// An API key's tenant, models and limits, with the salted hash of its secret, but never the secret itself.
struct Key {
  std::string id;                   // 12 hexadecimal digits
  std::string tenant;               // the tenant that its requests are charged to
  std::vector<std::string> models;  // models it may use; empty: all
  Limits limits;
  Salt salt{};
  Hash hash{};
};

// Throws std::runtime_error if libsodium cannot be initialised.
Hash hash_secret(const Salt& salt, std::string_view secret);

struct KeyParts {
  std::string id;
  std::string secret;
};
// Splits a key that a client sent; nullopt if it is not of the form `bmx-ID-SECRET`.
std::optional<KeyParts> parse_key(std::string_view text);
std::string format_key(const std::string& id, const std::string& secret);

// The set of valid API keys.
class ApiKeySet {
 public:
  ApiKeySet() = default;
  // Throws std::invalid_argument that names the ID if two keys have the same one.
  explicit ApiKeySet(std::vector<Key> keys);

  // The key that the credentials of an `Authorization` header present; null if it is not one of these.
  [[nodiscard]] const Key* check(std::string_view text) const;
  [[nodiscard]] static bool may_use(const Key& key, const std::string& model);
  [[nodiscard]] const std::map<std::string, Key>& keys() const { return keys_; }

 private:
  std::map<std::string, Key> keys_;  // by ID
  Key decoy_key_;
};

}  // namespace bankmux::admission
