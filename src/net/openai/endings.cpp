#include "net/openai/endings.hpp"

#include <algorithm>
#include <chrono>

namespace bankmux::net::openai {

using core::Ending;
using eiderarch::Outcome;
using namespace std::chrono_literals;

namespace {

constexpr core::Duration kWait = 1s;  // where nobody advised one

}  // namespace

Told tell(const Ending& ending) {
  const bool harmless = !ending.may_have_run || ending.repeat_safe;
  Told told;
  told.should_retry = harmless;
  if (harmless) told.wait = ending.stay_away.count() > 0 ? ending.stay_away : kWait;
  if (ending.cause == Ending::Cause::broke_off) {
    told.status = 502;
    told.code = "stream_broken";
    told.message = harmless ? "The answer broke off. Asking again is harmless."
                            : "The answer broke off. The request has run: look before asking again.";
    return told;
  }
  if (!ending.may_have_run) {
    const bool late = ending.cause == Ending::Cause::no_decision;
    told.status = late ? 504 : 503;
    told.code = late ? "no_box_in_time" : "overloaded";
    told.message =
        late ? "No box could take the request in time; nothing was run, and trying again is harmless."
             : "Overloaded; nothing was run, and trying again is harmless.";
    return told;
  }
  const bool late = ending.cause == Ending::Cause::no_decision || ending.last == Outcome::timed_out;
  told.status = late ? 504 : 502;
  if (harmless) {
    told.code = late ? "upstream_timeout" : "upstream_failed";
    told.message = late ? "No box answered in time. Trying again is harmless."
                        : "The boxes that tried this request failed. Trying again is harmless.";
  } else {
    told.code = "outcome_unknown";
    told.message = late ? "No answer came in time, and the request may have run: look before asking again."
                        : "The box failed, and the request may have run: look before asking again.";
  }
  return told;
}

Told tell(int status) {
  switch (status) {
    case 400:
      return {400, "invalid_request_error", "bad_http", "The request is not sound HTTP."};
    case 408:
      return {
          408,  "invalid_request_error", "request_timeout", "The request did not come whole in time.", true,
          kWait};
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
              true,         kWait};
    case 505:
      return {505, "invalid_request_error", "http_version", "This server speaks HTTP/1.1."};
    default:
      return {status, "server_error", "internal_error", "Something went wrong here."};
  }
}

void add_retry_headers(Headers& headers, bool should_retry, core::Duration wait) {
  headers.emplace_back("x-should-retry", should_retry ? "true" : "false");
  if (!should_retry || wait.count() <= 0) return;
  // Whole seconds by HTTP's own rules; the finer one is what clients of this API look at first.
  headers.emplace_back("Retry-After", std::to_string((wait.count() + 999'999) / 1'000'000));
  headers.emplace_back("Retry-After-Ms", std::to_string(std::max<std::int64_t>(wait.count() / 1000, 1)));
}

}  // namespace bankmux::net::openai
