// Admission control over HTTP: error replies, rate-limit headers and the Idempotency-Key header. No I/O.
#pragma once

#include <string>

#include "admission/admission_control.hpp"
#include "net/openai/error_replies.hpp"

namespace bankmux::net::openai {

// The reply to a request that is not admitted and for which there is no recorded answer.
ErrorReply error_reply(const admission::AdmissionResult& result);

// Adds x-ratelimit-limit|remaining|reset-requests|tokens for those of the two that are limited.
void add_limit_headers(Headers& headers, const admission::Limits& limits,
                       const admission::LimitStatus& status);

// Formats the time until a limit is fully available again as the published API does: "350ms", "1.5s", "6m0s".
std::string reset_text(core::Duration time);

// The Idempotency-Key header; empty if there is none. Throws RequestError if it appears twice, is empty, is
// longer than 255 characters or is not printable.
std::string idempotency_key(const Headers& headers);

}  // namespace bankmux::net::openai
