// Which instances are out for maintenance by an operator's word, and how a file says so. Pure: no file, no
// clock. An id is out or it is not: one call back answers any number of calls out.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace bankmux::operations {

using Ids = std::set<std::string>;

// Guards memory and the time that a reader of the file needs; a list holds at most 4,096 instances.
constexpr std::size_t kMostOut = 4096;
constexpr std::size_t kMostIdBytes = 128;

// The file's text: one line that names the form, then a JSON list of ids, in order.
std::string encode(const Ids& out);
// Nothing where the text is not whole and of this form: what is spoilt is never taken for "none is out".
std::optional<Ids> decode(std::string_view text);

// An id from a call's path: letters, digits, '-', '_', '.', ':', at most kMostIdBytes.
bool plain_id(std::string_view id);

}  // namespace bankmux::operations
