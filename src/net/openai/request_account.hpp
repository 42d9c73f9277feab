// Accounting of one admitted request until its end: what its client was sent, what usage its instance
// reported, and whether it may have run. Settles with admission control exactly once, at the latest when
// destroyed.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "admission/admission_control.hpp"
#include "core/ports.hpp"

namespace bankmux::net::openai {

// Total tokens in the last `usage` object of an answer or of a stream's events, for any endpoint of this API;
// nullopt if there is none or its figures are not counts.
std::optional<core::Tokens> find_usage(std::string_view text);

class RequestAccount {
 public:
  // `max_tokens`: upper bound on the tokens that the request can use.
  RequestAccount(admission::AdmissionControl& admission_control, core::Scheduler& scheduler,
                 admission::Ticket ticket, core::Tokens max_tokens, bool streamed);
  ~RequestAccount();
  RequestAccount(const RequestAccount&) = delete;
  RequestAccount& operator=(const RequestAccount&) = delete;

  // Whether its ledger entry is named by the client's Idempotency-Key, so that this process never runs a
  // retry of it again.
  [[nodiscard]] bool protects() const { return ticket_.ledger_entry != 0 && ticket_.by_key; }

  // Whether any later retry is safe. The ledger does not survive the process, so that it cannot promise this
  // for a request that must not run twice.
  [[nodiscard]] bool promises_safe_retry() const { return protects() && !ticket_.once; }

  // An attempt that may execute the request is about to be sent; on_not_executed: it is proved not to have
  // run.
  void on_sending();
  void on_not_executed();
  // Reads the usage from complete events of the instance, or from its complete answer.
  void record_events(std::string_view bytes);
  void record_answer(std::string_view body);
  // Records bytes of a stream that are sent to the client, in order.
  void record_sent(std::string_view bytes);
  // The client has been sent the complete answer. `body`: of an answer that is not streamed.
  void completed(int status, std::string_view content_type, std::string_view body = {});
  // The instance rejected the request as invalid: the answer is final, and no tokens were used.
  void rejected(int status, std::string_view content_type, std::string_view body);

 private:
  // Whether the ledger stores the request's answer, and one of this size.
  [[nodiscard]] bool fits_ledger(std::size_t bytes) const;
  // Reports the end of the request to admission control, which charges the tokens actually used and records
  // `answer` in the ledger. Only the first call has an effect.
  void settle(std::optional<admission::RecordedAnswer> answer);

  admission::AdmissionControl& admission_control_;
  core::Scheduler& scheduler_;
  admission::Ticket ticket_;
  core::Tokens max_tokens_;
  bool streamed_;
  bool last_attempt_may_have_run_ = false;     // the latest attempt may have executed it
  bool earlier_attempt_may_have_run_ = false;  // an attempt before that may have
  bool settled_ = false, too_large_ = false;
  std::optional<core::Tokens> used_tokens_;
  std::string sent_stream_;  // what was sent, as long as it is small enough for the ledger
};

}  // namespace bankmux::net::openai
