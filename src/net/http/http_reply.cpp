#include "net/http/http_reply.hpp"

#include <cstdio>

namespace bankmux::net {

std::string retry_after(core::Duration stay_away) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", double(stay_away.count()) / 1e6);
  return text;
}

void HttpReply::refuse(const core::Ending& ending) {
  Headers headers;
  if (ending.stay_away.count() > 0) headers.emplace_back("Retry-After", retry_after(ending.stay_away));
  incoming_->answer(503, headers, "refused: trying again is harmless\n");
}

void HttpReply::fail(const core::Ending& ending) {
  const bool undecided = ending.cause == core::Ending::Cause::no_decision;
  incoming_->answer(502, {}, undecided ? "no decision in time\n" : "not answered in time\n");
}

void HttpReply::relay(const core::Answer& answer) {
  incoming_->answer(answer.status, {{"Content-Type", answer.content_type}}, answer.body);
}

void HttpReply::begin() {
  incoming_->begin(200, {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}});
}

}  // namespace bankmux::net
