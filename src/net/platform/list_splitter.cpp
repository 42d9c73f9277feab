#include "net/platform/list_splitter.hpp"

#include <utility>

namespace bankmux::net {

void ListSplitter::clear() { *this = ListSplitter{}; }

void ListSplitter::feed(std::string_view bytes, const std::function<void(const std::string&)>& object) {
  const auto hand_on = [&] {
    const std::string text = std::exchange(text_, {});
    depth_ = 0;
    within_string_ = escaped_ = false;
    if (!text.empty()) object(text);
  };
  for (const char c : bytes) {
    const bool begins = std::exchange(line_begins_, c == '\n');
    // The lines of one object are indented; where one begins at the margin, that before it was cut short.
    if (begins && c == '{' && depth_ > 0) hand_on();
    if (c == '\n' || c == '\r') {
      if (depth_ == 0) hand_on();
      within_string_ = false;  // no string holds a line's end
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
      hand_on();
    }
  }
}

}  // namespace bankmux::net
