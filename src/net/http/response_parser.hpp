// Incremental HTTP/1.1 response parser. Skips interim (1xx) responses.
#pragma once

#include "net/http/message_parser.hpp"

namespace bankmux::net {

class ResponseParser : public MessageParser {
 public:
  ResponseParser();
  // To be called when the connection has ended. True if the response is complete.
  bool finish_at_close();
  // Continues a chunked 200 response that another process has parsed up to `position`; false if that is
  // invalid.
  bool resume_stream(const BodyPosition& position) {
    status_ = 200;
    has_head_ = true;
    return resume_body(position);
  }
  [[nodiscard]] bool has_head() const { return has_head_; }
  [[nodiscard]] int status() const { return status_; }

 private:
  [[nodiscard]] bool may_be_start_line(std::string_view part) const override;
  bool start_line(std::string_view text) override;
  void headers_done() override;

  int status_ = 0;
  bool has_head_ = false;
};

}  // namespace bankmux::net
