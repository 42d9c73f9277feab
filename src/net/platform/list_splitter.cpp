#include "net/platform/list_splitter.hpp"

#include <utility>

namespace bankmux::net {

void ListSplitter::clear() { *this = ListSplitter{}; }

void ListSplitter::feed(std::string_view bytes, const std::function<void(const std::string&)>& object) {
  const auto emit = [&] {
    const std::string text = std::exchange(text_, {});
    depth_ = 0;
    within_string_ = escaped_ = false;
    if (!text.empty()) object(text);
  };
  for (const char c : bytes) {
    const bool at_line_start = std::exchange(at_line_start_, c == '\n');
    // Lines within an object are indented; a brace in the first column means that the object before it is
    // truncated.
    if (at_line_start && c == '{' && depth_ > 0) emit();
    if (c == '\n' || c == '\r') {
      if (depth_ == 0) emit();
      within_string_ = false;  // JSON strings contain no line breaks
      continue;
    }
    text_ += c;
    if (within_string_) {
      within_string_ = escaped_ || c != '"';
      escaped_ = !escaped_ && c == '\\';
    } else if (c == '"') {
      within_string_ = true;
    } else if (c == '{') {
      ++depth_;
    } else if (c == '}' && depth_ > 0 && --depth_ == 0) {
      emit();
    }
  }
}

}  // namespace bankmux::net
