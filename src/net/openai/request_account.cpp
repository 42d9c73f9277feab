#include "net/openai/request_account.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace bankmux::net::openai {

using nlohmann::json;

namespace {

constexpr std::size_t kMaxUsageBytes = 4096;  // limit for a usage object; those of the published API have 300
constexpr double kMaxCount = 1e15;            // larger figures are not token counts, nor exact in a double

// A count reported by an instance; nullopt if it is missing, negative, infinite or not a number.
std::optional<double> count(const json& usage, const char* name) {
  const auto it = usage.find(name);
  if (it == usage.end() || !it->is_number()) return std::nullopt;
  const double value = it->get<double>();
  if (!std::isfinite(value) || value < 0) return std::nullopt;
  return std::min(value, kMaxCount);
}

std::optional<core::Tokens> tokens_of(const json& usage) {
  if (!usage.is_object()) return std::nullopt;
  for (const auto& [in, out] :
       {std::pair("prompt_tokens", "completion_tokens"), std::pair("input_tokens", "output_tokens")}) {
    const auto input = count(usage, in), output = count(usage, out);
    if (input && output) return core::Tokens(*input + *output);
  }
  const auto total = count(usage, "total_tokens");
  return total ? std::optional(core::Tokens(*total)) : std::nullopt;
}

// The JSON object that follows a member's name; empty if another value follows or the object is incomplete.
std::string_view object_after(std::string_view text) {
  const std::size_t colon = text.find_first_not_of(" \t\r\n");
  if (colon == std::string_view::npos || text[colon] != ':') return {};
  text.remove_prefix(colon + 1);
  const std::size_t begin = text.find_first_not_of(" \t\r\n");
  if (begin == std::string_view::npos || text[begin] != '{') return {};
  int depth = 0;
  bool quoted = false;
  for (std::size_t i = begin; i < std::min(text.size(), begin + kMaxUsageBytes); ++i) {
    if (quoted) {
      if (text[i] == '\\') {
        ++i;
      } else if (text[i] == '"') {
        quoted = false;
      }
    } else if (text[i] == '"') {
      quoted = true;
    } else if (text[i] == '{') {
      ++depth;
    } else if (text[i] == '}' && --depth == 0) {
      return text.substr(begin, i + 1 - begin);
    }
  }
  return {};
}

}  // namespace

std::optional<core::Tokens> find_usage(std::string_view text) {
  // Only the usage object is parsed, because the answer around it may be long. Inside a JSON string its
  // quotes would be escaped, so that the text of an answer does not match. The search is for the name rather
  // than for the quote before it, because quotes are frequent.
  constexpr std::string_view kName = "usage\"";
  std::optional<core::Tokens> found;
  for (std::size_t at = 0; (at = text.find(kName, at)) != std::string_view::npos; at += kName.size()) {
    if (at == 0 || text[at - 1] != '"') continue;
    const std::string_view object = object_after(text.substr(at + kName.size()));
    if (object.empty()) continue;
    if (const auto tokens = tokens_of(json::parse(object, nullptr, false))) found = tokens;
  }
  return found;
}

RequestAccount::RequestAccount(admission::AdmissionControl& admission_control, core::Scheduler& scheduler,
                               admission::Ticket ticket, core::Tokens max_tokens, bool streamed)
    : admission_control_(admission_control),
      scheduler_(scheduler),
      ticket_(std::move(ticket)),
      max_tokens_(max_tokens),
      streamed_(streamed) {}

RequestAccount::~RequestAccount() { settle(std::nullopt); }

void RequestAccount::on_sending() {
  // If on_not_executed() was not called for the last attempt, that one may have run.
  earlier_attempt_may_have_run_ |= last_attempt_may_have_run_;
  last_attempt_may_have_run_ = true;
  admission_control_.record_attempt(ticket_);
}

void RequestAccount::on_not_executed() {
  last_attempt_may_have_run_ = false;
  admission_control_.record_attempt(ticket_, false);
}

void RequestAccount::record_events(std::string_view bytes) {
  // Callers pass complete events, so a usage object is complete too.
  if (ticket_.key_id.empty()) return;
  if (const auto used = find_usage(bytes)) used_tokens_ = used;
}

void RequestAccount::record_answer(std::string_view body) {
  if (!ticket_.key_id.empty()) used_tokens_ = find_usage(body);
}

bool RequestAccount::fits_ledger(std::size_t bytes) const {
  return protects() && bytes <= admission_control_.ledger().limits().max_answer_bytes;
}

void RequestAccount::record_sent(std::string_view bytes) {
  if (!protects() || too_large_) return;
  too_large_ = !fits_ledger(sent_stream_.size() + bytes.size());
  if (too_large_) {
    std::string().swap(sent_stream_);
  } else {
    sent_stream_ += bytes;
  }
}

void RequestAccount::completed(int status, std::string_view content_type, std::string_view body) {
  if (too_large_ || !fits_ledger(body.size())) return settle(std::nullopt);
  settle(admission::RecordedAnswer{status, std::string(content_type),
                                   streamed_ ? std::move(sent_stream_) : std::string(body), streamed_});
}

void RequestAccount::rejected(int status, std::string_view content_type, std::string_view body) {
  used_tokens_ = 0;
  if (!fits_ledger(body.size())) return settle(std::nullopt);
  settle(admission::RecordedAnswer{status, std::string(content_type), std::string(body), false});
}

void RequestAccount::settle(std::optional<admission::RecordedAnswer> answer) {
  if (std::exchange(settled_, true)) return;
  admission_control_.request_ended(scheduler_.now(), ticket_,
                                   {last_attempt_may_have_run_ || earlier_attempt_may_have_run_, used_tokens_,
                                    max_tokens_, std::move(answer)});
}

}  // namespace bankmux::net::openai
