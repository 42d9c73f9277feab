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

void Fields::bad(const std::string& key, const std::string& what) const {
  throw BadConfig("'" + name(key) + "' " + what);
}

const json* Fields::find(const std::string& key) const {
  asked_.insert(key);
  const auto it = object_->find(key);
  return it == object_->end() || it->is_null() ? nullptr : &*it;
}

bool Fields::has(const std::string& key) const { return find(key) != nullptr; }

std::string Fields::text(const std::string& key) const {
  const json* value = find(key);
  if (value == nullptr) bad(key, "is missing");
  if (!value->is_string() || value->get_ref<const std::string&>().empty()) bad(key, "is not text");
  return value->get<std::string>();
}

std::string Fields::text(const std::string& key, const std::string& otherwise) const {
  return has(key) ? text(key) : otherwise;
}

std::string Fields::address(const std::string& key) const {
  std::string value = text(key);
  if (!Address::parse(value)) bad(key, "is not an IPv4 address and port: '" + value + "'");
  return value;
}

double Fields::number(const std::string& key, double otherwise, double least, double most) const {
  const json* value = find(key);
  if (value == nullptr) return otherwise;
  if (!value->is_number()) bad(key, "is not a number");
  const double result = value->get<double>();
  if (!(result >= least && result <= most)) {
    std::ostringstream range;
    range << "is not within " << least << " and " << most;
    bad(key, range.str());
  }
  return result;
}

std::size_t Fields::count(const std::string& key, std::size_t otherwise, std::size_t least,
                          std::size_t most) const {
  const double value = number(key, double(otherwise), double(least), double(most));
  if (value != std::floor(value)) bad(key, "is not a whole number");
  return std::size_t(value);
}

core::Duration Fields::seconds(const std::string& key, core::Duration otherwise) const {
  const double value = number(key, double(otherwise.count()) / 1e6, 0.001, 86400.0);
  return core::Duration(std::llround(value * 1e6));
}

Fields Fields::section(const std::string& key) const {
  static const json kEmpty = json::object();
  const json* value = find(key);
  return Fields(value == nullptr ? kEmpty : *value, name(key));
}

const json& Fields::list(const std::string& key) const {
  const json* value = find(key);
  if (value == nullptr) bad(key, "is missing");
  if (!value->is_array() || value->empty()) bad(key, "is not a list with at least one entry");
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
    if (!element.is_string()) bad(key, "holds something that is not text");
    result.push_back(element.get<std::string>());
  }
  return result;
}

void Fields::no_others() const {
  for (const auto& item : object_->items()) {
    if (!asked_.contains(item.key())) bad(item.key(), "is not a key that is known here");
  }
}

}  // namespace bankmux::config
