#include "net/openai/rules.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <sstream>

#include "net/openai/errors.hpp"

namespace bankmux::net::openai {

using nlohmann::json;

namespace {

// Appends a step to the path of the current field for the lifetime of this object.
class PathScope {
 public:
  PathScope(std::string& path, const std::string& name) : path_(path), previous_size_(path.size()) {
    path_ += path_.empty() ? name : "." + name;
  }
  PathScope(std::string& path, std::size_t index) : path_(path), previous_size_(path.size()) {
    path_ += '[' + std::to_string(index) + ']';
  }
  ~PathScope() { path_.resize(previous_size_); }
  PathScope(const PathScope&) = delete;
  PathScope& operator=(const PathScope&) = delete;

 private:
  std::string& path_;
  std::size_t previous_size_;
};

[[noreturn]] void throw_invalid(const std::string& path, const std::string& what) {
  throw RequestError{what, path};
}

std::string number_text(double value) {
  std::ostringstream text;
  text.precision(16);
  text << value;
  return text.str();
}

std::string joined(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) text += (text.empty() ? "" : ", ") + word;
  return text;
}

}  // namespace

Rule Rule::of(Alternative alternative) {
  Rule rule;
  rule.alternatives_.push_back(std::move(alternative));
  return rule;
}

Rule Rule::any() { return of(Alternative(Kind::any)); }
Rule Rule::boolean() { return of(Alternative(Kind::boolean)); }
Rule Rule::integer(double min, double max) { return of(Alternative(Kind::integer, min, max)); }
Rule Rule::number(double min, double max) { return of(Alternative(Kind::number, min, max)); }
Rule Rule::text(std::size_t min, std::size_t max) {
  return of(Alternative(Kind::text, double(min), double(max)));
}
Rule Rule::one_of(std::initializer_list<const char*> words) {
  Alternative alternative(Kind::one_of);
  alternative.words.assign(words.begin(), words.end());
  return of(std::move(alternative));
}
Rule Rule::list(Rule element, std::size_t min, std::size_t max) {
  Alternative alternative(Kind::list, double(min), double(max));
  alternative.inner.push_back(std::move(element));
  return of(std::move(alternative));
}
Rule Rule::object(Members members) {
  Alternative alternative(Kind::object);
  alternative.members = std::move(members);
  return of(std::move(alternative));
}
Rule Rule::map(Rule value, std::size_t max, std::size_t max_key_bytes) {
  Alternative alternative(Kind::map, 0.0, double(max));
  alternative.max_key_bytes = max_key_bytes;
  alternative.inner.push_back(std::move(value));
  return of(std::move(alternative));
}
Rule Rule::variant(const char* key, std::vector<std::pair<std::string, Members>> variants,
                   const char* default_variant) {
  Alternative alternative(Kind::variant);
  alternative.key = key;
  alternative.default_variant = default_variant != nullptr ? default_variant : "";
  alternative.variants = std::move(variants);
  return of(std::move(alternative));
}

Rule Rule::operator|(const Rule& other) const {
  Rule both = *this;
  both.alternatives_.insert(both.alternatives_.end(), other.alternatives_.begin(), other.alternatives_.end());
  return both;
}

bool Rule::has_type(const Alternative& alternative, const json& value) {
  switch (alternative.kind) {
    case Kind::any:
      return true;
    case Kind::boolean:
      return value.is_boolean();
    case Kind::integer:
      // JSON does not distinguish 3.0 from 3.
      return value.is_number() && value.get<double>() == std::floor(value.get<double>());
    case Kind::number:
      return value.is_number();
    case Kind::text:
    case Kind::one_of:
      return value.is_string();
    case Kind::list:
      return value.is_array();
    case Kind::object:
    case Kind::map:
    case Kind::variant:
      return value.is_object();
  }
  return false;
}

std::string Rule::type_description(const Alternative& alternative) {
  switch (alternative.kind) {
    case Kind::any:
      return "anything";
    case Kind::boolean:
      return "true or false";
    case Kind::integer:
      return "a whole number";
    case Kind::number:
      return "a number";
    case Kind::text:
      return "text";
    case Kind::one_of:
      return "one of: " + joined(alternative.words);
    case Kind::list:
      return "a list";
    case Kind::object:
    case Kind::map:
    case Kind::variant:
      return "an object";
  }
  return "";
}

void Rule::check(const json& value, std::string& path) const {
  const auto alternative =
      std::ranges::find_if(alternatives_, [&value](const Alternative& f) { return has_type(f, value); });
  if (alternative != alternatives_.end()) return check_alternative(*alternative, value, path);
  std::string wanted;
  for (const Alternative& f : alternatives_) wanted += (wanted.empty() ? "" : " or ") + type_description(f);
  throw_invalid(path, "must be " + wanted);
}

void Rule::check_members(const Members& members, const json& value, std::string& path) {
  for (const Member& member : members) {
    const auto it = value.find(member.name);
    const bool present = it != value.end() && !it->is_null();
    if (!present && !member.required) continue;  // the usual case: an optional field is absent
    const PathScope scope(path, member.name);
    if (!present) throw_invalid(path, "is missing");
    member.rule.check(*it, path);
  }
}

void Rule::check_alternative(const Alternative& alternative, const json& value, std::string& path) {
  switch (alternative.kind) {
    case Kind::any:
    case Kind::boolean:
      return;
    case Kind::integer:
    case Kind::number: {
      const double number = value.get<double>();
      if (number >= alternative.min && number <= alternative.max) return;
      throw_invalid(path,
                    "must be from " + number_text(alternative.min) + " to " + number_text(alternative.max));
    }
    case Kind::text: {
      const std::size_t size = value.get_ref<const std::string&>().size();
      if (double(size) < alternative.min) throw_invalid(path, "must not be empty");
      if (double(size) > alternative.max)
        throw_invalid(path, "must have at most " + number_text(alternative.max) + " bytes");
      return;
    }
    case Kind::one_of:
      if (std::ranges::count(alternative.words, value.get_ref<const std::string&>()) == 0) {
        throw_invalid(path, "must be one of: " + joined(alternative.words));
      }
      return;
    case Kind::list: {
      if (double(value.size()) < alternative.min)
        throw_invalid(path, "must have at least " + number_text(alternative.min) + " entries");
      if (double(value.size()) > alternative.max)
        throw_invalid(path, "must have at most " + number_text(alternative.max) + " entries");
      for (std::size_t i = 0; i < value.size(); ++i) {
        const PathScope scope(path, i);
        alternative.inner.front().check(value[i], path);
      }
      return;
    }
    case Kind::map:
      if (double(value.size()) > alternative.max)
        throw_invalid(path, "must have at most " + number_text(alternative.max) + " entries");
      for (const auto& [key, inner] : value.items()) {
        if (key.size() > alternative.max_key_bytes)
          throw_invalid(path,
                        "has a key of more than " + std::to_string(alternative.max_key_bytes) + " bytes");
        const PathScope scope(path, key);
        alternative.inner.front().check(inner, path);
      }
      return;
    case Kind::object:
      return check_members(alternative.members, value, path);
    case Kind::variant: {
      const auto it = value.find(alternative.key);
      std::string word = alternative.default_variant;
      std::vector<std::string> known;
      for (const auto& [name, members] : alternative.variants) known.push_back(name);
      {
        const PathScope scope(path, alternative.key);
        if (it == value.end() || it->is_null()) {
          if (word.empty()) throw_invalid(path, "is missing");
        } else if (!it->is_string()) {
          throw_invalid(path, "must be one of: " + joined(known));
        } else {
          word = it->get<std::string>();
        }
        if (std::ranges::count(known, word) == 0) throw_invalid(path, "must be one of: " + joined(known));
      }
      const auto variant =
          std::ranges::find(alternative.variants, word, [](const auto& v) { return v.first; });
      return check_members(variant->second, value, path);
    }
  }
}

}  // namespace bankmux::net::openai
