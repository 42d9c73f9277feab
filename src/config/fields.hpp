// Reads the members of one JSON object of a configuration; every complaint names the key by its whole path.
#pragma once

#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <string>

#include "core/ports.hpp"

namespace bankmux::config {

// The text names the faulty key.
class BadConfig : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Reads a JSON object from a file; `key` names what named the file.
nlohmann::json read_document(const std::string& key, const std::string& path);

class Fields {
 public:
  Fields(const nlohmann::json& object, std::string path);

  [[noreturn]] void bad(const std::string& key, const std::string& what) const;
  [[nodiscard]] bool has(const std::string& key) const;

  std::string text(const std::string& key) const;
  std::string text(const std::string& key, const std::string& otherwise) const;
  std::string address(const std::string& key) const;
  double number(const std::string& key, double otherwise, double least, double most) const;
  std::size_t count(const std::string& key, std::size_t otherwise, std::size_t least, std::size_t most) const;
  core::Duration seconds(const std::string& key, core::Duration otherwise) const;
  // An empty one where the key is missing.
  Fields section(const std::string& key) const;
  // The elements of a list that must be there and not empty.
  std::vector<Fields> objects(const std::string& key) const;
  std::vector<std::string> texts(const std::string& key) const;
  // Complains of a key that nobody has asked for: most likely a slip of the pen.
  void no_others() const;

 private:
  const nlohmann::json* find(const std::string& key) const;
  const nlohmann::json& list(const std::string& key) const;
  [[nodiscard]] std::string name(const std::string& key) const;

  const nlohmann::json* object_;
  std::string path_;
  mutable std::set<std::string> asked_;
};

}  // namespace bankmux::config
