// Incremental HTTP/1.x request parser.
#pragma once

#include "net/http/message_parser.hpp"

namespace bankmux::net {

class RequestParser : public MessageParser {
 public:
  static constexpr std::size_t kMaxBodyBytes = 256 * 1024;
  // Upper bound of held_bytes().
  static constexpr std::size_t kMaxHeldHeadBytes = 64 * 1024;

  // `max_body`: upper bound of the body in bytes, whether stated by Content-Length or received in chunks.
  explicit RequestParser(std::size_t max_body = kMaxBodyBytes);

  [[nodiscard]] const std::string& method() const { return method_; }
  [[nodiscard]] const std::string& target() const { return target_; }
  [[nodiscard]] bool is_http_1_0() const { return http_1_0_; }  // the client does not support chunked coding
  [[nodiscard]] bool expects_continue() const;
  // HTTP status of the error response if the state is bad.
  [[nodiscard]] int error_status() const { return !too_large_ ? error_status_ : too_large_status_; }

  // Like feed(), but also rejects a chunked body whose total exceeds the limit.
  std::size_t feed_limited(std::string_view bytes, std::string& body);

 private:
  [[nodiscard]] bool may_be_start_line(std::string_view part) const override;
  bool start_line(std::string_view text) override;
  void headers_done() override;

  std::size_t max_body_;
  std::string method_, target_;
  bool http_1_0_ = false;
  int error_status_ = 400;
  int too_large_status_ = 431;
};

}  // namespace bankmux::net
