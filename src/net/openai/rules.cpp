#include "net/openai/rules.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <sstream>

#include "net/openai/errors.hpp"

namespace bankmux::net::openai {

using nlohmann::json;

namespace {

// Lengthens a path for as long as it lives.
class Step {
 public:
  Step(std::string& path, const std::string& name) : path_(path), before_(path.size()) {
    path_ += path_.empty() ? name : "." + name;
  }
  Step(std::string& path, std::size_t index) : path_(path), before_(path.size()) {
    path_ += '[' + std::to_string(index) + ']';
  }
  ~Step() { path_.resize(before_); }
  Step(const Step&) = delete;
  Step& operator=(const Step&) = delete;

 private:
  std::string& path_;
  std::size_t before_;
};

[[noreturn]] void bad(const std::string& path, const std::string& what) { throw RequestError{what, path}; }

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

Rule Rule::of(Form form) {
  Rule rule;
  rule.forms_.push_back(std::move(form));
  return rule;
}

Rule Rule::any() { return of(Form(Kind::any)); }
Rule Rule::flag() { return of(Form(Kind::flag)); }
Rule Rule::whole(double least, double most) { return of(Form(Kind::whole, least, most)); }
Rule Rule::number(double least, double most) { return of(Form(Kind::number, least, most)); }
Rule Rule::text(std::size_t least, std::size_t most) {
  return of(Form(Kind::text, double(least), double(most)));
}
Rule Rule::word(std::initializer_list<const char*> words) {
  Form form(Kind::word);
  form.words.assign(words.begin(), words.end());
  return of(std::move(form));
}
Rule Rule::list(Rule element, std::size_t least, std::size_t most) {
  Form form(Kind::list, double(least), double(most));
  form.inner.push_back(std::move(element));
  return of(std::move(form));
}
Rule Rule::object(Members members) {
  Form form(Kind::object);
  form.members = std::move(members);
  return of(std::move(form));
}
Rule Rule::map(Rule value, std::size_t most, std::size_t most_key) {
  Form form(Kind::map, 0.0, double(most));
  form.most_key = most_key;
  form.inner.push_back(std::move(value));
  return of(std::move(form));
}
Rule Rule::variant(const char* key, std::vector<std::pair<std::string, Members>> variants,
                   const char* otherwise) {
  Form form(Kind::variant);
  form.key = key;
  form.otherwise = otherwise != nullptr ? otherwise : "";
  form.variants = std::move(variants);
  return of(std::move(form));
}

Rule Rule::operator|(const Rule& other) const {
  Rule both = *this;
  both.forms_.insert(both.forms_.end(), other.forms_.begin(), other.forms_.end());
  return both;
}

bool Rule::fits(const Form& form, const json& value) {
  switch (form.kind) {
    case Kind::any:
      return true;
    case Kind::flag:
      return value.is_boolean();
    case Kind::whole:
      // 3.0 is a whole number by JSON's own terms.
      return value.is_number() && value.get<double>() == std::floor(value.get<double>());
    case Kind::number:
      return value.is_number();
    case Kind::text:
    case Kind::word:
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

std::string Rule::described(const Form& form) {
  switch (form.kind) {
    case Kind::any:
      return "anything";
    case Kind::flag:
      return "true or false";
    case Kind::whole:
      return "a whole number";
    case Kind::number:
      return "a number";
    case Kind::text:
      return "text";
    case Kind::word:
      return "one of: " + joined(form.words);
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
  const auto form = std::ranges::find_if(forms_, [&value](const Form& f) { return fits(f, value); });
  if (form != forms_.end()) return check_form(*form, value, path);
  std::string wanted;
  for (const Form& f : forms_) wanted += (wanted.empty() ? "" : " or ") + described(f);
  bad(path, "must be " + wanted);
}

void Rule::check_members(const Members& members, const json& value, std::string& path) {
  for (const Member& member : members) {
    const auto it = value.find(member.name);
    const bool there = it != value.end() && !it->is_null();
    if (!there && !member.required) continue;  // most fields of most requests
    const Step step(path, member.name);
    if (!there) bad(path, "is missing");
    member.rule.check(*it, path);
  }
}

void Rule::check_form(const Form& form, const json& value, std::string& path) {
  switch (form.kind) {
    case Kind::any:
    case Kind::flag:
      return;
    case Kind::whole:
    case Kind::number: {
      const double number = value.get<double>();
      if (number >= form.least && number <= form.most) return;
      bad(path, "must be from " + number_text(form.least) + " to " + number_text(form.most));
    }
    case Kind::text: {
      const std::size_t size = value.get_ref<const std::string&>().size();
      if (double(size) < form.least) bad(path, "must not be empty");
      if (double(size) > form.most) bad(path, "must have at most " + number_text(form.most) + " bytes");
      return;
    }
    case Kind::word:
      if (std::ranges::count(form.words, value.get_ref<const std::string&>()) == 0) {
        bad(path, "must be one of: " + joined(form.words));
      }
      return;
    case Kind::list: {
      if (double(value.size()) < form.least)
        bad(path, "must have at least " + number_text(form.least) + " entries");
      if (double(value.size()) > form.most)
        bad(path, "must have at most " + number_text(form.most) + " entries");
      for (std::size_t i = 0; i < value.size(); ++i) {
        const Step step(path, i);
        form.inner.front().check(value[i], path);
      }
      return;
    }
    case Kind::map:
      if (double(value.size()) > form.most)
        bad(path, "must have at most " + number_text(form.most) + " entries");
      for (const auto& [key, inner] : value.items()) {
        if (key.size() > form.most_key)
          bad(path, "has a key of more than " + std::to_string(form.most_key) + " bytes");
        const Step step(path, key);
        form.inner.front().check(inner, path);
      }
      return;
    case Kind::object:
      return check_members(form.members, value, path);
    case Kind::variant: {
      const auto it = value.find(form.key);
      std::string word = form.otherwise;
      std::vector<std::string> known;
      for (const auto& [name, members] : form.variants) known.push_back(name);
      {
        const Step step(path, form.key);
        if (it == value.end() || it->is_null()) {
          if (word.empty()) bad(path, "is missing");
        } else if (!it->is_string()) {
          bad(path, "must be one of: " + joined(known));
        } else {
          word = it->get<std::string>();
        }
        if (std::ranges::count(known, word) == 0) bad(path, "must be one of: " + joined(known));
      }
      const auto variant = std::ranges::find(form.variants, word, [](const auto& v) { return v.first; });
      return check_members(variant->second, value, path);
    }
  }
}

}  // namespace bankmux::net::openai
