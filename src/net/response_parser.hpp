// Reads one HTTP/1.1 response from bytes as they come: head, then a body by length, in chunks or to the
// connection's end.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bankmux::net {

class ResponseParser {
 public:
  enum class State { head, body, done, bad };

  // Takes bytes; what they hold of the body is appended to `body`. Returns how many were used; fewer than
  // given only once done or bad.
  std::size_t feed(std::string_view bytes, std::string& body);
  // The connection has ended: whether the response is whole by that.
  bool finish();

  [[nodiscard]] State state() const { return state_; }
  [[nodiscard]] bool has_head() const { return has_head_; }
  [[nodiscard]] int status() const { return status_; }
  [[nodiscard]] bool keep_alive() const { return keep_alive_; }
  // The first header of that name, in any case; empty where there is none.
  [[nodiscard]] std::string_view header(std::string_view name) const;

 private:
  enum class Part { status_line, headers, length, until_end, chunk_size, chunk, chunk_end, trailers };

  void line(std::string_view text);
  void start_body();
  void fail() { state_ = State::bad; }

  State state_ = State::head;
  Part part_ = Part::status_line;
  std::string line_;
  std::size_t head_bytes_ = 0;
  int status_ = 0;
  bool has_head_ = false;
  bool keep_alive_ = true;
  std::uint64_t left_ = 0;
  std::vector<std::pair<std::string, std::string>> headers_;
};

bool same_name(std::string_view a, std::string_view b);

}  // namespace bankmux::net
