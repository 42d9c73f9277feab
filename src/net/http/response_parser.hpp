// Reads one HTTP/1.1 response, past interim ones.
#pragma once

#include "net/http/message_parser.hpp"

namespace bankmux::net {

class ResponseParser : public MessageParser {
 public:
  ResponseParser();
  // The connection has ended: whether the response is whole by that.
  bool finish();
  // A stream (200, in chunks) that another process has read up to this place; false where it can't be.
  bool go_on_with_stream(const Place& place) {
    status_ = 200;
    has_head_ = true;
    return go_on(place);
  }
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
