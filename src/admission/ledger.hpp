// The idempotency ledger: stores the state of each request under its idempotency key, and its answer, so that
// a client's repeat does not run a second time. At-most-once requests without a key have entries too, named
// by session and words. Such a name does not prove that a request is a repeat, so no answer is stored.
// Bounded by entries, bytes of recorded answers and age. Has no I/O and no clock; a store on disk could
// implement the same interface.
#pragma once

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "eiderarch/router.hpp"

namespace bankmux::admission {

using eiderarch::Duration;
using eiderarch::Time;

struct LedgerLimits {
  std::size_t entries = 20'000;                // 0: no ledger
  std::size_t answer_bytes = 8 * 1024 * 1024;  // total of all recorded answers
  // Limit for one answer; a larger one is not stored, but its request stays protected.
  std::size_t max_answer_bytes = 256 * 1024;
  Duration age{3'600'000'000};  // retention of an entry after its request ended, in microseconds
};

// The answer to a request, stored so that it can be sent again byte for byte.
struct RecordedAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
  bool streamed = false;
};

// How a request is identified when its ledger entry is looked up.
enum class RequestIdentity {
  client_key,        // by its Idempotency-Key: any other request with that key is the same request
  client_key_retry,  // the same, and it claims to be a retry
  marked_retry,      // by session and words; it claims to be a retry, but not of which request
  first_try,         // by session and words; it does not claim to be a retry
};

class Ledger {
 public:
  using Number = std::uint64_t;
  enum class BeginStatus {
    fresh,       // run the request; its entry is open under `number`
    running,     // the first request is still running
    ended,       // `answer` is its answer, or null if the outcome is unknown or may be another request's,
                 // or if it is a retry of a request that may have run before this ledger began
    key_reused,  // the key was used for a request with another digest
    full,        // no room for an entry, so the request cannot be protected
  };
  struct BeginResult {
    BeginStatus status = BeginStatus::fresh;
    Number number = 0;
    const RecordedAnswer* answer = nullptr;  // valid until the next call
  };
  // An entry as shown to operators.
  struct EntryInfo {
    std::string tenant, key;
    bool once = false;  // requests of its class must not run twice
    int open = 0;       // requests under this key that are running
    bool may_have_run = false;
    int status = 0;         // HTTP status of the recorded answer; 0: none
    std::size_t bytes = 0;  // body size of that answer
    Duration since_end{0};
  };

  // `began`: when this ledger began to record requests, if requests that it does not have may have run
  // before.
  explicit Ledger(LedgerLimits limits, std::optional<Time> began = std::nullopt) : limits_(limits) {
    if (began) complete_from_ = *began + limits.age;
  }

  // Opens an entry for a request, or finds the one of an earlier request with the same key.
  // `digest`: of path and body. `once`: requests of its class must not run twice, so the entry is
  // retained until it expires. A first try without a key runs, and shares one entry with identical requests,
  // so that a marked retry of any of them finds what may have run.
  BeginResult begin(Time now, const std::string& tenant, const std::string& key, std::uint64_t digest,
                    bool once, RequestIdentity identity = RequestIdentity::client_key);
  // True: an attempt that may execute the request is about to be sent. False: that attempt is proved not to
  // have executed it.
  void record_attempt(Number number, bool may_have_run = true);
  // One request under the entry has ended. If none ever ran, a repeat runs; the entry is kept only as long as
  // the ledger is too young to tell its retry from one of an unknown request. If one may have run and left no
  // answer, the outcome is unknown, unless the request may run again anyway.
  void end(Time now, Number number, bool may_have_run, std::optional<RecordedAnswer> answer);

  // All entries under a key, of all tenants.
  [[nodiscard]] std::vector<EntryInfo> find(const std::string& key) const;
  [[nodiscard]] const LedgerLimits& limits() const { return limits_; }
  [[nodiscard]] std::size_t entries() const { return entries_.size(); }
  [[nodiscard]] std::size_t answer_bytes() const { return answer_bytes_; }

 private:
  struct Entry {
    std::string tenant, key;
    std::uint64_t digest = 0;
    bool once = false;             // requests of its class must not run twice
    bool by_client_key = false;    // named by an Idempotency-Key
    int open = 1;                  // requests under this entry that have not ended
    int pending_attempts = 0;      // attempts that may be executing one of them
    bool may_have_run = false;     // a request that has ended may have been executed
    bool outcome_unknown = false;  // the answer of such a request is not stored
    Time ended{0};
    std::optional<RecordedAnswer> answer;
    std::optional<std::list<Number>::iterator> eviction_position;  // in ended_list(), once ended
    std::list<Number>::iterator answer_position;                   // in with_answer_, if it has an answer
  };
  using Entries = std::unordered_map<Number, Entry>;

  [[nodiscard]] std::list<Number>& ended_list(const Entry& entry) {
    if (!entry.may_have_run) return ended_unexecuted_;
    return entry.once ? ended_at_most_once_ : ended_repeatable_;
  }
  // Whether a request may have run before this ledger began, and so recently that its repeat must not run.
  [[nodiscard]] bool lacks_earlier_requests() const { return now_ < complete_from_; }
  void reopen(Entry& entry);
  void expire(Time now);
  bool evict_entry();
  void erase_entry(Entries::iterator entry);
  void drop_answer(Entry& entry);

  LedgerLimits limits_;
  Time now_{0};
  Time complete_from_ = Time::min();  // from then on, the ledger has all requests within its retention time
  Number last_number_ = 0;
  std::size_t answer_bytes_ = 0;
  Entries entries_;
  std::unordered_map<std::string, Number> by_lookup_key_;
  std::list<Number> ended_at_most_once_, ended_repeatable_, ended_unexecuted_;  // oldest first
  std::list<Number> with_answer_;  // entries whose answer is stored, oldest first
};

}  // namespace bankmux::admission
