// Reads one HTTP/1.1 message from bytes as they come: start line, headers, then a body by length, in chunks
// or to the connection's end. Strict, for what one reader takes for the end of a message and another does not
// may hide a second message: nothing doubtful is guessed at, and nothing is kept beyond the limits.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bankmux::net {

using Headers = std::vector<std::pair<std::string, std::string>>;

class MessageParser {
 public:
  enum class State { head, body, done, bad };

  virtual ~MessageParser() = default;

  // Takes bytes; what they hold of the body is appended to `body`. Returns how many were used; fewer than
  // given only once done or bad.
  std::size_t feed(std::string_view bytes, std::string& body);

  [[nodiscard]] State state() const { return state_; }
  // Some bytes of a head have come, and not all.
  [[nodiscard]] bool within_head() const { return part_ == Part::headers || !line_.empty(); }
  [[nodiscard]] bool keep_alive() const { return keep_alive_; }
  // The first header of that name, in any case; empty where there is none.
  [[nodiscard]] std::string_view header(std::string_view name) const;
  [[nodiscard]] const Headers& headers() const { return headers_; }

  // Where a message in chunks has come to within its body: what another process needs to read on.
  struct Place {
    int part = 0;
    std::uint64_t left = 0;  // of the chunk in hand
    std::string line;        // begun and not ended
    bool keep_alive = false;
  };
  // Nothing outside such a body.
  [[nodiscard]] std::optional<Place> place() const;

 protected:
  struct Limits {
    std::size_t head;      // all lines before the body, interim answers included
    std::uint64_t chunk;   // one chunk's size
    std::uint64_t length;  // a body's stated length
  };
  enum class Part { start_line, headers, length, until_end, chunk_size, chunk, chunk_end, trailers };

  explicit MessageParser(Limits limits) : limits_(limits) {}

  // Whether what has come of the first line can still become one. A peer that sends noise need not end it.
  [[nodiscard]] virtual bool may_start(std::string_view part) const = 0;
  virtual bool start_line(std::string_view text) = 0;
  // All headers are in: start_body() or skip_body(), or another start line by again().
  virtual void headers_done() = 0;

  // Reads on from there; false where it is no place within a body in chunks.
  bool go_on(const Place& place);
  void again() { part_ = Part::start_line; }
  void skip_body() { state_ = State::done; }
  // By the headers; `unsized` says what the lack of a length means.
  void start_body(Part unsized);
  void fail() { state_ = State::bad; }
  [[nodiscard]] bool to_the_end() const { return state_ == State::body && part_ == Part::until_end; }

  bool keep_alive_ = true;
  bool too_large_ = false;  // why it is bad
  State state_ = State::head;

 private:
  void line(std::string_view text);
  void header_line(std::string_view text);

  Limits limits_;
  Part part_ = Part::start_line;
  std::string line_;
  std::size_t head_bytes_ = 0;
  std::uint64_t left_ = 0;
  Headers headers_;
};

bool same_name(std::string_view a, std::string_view b);
// Whether a header that lists words, such as Connection, holds this one.
bool lists(std::string_view value, std::string_view word);

}  // namespace bankmux::net
