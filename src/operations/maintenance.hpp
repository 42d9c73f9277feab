// The set of instances that operators have taken out of rotation for maintenance, and its file format. Does
// no I/O and reads no clock. It is a set, not a counter: one enable call ends any number of disable calls.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace bankmux::operations {

using Ids = std::set<std::string>;

// Bounds memory and the time to read the file. A discovery list holds at most 4,096 instances.
constexpr std::size_t kMaxIds = 4096;
constexpr std::size_t kMaxIdBytes = 128;

// The file's text: one line that names the format, then a sorted JSON list of ids.
std::string encode(const Ids& ids);
// Returns nullopt unless the text is complete and of this format, so that a damaged file is never read as an
// empty set.
std::optional<Ids> decode(std::string_view text);

// Whether an id from a request's path is well-formed: 1 to kMaxIdBytes letters, digits, '-', '_', '.' and
// ':'.
bool is_valid_id(std::string_view id);

}  // namespace bankmux::operations
