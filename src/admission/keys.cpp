#include "admission/keys.hpp"

#include <sodium.h>

#include <algorithm>
#include <stdexcept>

namespace bankmux::admission {

namespace {

constexpr std::string_view kPrefix = "bmx-";

bool hexadecimal(std::string_view text) {
  return std::ranges::all_of(text, [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

}  // namespace

Hash hash_secret(const Salt& salt, std::string_view secret) {
  static const bool kReady = sodium_init() >= 0;  // once; after that it only says so
  if (!kReady) throw std::runtime_error("libsodium cannot start");
  Hash hash{};
  // BLAKE2b keyed by the salt: one hash of the secret alone, for a different one at each key.
  crypto_generichash(hash.data(), hash.size(), reinterpret_cast<const unsigned char*>(secret.data()),
                     secret.size(), salt.data(), salt.size());
  return hash;
}

std::optional<Presented> split_key(std::string_view text) {
  if (!text.starts_with(kPrefix)) return std::nullopt;
  text.remove_prefix(kPrefix.size());
  const std::size_t dash = text.find('-');
  if (dash != 2 * kIdBytes || text.size() != dash + 1 + 2 * kSecretBytes) return std::nullopt;
  const std::string_view id = text.substr(0, dash), secret = text.substr(dash + 1);
  if (!hexadecimal(id) || !hexadecimal(secret)) return std::nullopt;
  return Presented{std::string(id), std::string(secret)};
}

std::string join_key(const std::string& id, const std::string& secret) {
  return std::string(kPrefix) + id + "-" + secret;
}

KeyRing::KeyRing(std::vector<Key> keys) {
  for (Key& key : keys) {
    const std::string id = key.id;
    if (!keys_.emplace(id, std::move(key)).second)
      throw std::invalid_argument("key '" + id + "' is there twice");
  }
  stand_in_.hash.fill(0xff);
}

const Key* KeyRing::check(std::string_view text) const {
  const std::optional<Presented> presented = split_key(text);
  const auto it = presented ? keys_.find(presented->id) : keys_.end();
  const Key& against = it == keys_.end() ? stand_in_ : it->second;
  const Hash hash =
      hash_secret(against.salt, presented ? presented->secret : std::string(2 * kSecretBytes, '0'));
  const bool same = sodium_memcmp(hash.data(), against.hash.data(), hash.size()) == 0;
  return same && it != keys_.end() ? &it->second : nullptr;
}

bool KeyRing::may_use(const Key& key, const std::string& model) {
  return key.models.empty() || std::ranges::count(key.models, model) > 0;
}

}  // namespace bankmux::admission
