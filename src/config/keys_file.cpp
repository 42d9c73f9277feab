#include "config/keys_file.hpp"

#include <sys/stat.h>

#include <cstdio>
#include <fstream>
#include <stdexcept>

namespace bankmux::config {

using nlohmann::json;

namespace {

constexpr std::size_t kMaxKeys = 100'000;  // the number of tenants that the limiter can hold, one key each

std::string hex(const unsigned char* bytes, std::size_t size) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (std::size_t i = 0; i < size; ++i) {
    text += kDigits[bytes[i] >> 4];
    text += kDigits[bytes[i] & 15];
  }
  return text;
}

template <std::size_t N>
std::array<unsigned char, N> bytes(const Fields& f, const std::string& key) {
  const std::string text = f.text(key);
  std::array<unsigned char, N> result{};
  if (text.size() != 2 * N) f.fail(key, "is not " + std::to_string(2 * N) + " hexadecimal digits");
  for (std::size_t i = 0; i < N; ++i) {
    const auto digit = [&](char c) -> unsigned {
      if (c >= '0' && c <= '9') return unsigned(c - '0');
      if (c >= 'a' && c <= 'f') return unsigned(c - 'a' + 10);
      f.fail(key, "is not " + std::to_string(2 * N) + " hexadecimal digits");
    };
    result[i] = static_cast<unsigned char>(digit(text[2 * i]) << 4 | digit(text[2 * i + 1]));
  }
  return result;
}

admission::Key read_key(const Fields& f) {
  admission::Key key;
  key.id = f.text("id");
  if (key.id.size() != 2 * admission::kIdBytes ||
      key.id.find_first_not_of("0123456789abcdef") != std::string::npos) {
    f.fail("id", "is not " + std::to_string(2 * admission::kIdBytes) + " hexadecimal digits");
  }
  key.tenant = f.text("tenant");
  if (key.tenant.empty() || key.tenant.size() > 64) f.fail("tenant", "is empty or longer than 64 characters");
  if (f.has("models")) key.models = f.texts("models");
  key.limits.requests_per_minute = std::int64_t(f.count("requests_per_minute", 0, 0, 1'000'000'000));
  key.limits.tokens_per_minute = std::int64_t(f.count("tokens_per_minute", 0, 0, 1'000'000'000'000));
  key.limits.open = int(f.count("open", 0, 0, 1'000'000));
  key.salt = bytes<admission::kSaltBytes>(f, "salt");
  key.hash = bytes<admission::kHashBytes>(f, "hash");
  f.reject_unknown_keys();
  return key;
}

}  // namespace

std::vector<admission::Key> parse_keys(const json& document) {
  const Fields root(document, "");
  std::vector<admission::Key> keys;
  const auto list = document.find("keys");
  if (list == document.end() || !list->is_array()) root.fail("keys", "is not a list");
  if (list->size() > kMaxKeys) root.fail("keys", "holds more than " + std::to_string(kMaxKeys) + " keys");
  if (!list->empty()) {
    for (const Fields& f : root.objects("keys")) keys.push_back(read_key(f));
  }
  root.reject_unknown_keys();
  try {
    (void)admission::ApiKeySet(keys);
  } catch (const std::invalid_argument& error) {
    throw BadConfig(std::string("'keys' ") + error.what());
  }
  return keys;
}

std::vector<admission::Key> read_keys(const std::string& path) {
  struct stat status {};
  if (::stat(path.c_str(), &status) != 0) throw BadConfig("'keys' names a file that cannot be read: " + path);
  // The hashes grant no access, but the list of tenants and keys is confidential.
  if ((status.st_mode & 077) != 0) {
    char mode[8];
    std::snprintf(mode, sizeof mode, "%04o", unsigned(status.st_mode & 07777));
    throw BadConfig("'keys' names a file that group or others may read (mode " + std::string(mode) +
                    "; chmod 600 " + path + ")");
  }
  return parse_keys(read_document("keys", path));
}

json keys_json(const std::vector<admission::Key>& keys) {
  json list = json::array();
  for (const admission::Key& key : keys) {
    json entry = {{"id", key.id}, {"tenant", key.tenant}};
    if (!key.models.empty()) entry["models"] = key.models;
    if (key.limits.requests_per_minute > 0) entry["requests_per_minute"] = key.limits.requests_per_minute;
    if (key.limits.tokens_per_minute > 0) entry["tokens_per_minute"] = key.limits.tokens_per_minute;
    if (key.limits.open > 0) entry["open"] = key.limits.open;
    entry["salt"] = hex(key.salt.data(), key.salt.size());
    entry["hash"] = hex(key.hash.data(), key.hash.size());
    list.push_back(std::move(entry));
  }
  return {{"keys", list}};
}

void write_keys(const std::string& path, const std::vector<admission::Key>& keys) {
  const std::string temporary_path = path + ".new";
  const mode_t old_mask = ::umask(077);
  {
    std::ofstream file(temporary_path, std::ios::trunc);
    file << keys_json(keys).dump(2) << '\n';
    if (!file.flush()) {
      ::umask(old_mask);
      throw std::runtime_error("cannot write " + temporary_path);
    }
  }
  ::umask(old_mask);
  ::chmod(temporary_path.c_str(), 0600);
  if (std::rename(temporary_path.c_str(), path.c_str()) != 0)
    throw std::runtime_error("cannot replace " + path);
}

}  // namespace bankmux::config
