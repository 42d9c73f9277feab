#include "net/http/http_reply.hpp"

#include <cstdio>

namespace bankmux::net {

std::string retry_after(core::Duration stay_away) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", double(stay_away.count()) / 1e6);
  return text;
}

void HttpReply::refuse(core::Duration stay_away) {
  Headers headers;
  if (stay_away.count() > 0) headers.emplace_back("Retry-After", retry_after(stay_away));
  incoming_->answer(503, headers, "refused: trying again is harmless\n");
}

void HttpReply::fail(std::string_view why) { incoming_->answer(502, {}, std::string(why) + "\n"); }

void HttpReply::relay(const core::Answer& answer) {
  incoming_->answer(answer.status, {{"Content-Type", answer.content_type}}, answer.body);
}

void HttpReply::begin() {
  incoming_->begin(200, {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}});
}

}  // namespace bankmux::net
