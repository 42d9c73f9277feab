// Incremental HTTP/1.1 message parser: start line, headers, then a body framed by length, by chunks or by the
// end of the connection. Strict, because parsers that disagree on the end of a message allow request
// smuggling: ambiguous input is rejected. Memory use is bounded by the limits: of bytes, and of header
// fields, since a short field takes many times its length.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bankmux::net {

using Headers = std::vector<std::pair<std::string, std::string>>;

// Header fields that one message may have; real ones have a few dozen.
constexpr std::size_t kMaxHeaderFields = 128;
constexpr std::size_t kMaxLineBytes = 16 * 1024;

class MessageParser {
 public:
  enum class State { head, body, done, bad };

  virtual ~MessageParser() = default;

  // Consumes bytes and appends decoded body bytes to `body`. Returns the number of bytes consumed, which is
  // less than given only once the state is done or bad.
  std::size_t feed(std::string_view bytes, std::string& body);

  [[nodiscard]] State state() const { return state_; }
  // Whether part of a head has been read, but not all of it.
  [[nodiscard]] bool within_head() const { return part_ == Part::headers || !line_.empty(); }
  [[nodiscard]] bool keep_alive() const { return keep_alive_; }
  // Value of the first header with this name (case-insensitive); empty if there is none.
  [[nodiscard]] std::string_view header(std::string_view name) const;
  [[nodiscard]] const Headers& headers() const { return headers_; }
  // Memory in bytes that the head and an incomplete line take: their text, and the list of header fields.
  [[nodiscard]] std::size_t held_bytes() const {
    return head_bytes_ + line_.size() + headers_.size() * sizeof(Headers::value_type);
  }

  // Position within a chunked body: what another process needs to continue parsing.
  struct BodyPosition {
    int part = 0;                 // Part, as a number
    std::uint64_t remaining = 0;  // bytes left in the current chunk
    std::string line;             // incomplete line read so far
    bool keep_alive = false;
  };
  // Empty unless the parser is within a chunked body.
  [[nodiscard]] std::optional<BodyPosition> position() const;

 protected:
  struct Limits {
    std::size_t head;      // all bytes before the body, including interim responses
    std::size_t fields;    // header fields of one head
    std::uint64_t chunk;   // size of a single chunk
    std::uint64_t length;  // Content-Length
  };
  enum class Part { start_line, headers, length, until_end, chunk_size, chunk, chunk_end, trailers };

  explicit MessageParser(Limits limits) : limits_(limits) {}

  // Whether the bytes of the first line so far can be the start of one. Rejects noise that never ends a line.
  [[nodiscard]] virtual bool may_be_start_line(std::string_view part) const = 0;
  virtual bool start_line(std::string_view text) = 0;
  // Called once all headers are read. Calls start_body(), skip_body() or, for an interim response,
  // expect_start_line().
  virtual void headers_done() = 0;

  // Continues parsing at a position of another process; false if it is not within a chunked body.
  bool resume_body(const BodyPosition& position);
  void expect_start_line() { part_ = Part::start_line; }
  void skip_body() { state_ = State::done; }
  // Selects the framing by the headers; `without_length` is used if they state none.
  void start_body(Part without_length);
  void fail() { state_ = State::bad; }
  [[nodiscard]] bool reads_until_close() const { return state_ == State::body && part_ == Part::until_end; }

  bool keep_alive_ = true;
  bool too_large_ = false;  // the reason for State::bad
  State state_ = State::head;

 private:
  void process_line(std::string_view text);
  void parse_header_line(std::string_view text);

  Limits limits_;
  Part part_ = Part::start_line;
  std::string line_;
  std::size_t head_bytes_ = 0;
  std::uint64_t remaining_ = 0;
  Headers headers_;
};

// Whether two header names are equal, ignoring case.
bool same_name(std::string_view a, std::string_view b);
// Whether a comma-separated header value, such as that of Connection, contains this word.
bool list_contains(std::string_view value, std::string_view word);

}  // namespace bankmux::net
