#include "sse/event_splitter.hpp"

#include <algorithm>

namespace bankmux::sse {

std::size_t EventSplitter::find_event_end(std::string_view bytes) {
  std::size_t at = 0;
  while (at < bytes.size()) {
    const char c = bytes[at];
    if (c == '\n' && std::exchange(after_cr_, false)) {
      ++at;
      continue;
    }
    after_cr_ = false;
    if (c != '\n' && c != '\r') {
      line_is_empty_ = false;
      const std::size_t end = line_end(bytes.substr(at));
      if (end == std::string_view::npos) return end;
      at += end;
      continue;
    }
    ++at;
    after_cr_ = c == '\r';
    if (!std::exchange(line_is_empty_, true)) continue;
    // An empty line ends the event. If it ends with CRLF and the LF is in this buffer, it belongs to this
    // event; an LF that arrives later is an ignored empty line before the next event.
    if (after_cr_ && at < bytes.size() && bytes[at] == '\n') {
      ++at;
      after_cr_ = false;
    }
    return at;
  }
  return std::string_view::npos;
}

bool is_comment_only(std::string_view event) {
  if (event.starts_with("\xEF\xBB\xBF")) event.remove_prefix(3);
  bool line_start = true;
  for (std::size_t at = 0; at < event.size(); ++at) {
    const char c = event[at];
    if (c == '\n' || c == '\r') {
      line_start = true;
    } else if (line_start && c != ':') {
      return false;
    } else {
      line_start = false;
    }
  }
  return true;
}

std::string event_data(std::string_view event) {
  if (event.starts_with("\xEF\xBB\xBF")) event.remove_prefix(3);
  std::string data;
  bool first = true;
  while (!event.empty()) {
    const std::size_t end = std::min(line_end(event), event.size());
    std::string_view line = event.substr(0, end);
    event.remove_prefix(std::min(end + 1, event.size()));
    if (!line.starts_with("data:")) continue;
    line.remove_prefix(5);
    if (line.starts_with(' ')) line.remove_prefix(1);
    if (!std::exchange(first, false)) data += '\n';
    data += line;
  }
  return data;
}

}  // namespace bankmux::sse
