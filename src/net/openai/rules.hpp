// A small language for what a request's fields may hold, and the walk that checks one. A rule lists the forms
// that a value may have, one for each JSON type; fields that no rule names are passed on unlooked at, for the
// published API grows. Null stands for an absent field wherever that field is optional. Pure.
#pragma once

#include <initializer_list>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <utility>
#include <vector>

namespace bankmux::net::openai {

struct Member;
using Members = std::vector<Member>;

class Rule {
 public:
  // Bounds are inclusive; those of texts are bytes, of lists and maps entries.
  static Rule any();
  static Rule flag();
  static Rule whole(double least, double most);
  static Rule number(double least, double most);
  static Rule text(std::size_t least = 0, std::size_t most = kMostText);
  static Rule word(std::initializer_list<const char*> words);
  static Rule list(Rule element, std::size_t least = 0, std::size_t most = kMostEntries);
  static Rule object(Members members);
  static Rule map(Rule value, std::size_t most, std::size_t most_key);
  // An object whose members depend on the word under `key`; `otherwise`: the word where the key is missing.
  static Rule variant(const char* key, std::vector<std::pair<std::string, Members>> variants,
                      const char* otherwise = nullptr);
  // Either form; they differ in their JSON type.
  Rule operator|(const Rule& other) const;

  // Throws RequestError with the path of the first field that does not fit.
  void check(const nlohmann::json& value, std::string& path) const;

  static constexpr std::size_t kMostText = 64 * 1024 * 1024;  // the body's own bound is lower
  static constexpr std::size_t kMostEntries = 4096;

 private:
  enum class Kind { any, flag, whole, number, text, word, list, object, map, variant };
  struct Form;
  static Rule of(Form form);
  [[nodiscard]] static bool fits(const Form& form, const nlohmann::json& value);
  [[nodiscard]] static std::string described(const Form& form);
  static void check_members(const Members& members, const nlohmann::json& value, std::string& path);
  static void check_form(const Form& form, const nlohmann::json& value, std::string& path);

  std::vector<Form> forms_;
};

struct Member {
  std::string name;
  Rule rule;
  bool required = false;
};

// Defined once its members are complete.
struct Rule::Form {
  explicit Form(Kind k, double l = 0.0, double m = 0.0) : kind(k), least(l), most(m) {}
  Kind kind;
  double least, most;
  std::size_t most_key = 0;
  std::vector<std::string> words;
  std::vector<Rule> inner;  // of a list's entries, of a map's values
  Members members;
  std::string key, otherwise;
  std::vector<std::pair<std::string, Members>> variants;
};

}  // namespace bankmux::net::openai
