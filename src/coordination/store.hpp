// What several processes agree on: a small store of keys with compare-and-set over several keys at once,
// leases with a time to live, and a revision that only grows. Behind one interface, so that nothing above
// knows which store it is. Answers come on the loop, never from within the call.
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
using Revision = std::uint64_t;  // of the whole store; each transaction that writes has the next
using LeaseId = std::uint64_t;   // 0: none

// Why a call has no answer.
enum class Fault {
  refused,     // the store says no, or can't be believed: trying again changes nothing
  not_done,    // nothing has changed there; it may be tried again
  may_be_done  // nobody knows: read before acting
};

struct Entry {
  std::string key, value;
  Revision created = 0;   // when the key came to be, since it was last absent
  Revision modified = 0;  // its last write
  LeaseId lease = 0;      // with which it vanishes
};

// Holds where the key was last written at that revision; 0: where there is no such key.
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

// All writes, if all comparisons hold; none otherwise. Either way it tells what `read` holds by then.
struct Transaction {
  std::vector<Compare> when;
  std::vector<Write> then;
  std::vector<std::string> read;  // prefixes
};

struct Result {
  std::optional<Fault> fault;
  bool applied = false;
  Revision revision = 0;  // of the store, after this call
  std::vector<Entry> entries;
  std::string words;  // of a fault, for the log
};

struct LeaseResult {
  std::optional<Fault> fault;  // refused: there is no such lease any more
  LeaseId lease = 0;
  Revision revision = 0;
  std::string words;
};

// Ends what it watches when destroyed.
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
  // All keys that hang on it go at once.
  virtual void revoke(LeaseId lease, std::function<void(LeaseResult)> done) = 0;
  // `changed` is called some time after anything at or under the prefix has changed: reading is left to the
  // caller, so that a watch that misses events by compaction or a break loses nothing.
  [[nodiscard]] virtual std::unique_ptr<Watch> watch(std::string prefix, std::function<void()> changed) = 0;
};

}  // namespace bankmux::coordination
