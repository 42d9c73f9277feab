// Interface of the coordination store that several processes share: a small key-value store with
// compare-and-set transactions over several keys, leases with a time to live, and a revision that only grows.
// Callers do not depend on a particular store. Results arrive on the event loop, never from within the call.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bankmux::coordination {

using Duration = std::chrono::microseconds;
using Revision = std::uint64_t;  // of the whole store; each transaction that writes increments it
using LeaseId = std::uint64_t;   // 0: none

// Why a call has no result.
enum class FailureKind {
  rejected,        // rejected by the store, or the store is unusable: a retry gives the same result
  not_applied,     // not applied: the call may be retried
  outcome_unknown  // may have been applied: the store has to be read before anything relies on it
};

struct Entry {
  std::string key, value;
  Revision created = 0;   // revision of the first write since the key was last absent
  Revision modified = 0;  // revision of the last write
  LeaseId lease = 0;      // the key is removed when this lease ends
};

// Condition: the key was last written at that revision, or, if the revision is 0, does not exist.
struct Compare {
  std::string key;
  Revision modified = 0;
};

struct Put {
  std::string key, value;
  LeaseId lease = 0;
};
struct Erase {
  std::string key;
};
using Write = std::variant<Put, Erase>;

// Applies all writes if all conditions hold, and none otherwise. In both cases returns the entries under the
// prefixes in `read_prefixes` as they are afterwards.
struct Transaction {
  std::vector<Compare> conditions;
  std::vector<Write> writes;
  std::vector<std::string> read_prefixes;
};

struct Result {
  std::optional<FailureKind> failure;
  bool applied = false;
  Revision revision = 0;  // of the store, after this call
  std::vector<Entry> entries;
  std::string message;  // describes a failure, for the log
};

struct LeaseResult {
  std::optional<FailureKind> failure;  // rejected: the lease no longer exists
  LeaseId lease = 0;
  Revision revision = 0;
  std::string message;
};

// A subscription to changes of the store; destroying it ends the subscription.
class Watch {
 public:
  virtual ~Watch() = default;
};

class Store {
 public:
  virtual ~Store() = default;
  virtual void transact(Transaction transaction, std::function<void(Result)> done) = 0;
  virtual void grant(Duration time_to_live, std::function<void(LeaseResult)> done) = 0;
  virtual void keep_alive(LeaseId lease, std::function<void(LeaseResult)> done) = 0;
  // Ends the lease and removes all keys attached to it at once.
  virtual void revoke(LeaseId lease, std::function<void(LeaseResult)> done) = 0;
  // Calls `changed` some time after any key at or under the prefix has changed. The caller then reads the
  // entries itself, so that a watch that misses events through compaction or a lost connection loses nothing.
  [[nodiscard]] virtual std::unique_ptr<Watch> watch(std::string prefix, std::function<void()> changed) = 0;
};

}  // namespace bankmux::coordination
