#include "config/fields.hpp"

#include <cmath>
#include <fstream>
#include <sstream>

#include "config/address.hpp"

namespace bankmux::config {

using nlohmann::json;

json read_document(const std::string& key, const std::string& path) {
  std::ifstream file(path);
  if (!file) throw BadConfig("'" + key + "' names a file that cannot be read: " + path);
  std::ostringstream content;
  content << file.rdbuf();
  json document = json::parse(content.str(), nullptr, false);
  if (!document.is_object()) throw BadConfig("'" + key + "' names a file that is not a JSON object: " + path);
  return document;
}

Fields::Fields(const json& object, std::string path) : object_(&object), path_(std::move(path)) {
  if (!object.is_object()) throw BadConfig("'" + path_ + "' is not an object");
}

std::string Fields::name(const std::string& key) const { return path_.empty() ? key : path_ + "." + key; }

void Fields::fail(const std::string& key, const std::string& what) const {
  throw BadConfig("'" + name(key) + "' " + what);
}

const json* Fields::find(const std::string& key) const {
  requested_keys_.insert(key);
  const auto it = object_->find(key);
  return it == object_->end() || it->is_null() ? nullptr : &*it;
}

bool Fields::has(const std::string& key) const { return find(key) != nullptr; }

std::string Fields::text(const std::string& key) const {
  const json* value = find(key);
  if (value == nullptr) fail(key, "is missing");
  if (!value->is_string() || value->get_ref<const std::string&>().empty()) fail(key, "is not text");
  return value->get<std::string>();
}

std::string Fields::text(const std::string& key, const std::string& fallback) const {
  return has(key) ? text(key) : fallback;
}

std::string Fields::address(const std::string& key) const {
  std::string value = text(key);
  if (!Address::parse(value)) fail(key, "is not an IPv4 address and port: '" + value + "'");
  return value;
}

double Fields::number(const std::string& key, double fallback, double min, double max) const {
  const json* value = find(key);
  if (value == nullptr) return fallback;
  if (!value->is_number()) fail(key, "is not a number");
  const double result = value->get<double>();
  if (!(result >= min && result <= max)) {
    std::ostringstream range;
    range << "must be between " << min << " and " << max;
    fail(key, range.str());
  }
  return result;
}

std::size_t Fields::count(const std::string& key, std::size_t fallback, std::size_t min,
                          std::size_t max) const {
  const double value = number(key, double(fallback), double(min), double(max));
  if (value != std::floor(value)) fail(key, "is not a whole number");
  return std::size_t(value);
}

core::Duration Fields::seconds(const std::string& key, core::Duration fallback) const {
  const double value = number(key, double(fallback.count()) / 1e6, 0.001, 86400.0);
  return core::Duration(std::llround(value * 1e6));
}

Fields Fields::section(const std::string& key) const {
  static const json kEmpty = json::object();
  const json* value = find(key);
  return Fields(value == nullptr ? kEmpty : *value, name(key));
}

const json& Fields::list(const std::string& key) const {
  const json* value = find(key);
  if (value == nullptr) fail(key, "is missing");
  if (!value->is_array() || value->empty()) fail(key, "must be a list with at least one entry");
  return *value;
}

std::vector<Fields> Fields::objects(const std::string& key) const {
  std::vector<Fields> result;
  for (const json& element : list(key)) {
    result.emplace_back(element, name(key) + "[" + std::to_string(result.size()) + "]");
  }
  return result;
}

std::vector<std::string> Fields::texts(const std::string& key) const {
  std::vector<std::string> result;
  for (const json& element : list(key)) {
    if (!element.is_string()) fail(key, "holds something that is not text");
    result.push_back(element.get<std::string>());
  }
  return result;
}

void Fields::reject_unknown_keys() const {
  for (const auto& item : object_->items()) {
    if (!requested_keys_.contains(item.key())) fail(item.key(), "is not a known key");
  }
}

}  // namespace bankmux::config
