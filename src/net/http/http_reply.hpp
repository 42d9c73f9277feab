// Implements core::ClientReply over HTTP. Front-specific subclasses override how refusals and failures are
// worded.
#pragma once

#include <memory>

#include "core/ports.hpp"
#include "net/http/http_server.hpp"
#include "net/http/payload.hpp"

namespace bankmux::net {

// Formats a duration for Retry-After, in seconds with three decimals: 1.25 s is "1.250".
std::string retry_after(core::Duration stay_away);

class HttpReply : public core::ClientReply {
 public:
  explicit HttpReply(std::unique_ptr<IncomingRequest> incoming) : incoming_(std::move(incoming)) {}

  [[nodiscard]] bool client_closed() const override { return incoming_->client_closed(); }
  void refuse(const core::Ending& ending) override;
  void fail(const core::Ending& ending) override;
  void relay(const core::Answer& answer) override;
  void begin() override;
  void data(std::string_view bytes) override { incoming_->chunk(bytes); }
  bool wait_for_output_room(const std::function<void()>& room) override {
    return incoming_->wait_for_output_room(room);
  }
  void end() override { incoming_->end(); }
  void abort(const core::Ending&) override { incoming_->abort(); }

 protected:
  std::unique_ptr<IncomingRequest> incoming_;
};

}  // namespace bankmux::net
