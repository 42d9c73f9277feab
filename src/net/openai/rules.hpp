// Rules for the fields of a JSON request, and the validation against them. A rule lists the alternatives that
// a value may match, at most one for each JSON type. Fields without a rule are accepted unchecked, because
// the published API grows. Null counts as absent wherever a field is optional. No I/O.
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
  // Bounds are inclusive: bytes for text, entries for lists and maps.
  static Rule any();
  static Rule boolean();
  static Rule integer(double min, double max);
  static Rule number(double min, double max);
  static Rule text(std::size_t min = 0, std::size_t max = kMaxTextBytes);
  static Rule one_of(std::initializer_list<const char*> words);
  static Rule list(Rule element, std::size_t min = 0, std::size_t max = kMaxEntries);
  static Rule object(Members members);
  static Rule map(Rule value, std::size_t max, std::size_t max_key_bytes);
  // An object whose members depend on the string under `key`. `default_variant`: the string to assume if the
  // key is missing.
  static Rule variant(const char* key, std::vector<std::pair<std::string, Members>> variants,
                      const char* default_variant = nullptr);
  // Either alternative; they must differ in their JSON type.
  Rule operator|(const Rule& other) const;

  // Throws RequestError with the path of the first invalid field. `path`: of `value`, empty for the body; it
  // is extended during the call.
  void check(const nlohmann::json& value, std::string& path) const;

  static constexpr std::size_t kMaxTextBytes = 64 * 1024 * 1024;  // the limit for the request body is lower
  static constexpr std::size_t kMaxEntries = 4096;

 private:
  enum class Kind { any, boolean, integer, number, text, one_of, list, object, map, variant };
  struct Alternative;
  static Rule of(Alternative alternative);
  [[nodiscard]] static bool has_type(const Alternative& alternative, const nlohmann::json& value);
  [[nodiscard]] static std::string type_description(const Alternative& alternative);
  static void check_members(const Members& members, const nlohmann::json& value, std::string& path);
  static void check_alternative(const Alternative& alternative, const nlohmann::json& value,
                                std::string& path);

  std::vector<Alternative> alternatives_;
};

struct Member {
  std::string name;
  Rule rule;
  bool required = false;
};

// Defined after Member, which it needs as a complete type.
struct Rule::Alternative {
  explicit Alternative(Kind k, double l = 0.0, double m = 0.0) : kind(k), min(l), max(m) {}
  Kind kind;
  double min, max;
  std::size_t max_key_bytes = 0;
  std::vector<std::string> words;
  std::vector<Rule> inner;  // the rule for a list's entries or a map's values
  Members members;
  std::string key, default_variant;
  std::vector<std::pair<std::string, Members>> variants;
};

}  // namespace bankmux::net::openai
