#include "admission/keys.hpp"

#include <sodium.h>

#include <algorithm>
#include <stdexcept>

namespace bankmux::admission {

namespace {

constexpr std::string_view kPrefix = "bmx-";

bool is_hex(std::string_view text) {
  return std::ranges::all_of(text, [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

}  // namespace

Hash hash_secret(const Salt& salt, std::string_view secret) {
  static const bool kSodiumReady = sodium_init() >= 0;  // initialises once; later calls only report it
  if (!kSodiumReady) throw std::runtime_error("libsodium cannot start");
  Hash hash{};
  // BLAKE2b keyed by the salt, so that the same secret has a different hash for each key.
  crypto_generichash(hash.data(), hash.size(), reinterpret_cast<const unsigned char*>(secret.data()),
                     secret.size(), salt.data(), salt.size());
  return hash;
}

std::optional<KeyParts> parse_key(std::string_view text) {
  if (!text.starts_with(kPrefix)) return std::nullopt;
  text.remove_prefix(kPrefix.size());
  const std::size_t dash = text.find('-');
  if (dash != 2 * kIdBytes || text.size() != dash + 1 + 2 * kSecretBytes) return std::nullopt;
  const std::string_view id = text.substr(0, dash), secret = text.substr(dash + 1);
  if (!is_hex(id) || !is_hex(secret)) return std::nullopt;
  return KeyParts{std::string(id), std::string(secret)};
}

std::string format_key(const std::string& id, const std::string& secret) {
  return std::string(kPrefix) + id + "-" + secret;
}

ApiKeySet::ApiKeySet(std::vector<Key> keys) {
  for (Key& key : keys) {
    const std::string id = key.id;
    if (!keys_.emplace(id, std::move(key)).second)
      throw std::invalid_argument("key '" + id + "' is there twice");
  }
  decoy_key_.hash.fill(0xff);
}

const Key* ApiKeySet::check(std::string_view text) const {
  const std::optional<KeyParts> parts = parse_key(text);
  const auto it = parts ? keys_.find(parts->id) : keys_.end();
  const Key& expected = it == keys_.end() ? decoy_key_ : it->second;
  const Hash hash = hash_secret(expected.salt, parts ? parts->secret : std::string(2 * kSecretBytes, '0'));
  const bool same = sodium_memcmp(hash.data(), expected.hash.data(), hash.size()) == 0;
  return same && it != keys_.end() ? &it->second : nullptr;
}

bool ApiKeySet::may_use(const Key& key, const std::string& model) {
  return key.models.empty() || std::ranges::count(key.models, model) > 0;
}

}  // namespace bankmux::admission
