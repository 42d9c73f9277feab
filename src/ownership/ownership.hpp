// Lease-based ownership of duties in a fleet, as seen by one member: which member owns which duty, and until
// when this member may act as owner. Performs no I/O: the caller passes in the time and the store's answers
// and sends the calls that this class returns. The protocol is described in docs/ownership-design.md.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/store.hpp"

namespace bankmux::ownership {

using coordination::Duration;
using coordination::LeaseId;
using coordination::Revision;
// Reading of a monotonic clock that also advances while the machine is suspended.
using Time = std::chrono::microseconds;

// Name of a task that one member performs for the whole fleet, optionally with a shard number, as in
// "prober/3". It has at most one slash.
using Duty = std::string;

struct Settings {
  std::string member_name;  // this member's name: letters, digits, '-', '_' and '.'
  // Random per process start: distinguishes a restarted member from its predecessor, whose lease may still
  // run.
  std::uint64_t incarnation = 0;
  std::vector<Duty> duties;
  Duration time_to_live{10'000'000};  // of the lease
  // Longest duration of one owner operation: grants end this long before the lease.
  Duration margin{1'000'000};
  double drift = 0.01;  // largest fraction by which this clock may run slower than the store's
  // Minimum time that a member keeps a duty before it releases it to another member.
  Duration min_ownership_time{5'000'000};
  // Wait after a failed call: doubled for each consecutive failure, then reduced by a random share of up to
  // one half.
  Duration initial_backoff{100'000}, max_backoff{5'000'000};
};

// Permission to act as the owner of a duty until a given time. Only Ownership creates grants. Ownership may
// be lost at any moment, so each write also carries the grant's fencing token, which the store compares when
// it applies the write.
class Grant {
 public:
  [[nodiscard]] const Duty& duty() const { return duty_; }
  [[nodiscard]] Revision token() const { return token_; }
  [[nodiscard]] Time until() const { return until_; }

 private:
  friend class Ownership;
  Grant(Duty duty, Revision token, Time until) : duty_(std::move(duty)), token_(token), until_(until) {}
  Duty duty_;
  Revision token_;
  Time until_;
};

// Builds a transaction with the owner's writes that the store applies only while `grant` is the newest grant
// of its duty (fencing). All writes that are made as an owner go through it.
[[nodiscard]] coordination::Transaction fenced_transaction(const Grant& grant,
                                                           std::vector<coordination::Write> writes,
                                                           std::vector<std::string> read_prefixes = {});
// Key under which a duty stores the value `name`.
[[nodiscard]] std::string state_key(std::string_view duty, std::string_view name);

// Owner of a duty, or a member's registration, as read from the store.
struct OwnerRecord {
  std::string owner;
  std::uint64_t incarnation = 0;
  Revision token = 0;
  LeaseId lease = 0;
};

// A call to be made to the store. At most one call is pending at a time.
struct Call {
  enum class Kind { grant, keep_alive, revoke, join, claim, release, read };
  Kind kind = Kind::read;
  std::uint64_t number = 0;  // the answer is reported under this number
  LeaseId lease = 0;
  coordination::Transaction transaction;  // of join, claim, release and read
};

// The answer to a call: the relevant fields of a Result or a LeaseResult.
struct Answer {
  std::optional<coordination::FailureKind> failure;
  bool applied = false;
  LeaseId lease = 0;
  Revision revision = 0;
  std::vector<coordination::Entry> entries;
};

class Ownership {
 public:
  explicit Ownership(Settings settings);

  // Returns the call to make now, if any. `jitter` is a random number in [0, 1) that spreads the waits of
  // several members.
  [[nodiscard]] std::optional<Call> next_call(Time now, double jitter);
  // Handles the answer to the call with that number. Answers to other calls and repeated answers are ignored.
  void handle_answer(Time now, std::uint64_t number, const Answer& answer);
  // To be called when the store has changed: its entries are read again.
  void store_changed() { stale_ = true; }
  // Begins to leave the fleet: revokes the lease, which releases all duties, and claims nothing more.
  void leave() { leaving_ = true; }

  // The grant for a duty at this moment; nothing if another member owns it or the grant's time has ended.
  [[nodiscard]] std::optional<Grant> grant(const Duty& duty, Time now) const;

  // Owners by duty, and members by name, as last read from the store.
  [[nodiscard]] const std::map<Duty, OwnerRecord>& owners() const { return owners_; }
  [[nodiscard]] const std::map<std::string, OwnerRecord>& members() const { return members_; }
  // The member that should own a duty, by rendezvous hashing over the known members.
  [[nodiscard]] std::string preferred_owner(const Duty& duty) const;
  // When next_call() may have something to do next.
  [[nodiscard]] Time next_due() const { return next_due_; }
  [[nodiscard]] Time grants_valid_until() const { return grants_valid_until_; }
  // The store reported a revision lower than an earlier one, as after a restored backup. Nothing is owned
  // until an operator has intervened.
  [[nodiscard]] bool rolled_back() const { return rolled_back_; }
  [[nodiscard]] bool has_left() const { return leaving_ && lease_ == 0 && !pending_; }
  // Text of all state that determines later behaviour, for model checking. Times are relative to `now`.
  [[nodiscard]] std::string fingerprint(Time now) const;

 private:
  void drop_lease();
  void back_off(Time now);
  void extend_lease(Time now);
  void apply_entries(Time now, const std::vector<coordination::Entry>& entries);
  [[nodiscard]] std::optional<Call> choose_call(Time now);
  [[nodiscard]] Call make_call(Call::Kind kind, coordination::Transaction transaction = {}) const;
  [[nodiscard]] std::optional<Call> rebalance_duties(Time now);
  [[nodiscard]] bool is_own(const OwnerRecord& record) const;
  [[nodiscard]] std::string identity() const;

  Settings settings_;
  LeaseId lease_ = 0;
  Time lease_expires_at_{0};  // from then on the store may have ended the lease
  Time grants_valid_until_{0};
  Time renew_at_{0};
  bool joined_ = false;
  Revision joined_revision_ = 0;
  bool stale_ = true;  // the entries have to be read from the store again
  bool leaving_ = false;
  bool rolled_back_ = false;
  Revision highest_revision_ = 0;
  std::map<Duty, OwnerRecord> owners_;
  std::map<std::string, OwnerRecord> members_;
  std::map<Duty, Time> owned_since_;  // duties owned by this member, and since when
  // Tokens of released grants: never used again, even if a delayed read still contains them.
  std::set<Revision> released_tokens_;
  std::optional<Call> pending_;
  Time sent_at_{0};
  std::uint64_t last_number_ = 0;
  int failures_ = 0;
  double jitter_ = 0.0;
  Time not_before_{0};
  Time next_due_{0};
};

}  // namespace bankmux::ownership
