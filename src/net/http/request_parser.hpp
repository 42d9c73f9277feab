// Reads one HTTP/1.1 request.
#pragma once

#include "net/http/message_parser.hpp"

namespace bankmux::net {

class RequestParser : public MessageParser {
 public:
  static constexpr std::size_t kMostBody = 256 * 1024;

  // `most_body`: bytes that a body may have, by its stated length or as its chunks come.
  explicit RequestParser(std::size_t most_body = kMostBody);

  [[nodiscard]] const std::string& method() const { return method_; }
  [[nodiscard]] const std::string& target() const { return target_; }
  [[nodiscard]] bool old() const { return old_; }  // HTTP/1.0: its client knows no chunks
  [[nodiscard]] bool expects_continue() const;
  // What its client is told where it is bad.
  [[nodiscard]] int fault() const { return !too_large_ ? fault_ : too_large_fault_; }

  // As feed(), but a body beyond the limit is bad whatever its chunks say.
  std::size_t take(std::string_view bytes, std::string& body);

 private:
  [[nodiscard]] bool may_start(std::string_view part) const override;
  bool start_line(std::string_view text) override;
  void headers_done() override;

  std::size_t most_body_;
  std::string method_, target_;
  bool old_ = false;
  int fault_ = 400;
  int too_large_fault_ = 431;
};

}  // namespace bankmux::net
