// Typed access to the members of a JSON object of a configuration. Every error message names the key by its
// full path.
#pragma once

#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <string>

#include "core/ports.hpp"

namespace bankmux::config {

// An invalid configuration; the message names the invalid key.
class BadConfig : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Reads a JSON object from a file. `key` is the option, variable or setting that names the file, for error
// messages. Throws BadConfig.
nlohmann::json read_document(const std::string& key, const std::string& path);

// Reads members by key and type. All reading functions throw BadConfig if a member is malformed, out of
// range, or missing without a fallback; null counts as missing.
class Fields {
 public:
  // `path` is the object's path in the document, empty for the top level. Keeps a pointer to `object`.
  Fields(const nlohmann::json& object, std::string path);

  // Throws BadConfig with `what` about the member `key`.
  [[noreturn]] void fail(const std::string& key, const std::string& what) const;
  [[nodiscard]] bool has(const std::string& key) const;

  std::string text(const std::string& key) const;
  std::string text(const std::string& key, const std::string& fallback) const;
  std::string address(const std::string& key) const;
  double number(const std::string& key, double fallback, double min, double max) const;
  std::size_t count(const std::string& key, std::size_t fallback, std::size_t min, std::size_t max) const;
  // A number of seconds from 0.001 to 86,400.
  core::Duration seconds(const std::string& key, core::Duration fallback) const;
  // The object under `key`; an empty object if the key is missing.
  Fields section(const std::string& key) const;
  // The elements of a list, which must not be empty.
  std::vector<Fields> objects(const std::string& key) const;
  std::vector<std::string> texts(const std::string& key) const;
  // Throws BadConfig if the object has a key that has not been read, which is most likely a misspelling.
  void reject_unknown_keys() const;

 private:
  const nlohmann::json* find(const std::string& key) const;
  const nlohmann::json& list(const std::string& key) const;
  [[nodiscard]] std::string name(const std::string& key) const;

  const nlohmann::json* object_;
  std::string path_;
  mutable std::set<std::string> requested_keys_;
};

}  // namespace bankmux::config
