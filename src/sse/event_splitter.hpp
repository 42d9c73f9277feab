// Splits a stream of server-sent events into single events as delimited by the WHATWG HTML standard, section
// 9.2.6: lines end with LF, CRLF or CR, and an empty line ends an event. Does not change any byte. No I/O.
#pragma once

#include <string>
#include <string_view>
#include <utility>

namespace bankmux::sse {

// Offset of the first LF or CR, which ends the line; npos if there is none yet.
[[nodiscard]] inline std::size_t line_end(std::string_view text) {
  // Two searches for one character are many times faster than one search for either.
  const std::size_t lf = text.find('\n');
  const std::size_t cr = text.substr(0, lf).find('\r');
  return cr != std::string_view::npos ? cr : lf;
}

// Memory in bytes that a string has allocated; none for a short one.
[[nodiscard]] inline std::size_t allocated_bytes(const std::string& text) {
  const std::size_t capacity = text.capacity();
  return capacity > std::string().capacity() ? capacity : 0;
}

// Buffers at most one incomplete event between calls.
class EventSplitter {
 public:
  // `max_event_bytes`: limit for one event, including the empty line that ends it.
  explicit EventSplitter(std::size_t max_event_bytes) : max_event_bytes_(max_event_bytes) {}

  // Calls `on_event(std::string_view)` for each event that is complete by now, in order; concatenated they
  // are the bytes received. A view is valid only during its call. Returns false once an event exceeds the
  // limit; further input is then ignored.
  template <typename Handler>
  bool feed(std::string_view bytes, Handler on_event) {
    while (!bytes.empty() && !too_long_) {
      const std::size_t end = find_event_end(bytes);
      if (end == std::string_view::npos) {
        partial_event_ += bytes;
        too_long_ = partial_event_.size() > max_event_bytes_;
        return !too_long_;
      }
      if (partial_event_.size() + end > max_event_bytes_) {
        too_long_ = true;
        return false;
      }
      if (partial_event_.empty()) {
        on_event(bytes.substr(0, end));
      } else {
        partial_event_ += bytes.substr(0, end);
        // Moved out first: the callback may destroy this splitter.
        const std::string event = std::exchange(partial_event_, {});
        on_event(std::string_view(event));
      }
      bytes.remove_prefix(end);
    }
    return !too_long_;
  }

  // Memory in bytes that an incomplete event takes.
  [[nodiscard]] std::size_t held_bytes() const { return allocated_bytes(partial_event_); }
  // Whether an incomplete event is buffered.
  [[nodiscard]] bool within_event() const { return !partial_event_.empty(); }

 private:
  // Offset in `bytes`, the input after what was scanned so far, at which the current event ends; npos if it
  // does not.
  std::size_t find_event_end(std::string_view bytes);

  std::size_t max_event_bytes_;
  std::string partial_event_;
  bool too_long_ = false;
  bool line_is_empty_ = true;  // no byte of the current line has arrived
  bool after_cr_ = false;      // an LF that follows is part of the CRLF already seen
};

// Whether an event consists only of comments and empty lines.
[[nodiscard]] bool is_comment_only(std::string_view event);
// The data of one event: its data lines joined by LF.
[[nodiscard]] std::string event_data(std::string_view event);

}  // namespace bankmux::sse
