// Cuts a stream of server-sent events into whole ones, as the WHATWG HTML standard, section 9.2.6, delimits
// them: lines end with LF, CRLF or CR, and an empty line ends an event. Changes no byte; pure.
#pragma once

#include <string>
#include <string_view>
#include <utility>

namespace bankmux::sse {

// Where a line ends: its first LF or CR; npos where none has come.
[[nodiscard]] inline std::size_t line_end(std::string_view text) {
  // Two plain searches are many times faster than one for either letter.
  const std::size_t lf = text.find('\n');
  const std::size_t cr = text.substr(0, lf).find('\r');
  return cr != std::string_view::npos ? cr : lf;
}

class EventSplitter {
 public:
  // `most`: bytes of one event, its end included.
  explicit EventSplitter(std::size_t most) : most_(most) {}

  // Calls `event(std::string_view)` for each event that is whole by now, in order; the pieces joined are what
  // came. The views end with the call. False once an event is longer than may be; nothing is taken after
  // that.
  template <typename Event>
  bool feed(std::string_view bytes, Event event) {
    while (!bytes.empty() && !too_long_) {
      const std::size_t end = scan(bytes);
      if (end == std::string_view::npos) {
        part_ += bytes;
        too_long_ = part_.size() > most_;
        return !too_long_;
      }
      if (part_.size() + end > most_) {
        too_long_ = true;
        return false;
      }
      if (part_.empty()) {
        event(bytes.substr(0, end));
      } else {
        part_ += bytes.substr(0, end);
        // Taken out first: what is called may destroy this.
        const std::string whole = std::exchange(part_, {});
        event(std::string_view(whole));
      }
      bytes.remove_prefix(end);
    }
    return !too_long_;
  }

  // An event has begun and not ended.
  [[nodiscard]] bool within_event() const { return !part_.empty(); }

 private:
  // Where the event in hand ends within these bytes, which begin after all that was scanned before.
  std::size_t scan(std::string_view bytes);

  std::size_t most_;
  std::string part_;
  bool too_long_ = false;
  bool line_empty_ = true;  // no byte of the line in hand has come
  bool after_cr_ = false;   // an LF now belongs to the line end before it
};

// Whether an event holds nothing but comments and empty lines.
[[nodiscard]] bool only_comments(std::string_view event);
// The data of one event: its lines joined by LF.
[[nodiscard]] std::string event_data(std::string_view event);

}  // namespace bankmux::sse
