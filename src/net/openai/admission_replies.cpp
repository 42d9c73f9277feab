#include "net/openai/admission_replies.hpp"

#include <algorithm>
#include <cstdio>

#include "net/openai/errors.hpp"

namespace bankmux::net::openai {

namespace {

using admission::AdmissionStatus;
using admission::ExceededLimit;

constexpr std::size_t kMaxKeyBytes = 255;

const char* limit_message(ExceededLimit limited) {
  switch (limited) {
    case ExceededLimit::requests:
      return "This key's requests a minute are spent; nothing was run.";
    case ExceededLimit::tokens:
      return "This key's tokens a minute are spent; nothing was run.";
    default:
      return "This key has as many requests open as it may; nothing was run.";
  }
}

}  // namespace

ErrorReply error_reply(const admission::AdmissionResult& result) {
  switch (result.status) {
    case AdmissionStatus::limited:
      return {429,
              result.limited == ExceededLimit::tokens ? "tokens" : "requests",
              "rate_limit_exceeded",
              limit_message(result.limited),
              true,
              result.wait};
    case AdmissionStatus::over_share:
      return {429,
              "requests",
              "tenant_over_share",
              "This tenant has its share of all open requests; nothing was run.",
              true,
              result.wait};
    case AdmissionStatus::too_many_tenants:
      return {503,  "server_error", "overloaded", "Too many keys are at work at once; nothing was run.",
              true, result.wait};
    case AdmissionStatus::in_progress:
      return {
          409,
          "invalid_request_error",
          "request_in_progress",
          result.ticket.by_key
              ? "The first request with this Idempotency-Key is still running; its answer can be asked for "
                "again."
              : "An identical request is still running, of which this may be a retry; ask again when it has "
                "ended.",
          true,
          result.wait};
    case AdmissionStatus::key_reused:
      return {422, "invalid_request_error", "idempotency_key_reused",
              "This Idempotency-Key was used for another request."};
    case AdmissionStatus::ledger_full:
      return {503,
              "server_error",
              "ledger_full",
              "No room to keep this Idempotency-Key, and the request must not run twice; nothing was run.",
              true,
              result.wait};
    default:
      return {502, "server_error", "outcome_unknown",
              result.ticket.by_key
                  ? "The first request with this key may have run, and its answer is not known: look before "
                    "asking again."
                  : "An identical request may have run, and whether this is its retry is not known: look "
                    "before asking again, with an Idempotency-Key."};
  }
}

std::string reset_text(core::Duration time) {
  const auto ms = std::max<std::int64_t>((time.count() + 999) / 1000, 0);
  if (ms < 1000) return std::to_string(ms) + "ms";
  char seconds[32];
  std::snprintf(seconds, sizeof seconds, "%.3f", double(ms % 60'000) / 1000.0);
  std::string text = seconds;
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') text.pop_back();
  return (ms >= 60'000 ? std::to_string(ms / 60'000) + "m" : "") + text + "s";
}

void add_limit_headers(Headers& headers, const admission::Limits& limits,
                       const admission::LimitStatus& status) {
  const auto add = [&headers](const std::string& what, std::int64_t limit, std::int64_t left,
                              core::Duration reset) {
    if (limit <= 0) return;
    headers.emplace_back("x-ratelimit-limit-" + what, std::to_string(limit));
    headers.emplace_back("x-ratelimit-remaining-" + what, std::to_string(left));
    headers.emplace_back("x-ratelimit-reset-" + what, reset_text(reset));
  };
  add("requests", limits.requests_per_minute, status.remaining_requests, status.reset_requests);
  add("tokens", limits.tokens_per_minute, status.remaining_tokens, status.reset_tokens);
}

std::string idempotency_key(const Headers& headers) {
  const std::string* found = nullptr;
  for (const auto& [name, value] : headers) {
    if (!same_name(name, "Idempotency-Key")) continue;
    if (found != nullptr) throw RequestError{"is there twice", "Idempotency-Key"};
    found = &value;
  }
  if (found == nullptr) return "";
  if (found->empty() || found->size() > kMaxKeyBytes) {
    throw RequestError{"must be 1 to 255 characters long", "Idempotency-Key"};
  }
  if (!std::ranges::all_of(*found, [](unsigned char c) { return c > 0x20 && c < 0x7f; })) {
    throw RequestError{"must be of printable ASCII characters without spaces", "Idempotency-Key"};
  }
  return *found;
}

}  // namespace bankmux::net::openai
