#include "net/openai/error_replies.hpp"

#include <algorithm>
#include <chrono>

namespace bankmux::net::openai {

using core::Ending;
using eiderarch::Outcome;
using namespace std::chrono_literals;

namespace {

constexpr core::Duration kDefaultWait = 1s;  // if neither the core nor an instance advised a wait

}  // namespace

ErrorReply error_reply(const Ending& ending) {
  const bool safe_to_retry = !ending.may_have_run || ending.repeat_safe;
  ErrorReply reply;
  reply.should_retry = safe_to_retry;
  if (safe_to_retry) reply.wait = ending.stay_away.count() > 0 ? ending.stay_away : kDefaultWait;
  if (ending.cause == Ending::Cause::broke_off) {
    reply.status = 502;
    reply.code = "stream_broken";
    reply.message = safe_to_retry ? "The answer broke off. Asking again is harmless."
                                  : "The answer broke off. The request has run: look before asking again.";
    return reply;
  }
  if (!ending.may_have_run) {
    const bool timed_out = ending.cause == Ending::Cause::no_decision;
    reply.status = timed_out ? 504 : 503;
    reply.code = timed_out ? "no_box_in_time" : "overloaded";
    reply.message =
        timed_out ? "No box could take the request in time; nothing was run, and trying again is harmless."
                  : "Overloaded; nothing was run, and trying again is harmless.";
    return reply;
  }
  const bool timed_out = ending.cause == Ending::Cause::no_decision || ending.last == Outcome::timed_out;
  reply.status = timed_out ? 504 : 502;
  if (safe_to_retry) {
    reply.code = timed_out ? "upstream_timeout" : "upstream_failed";
    reply.message = timed_out ? "No box answered in time. Trying again is harmless."
                              : "The boxes that tried this request failed. Trying again is harmless.";
  } else {
    reply.code = "outcome_unknown";
    reply.message = timed_out
                        ? "No answer came in time, and the request may have run: look before asking again."
                        : "The box failed, and the request may have run: look before asking again.";
  }
  return reply;
}

ErrorReply error_reply(int status) {
  switch (status) {
    case 400:
      return {400, "invalid_request_error", "bad_http", "The request is not sound HTTP."};
    case 408:
      return {408,
              "invalid_request_error",
              "request_timeout",
              "The request did not come whole in time.",
              true,
              kDefaultWait};
    case 413:
      return {413, "invalid_request_error", "body_too_large", "The body is larger than this server takes."};
    case 431:
      return {431, "invalid_request_error", "head_too_large",
              "The headers are larger than this server takes."};
    case 501:
      return {501, "invalid_request_error", "method_unknown", "This server does not know the method."};
    case 503:
      return {503,          "server_error",
              "overloaded", "Too many large requests at once; nothing was run, and trying again is harmless.",
              true,         kDefaultWait};
    case 505:
      return {505, "invalid_request_error", "http_version", "This server speaks HTTP/1.1."};
    default:
      return {status, "server_error", "internal_error", "Something went wrong here."};
  }
}

void add_retry_headers(Headers& headers, bool should_retry, core::Duration wait) {
  headers.emplace_back("x-should-retry", should_retry ? "true" : "false");
  if (!should_retry || wait.count() <= 0) return;
  // Retry-After has whole seconds by the HTTP standard; clients of this API look at Retry-After-Ms first.
  headers.emplace_back("Retry-After", std::to_string((wait.count() + 999'999) / 1'000'000));
  headers.emplace_back("Retry-After-Ms", std::to_string(std::max<std::int64_t>(wait.count() / 1000, 1)));
}

}  // namespace bankmux::net::openai
