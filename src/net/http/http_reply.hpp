// The core's ClientReply over HTTP. A front says how it words a refusal and a failure.
#pragma once

#include <memory>

#include "core/ports.hpp"
#include "net/http/http_server.hpp"
#include "net/instances/payload.hpp"

namespace bankmux::net {

// "1.25": seconds as Retry-After takes them.
std::string retry_after(core::Duration stay_away);

class HttpReply : public core::ClientReply {
 public:
  explicit HttpReply(std::unique_ptr<Incoming> incoming) : incoming_(std::move(incoming)) {}

  void refuse(core::Duration stay_away) override;
  void fail(std::string_view why) override;
  void relay(const core::Answer& answer) override;
  void begin() override;
  void data(std::string_view bytes) override { incoming_->chunk(bytes); }
  void end() override { incoming_->end(); }
  void abort(bool) override { incoming_->abort(); }

 protected:
  std::unique_ptr<Incoming> incoming_;
};

}  // namespace bankmux::net
