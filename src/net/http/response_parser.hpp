// Reads one HTTP/1.1 response, past interim ones.
#pragma once

#include "net/http/message_parser.hpp"

namespace bankmux::net {

class ResponseParser : public MessageParser {
 public:
  ResponseParser();
  // The connection has ended: whether the response is whole by that.
  bool finish();
  [[nodiscard]] bool has_head() const { return has_head_; }
  [[nodiscard]] int status() const { return status_; }

 private:
  [[nodiscard]] bool may_start(std::string_view part) const override;
  bool start_line(std::string_view text) override;
  void headers_done() override;

  int status_ = 0;
  bool has_head_ = false;
};

}  // namespace bankmux::net
