#include "operations/maintenance.hpp"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>

namespace bankmux::operations {

namespace {

constexpr std::string_view kHeader = "bankmux maintenance 1\n";

}  // namespace

std::string encode(const Ids& ids) { return std::string(kHeader) + nlohmann::json(ids).dump() + "\n"; }

std::optional<Ids> decode(std::string_view text) {
  // A truncated file lacks the final newline.
  if (!text.starts_with(kHeader) || !text.ends_with("\n")) return std::nullopt;
  const auto list = nlohmann::json::parse(text.substr(kHeader.size()), nullptr, false);
  if (!list.is_array() || list.size() > kMaxIds) return std::nullopt;
  Ids ids;
  for (const auto& id : list) {
    if (!id.is_string() || !is_valid_id(id.get_ref<const std::string&>())) return std::nullopt;
    ids.insert(id.get<std::string>());
  }
  return ids;
}

bool is_valid_id(std::string_view id) {
  return !id.empty() && id.size() <= kMaxIdBytes && std::ranges::all_of(id, [](unsigned char c) {
    return std::isalnum(c) || c == '-' || c == '_' || c == '.' || c == ':';
  });
}

}  // namespace bankmux::operations
