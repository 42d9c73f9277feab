// Admission control of the chat API: authenticates clients (keys), enforces rate limits (limiter), gives each
// tenant a fair share of the request table (share), and answers a client's repeat of a request that may have
// run from the idempotency ledger instead of running it again. Has no I/O and no clock: times are passed in.
// src/net/openai turns the results into HTTP responses.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "admission/keys.hpp"
#include "admission/ledger.hpp"
#include "admission/limiter.hpp"

namespace bankmux::admission {

struct AdmissionLimits {
  LedgerLimits ledger;
  std::size_t max_tenants = 100'000;
  std::size_t max_open_requests = 0;  // size of the request table that tenants share; 0: not limited
};

// An authenticated client. `key` is null if no API keys are configured, so that all clients are accepted.
struct Caller {
  const Key* key = nullptr;  // valid until the keys are replaced
};

// What the front knows of a request before it is admitted.
struct AdmissionRequest {
  bool once = false;            // requests of its class must never run twice
  Tokens reserved_tokens = 0;   // of the prompt plus the answer's limit
  std::string idempotency_key;  // the Idempotency-Key header; empty: none
  std::uint64_t digest = 0;     // hash of path and body
  std::uint64_t session = 0;    // identifies the conversation
  int retry_count = 0;          // the client SDK's own count of its retries (x-stainless-retry-count)
};

enum class AdmissionStatus {
  admitted,          // accepted; `ticket` identifies it until it ends
  limited,           // 429: over a limit of its key; `wait` is set
  over_share,        // 429: its tenant has used up its share of the table; `wait` is set
  too_many_tenants,  // 503: more tenants are active at once than the limiter can track
  in_progress,       // 409: the first request with this key is still running; `wait` is set
  key_reused,        // 422: the key was used for a different request
  replay,            // repeat of an ended request: `answer` is its answer, null if unknown or if the
                     // request has no key, so that it may be the retry of another one
  ledger_full,       // 503: the ledger is full, and the request must not run without an entry
};

// Identifies an admitted request until it ends.
struct Ticket {
  std::string tenant;
  std::string key_id;  // empty if no API keys are configured
  Limits limits;       // at the time of admission; the key's limits may change while it runs
  Tokens reserved = 0;
  Ledger::Number ledger_entry = 0;  // 0: it has no ledger entry
  bool by_key = false;              // it has an Idempotency-Key, which names its ledger entry
  bool once = false;                // requests of its class must never run twice
};

struct AdmissionResult {
  AdmissionStatus status = AdmissionStatus::admitted;
  Duration wait{0};
  ExceededLimit limited = ExceededLimit::none;
  LimitStatus limit_status;
  Ticket ticket;
  const RecordedAnswer* answer = nullptr;  // only with `replay`; valid until the next call
};

// How an admitted request ended.
struct RequestResult {
  bool may_have_run = false;  // some attempt may have executed it
  // As reported by the instance, whose figure may be wrong; unset: what was reserved is charged.
  std::optional<Tokens> used_tokens;
  Tokens max_tokens = 0;                 // upper bound on what it can have used
  std::optional<RecordedAnswer> answer;  // the complete answer, if its client received one
};

// Counters of one tenant, for the operator page.
struct TenantUsage {
  std::string name;
  std::size_t open = 0;
  // Requests that were: admitted; over a rate limit; over the tenant's share; answered from the ledger;
  // rejected because of their ledger entry or for lack of one.
  std::uint64_t admitted = 0, limited = 0, over_share = 0, replayed = 0, held_off = 0;
  std::uint64_t tokens = 0;  // charged to ended requests
};

// Decides for each request whether it is admitted, and accounts for it until it ends.
class AdmissionControl {
 public:
  // `began`: see Ledger.
  explicit AdmissionControl(AdmissionLimits limits, std::optional<Time> began = std::nullopt)
      : limits_(limits), limiter_(limits.max_tenants), ledger_(limits.ledger, began) {}

  // Replaces the API keys. Without any, all clients are accepted, as one tenant without limits.
  void keys(std::optional<ApiKeySet> keys) { keys_ = std::move(keys); }
  [[nodiscard]] const std::optional<ApiKeySet>& keys() const { return keys_; }

  // Authenticates the credentials of an Authorization header; nullopt if they are not known (401).
  [[nodiscard]] std::optional<Caller> identify(std::string_view credentials) const;
  // Counts a request that was rejected because `identify` failed.
  void count_unknown_key() { ++unknown_keys_; }
  [[nodiscard]] static bool may_use(const Caller& caller, const std::string& model);
  // Decides on a request. Once admitted, it must be ended by exactly one call of request_ended.
  AdmissionResult admit(Time now, const Caller& caller, const AdmissionRequest& request);
  // True: an attempt is about to be written to an instance, which may execute the request. False: that
  // attempt has ended and is proved not to have executed it.
  void record_attempt(const Ticket& ticket, bool may_have_run = true);
  // Settles the account of an admitted request; called once for each.
  void request_ended(Time now, const Ticket& ticket, RequestResult end);

  [[nodiscard]] const std::map<std::string, TenantUsage>& tenants() const { return usage_; }
  [[nodiscard]] std::uint64_t unknown_keys() const { return unknown_keys_; }
  [[nodiscard]] const Ledger& ledger() const { return ledger_; }
  [[nodiscard]] const Limiter& limiter() const { return limiter_; }

 private:
  TenantUsage& usage_of(const std::string& tenant);
  [[nodiscard]] bool within_share(const TenantUsage& tenant) const;

  AdmissionLimits limits_;
  std::optional<ApiKeySet> keys_;
  Limiter limiter_;
  Ledger ledger_;
  // By tenant. At `max_tenants` entries, those without open requests are dropped.
  std::map<std::string, TenantUsage> usage_;
  std::size_t open_requests_ = 0, active_tenants_ = 0;  // open requests, and tenants that have any
  std::uint64_t unknown_keys_ = 0;
};

}  // namespace bankmux::admission
