#include "operations/maintenance.hpp"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>

namespace bankmux::operations {

namespace {

constexpr std::string_view kForm = "bankmux maintenance 1\n";

}  // namespace

std::string encode(const Ids& out) { return std::string(kForm) + nlohmann::json(out).dump() + "\n"; }

std::optional<Ids> decode(std::string_view text) {
  // The last byte tells a file that was cut short.
  if (!text.starts_with(kForm) || !text.ends_with("\n")) return std::nullopt;
  const auto list = nlohmann::json::parse(text.substr(kForm.size()), nullptr, false);
  if (!list.is_array() || list.size() > kMostOut) return std::nullopt;
  Ids out;
  for (const auto& id : list) {
    if (!id.is_string() || !plain_id(id.get_ref<const std::string&>())) return std::nullopt;
    out.insert(id.get<std::string>());
  }
  return out;
}

bool plain_id(std::string_view id) {
  return !id.empty() && id.size() <= kMostIdBytes && std::ranges::all_of(id, [](unsigned char c) {
    return std::isalnum(c) || c == '-' || c == '_' || c == '.' || c == ':';
  });
}

}  // namespace bankmux::operations
