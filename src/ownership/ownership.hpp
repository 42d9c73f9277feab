// Which member of a fleet owns which duty, and until when it may act: one member's part. Pure: time and
// answers in, calls and beliefs out. The protocol and its reasons are in docs/ownership-design.md.
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
// Of a clock that never goes backwards and also runs while the machine sleeps.
using Time = std::chrono::microseconds;

// A name and a shard, as "prober/3". No further slash.
using Duty = std::string;

struct Settings {
  std::string self;               // this member's name, of letters, digits, '-', '_' and '.'
  std::uint64_t incarnation = 0;  // drawn at each start: a name may come back within its old lease
  std::vector<Duty> duties;
  Duration time_to_live{10'000'000};
  Duration margin{1'000'000};  // the longest act: acting ends so long before the lease
  double drift = 0.01;         // most by which this clock may run slow against the store's
  Duration dwell{5'000'000};   // least time that a duty stays before it is let go for another
  Duration first_wait{100'000}, most_wait{5'000'000};  // after a fault; doubled, and a drawn half taken off
};

// The right to act for a duty. Made by Ownership alone; what it stands on may end at any moment, so an act
// also carries the token, and the store compares it where the act lands.
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

// Writes of a duty, fenced: refused as a whole where the grant has been followed by a newer one. The only way
// by which a duty writes.
[[nodiscard]] coordination::Transaction act(const Grant& grant, std::vector<coordination::Write> writes,
                                            std::vector<std::string> read = {});
// Where a duty keeps what it writes, under its name.
[[nodiscard]] std::string state_key(std::string_view duty, std::string_view name);

// What the store told of one duty or member.
struct Held {
  std::string owner;
  std::uint64_t incarnation = 0;
  Revision token = 0;
  LeaseId lease = 0;
};

// What is to be asked of the store. One call is out at a time.
struct Call {
  enum class Kind { grant, keep_alive, revoke, join, claim, release, read };
  Kind kind = Kind::read;
  std::uint64_t number = 0;  // to be given back with its answer
  LeaseId lease = 0;
  coordination::Transaction transaction;  // of join, claim, release and read
};

// The answer to a call: a Result's or LeaseResult's part.
struct Answer {
  std::optional<coordination::Fault> fault;
  bool applied = false;
  LeaseId lease = 0;
  Revision revision = 0;
  std::vector<coordination::Entry> entries;
};

class Ownership {
 public:
  explicit Ownership(Settings settings);

  // What to ask now, if anything. `unit`, in [0, 1), is drawn by the caller: it spreads waits.
  [[nodiscard]] std::optional<Call> next(Time now, double unit);
  // The answer to the call of that number; one to any other call, or a second one, says nothing.
  void answered(Time now, std::uint64_t number, const Answer& answer);
  // The store has changed: what is believed of it is read again.
  void changed() { stale_ = true; }
  // This member lets go of all in order and takes nothing more.
  void leave() { leaving_ = true; }

  // The right to act for a duty at this moment; nothing where it is another's, or the time is over.
  [[nodiscard]] std::optional<Grant> grant(const Duty& duty, Time now) const;

  // Whose each duty is and who is a member, as last read.
  [[nodiscard]] const std::map<Duty, Held>& owners() const { return owners_; }
  [[nodiscard]] const std::map<std::string, Held>& members() const { return members_; }
  // The member that a duty should have, by those known.
  [[nodiscard]] std::string chosen(const Duty& duty) const;
  // When something next falls due.
  [[nodiscard]] Time due() const { return due_; }
  [[nodiscard]] Time acts_until() const { return acts_until_; }
  // The store told a revision lower than one seen before: nothing is owned until an operator has looked.
  [[nodiscard]] bool set_back() const { return set_back_; }
  [[nodiscard]] bool left() const { return leaving_ && lease_ == 0 && !out_; }
  // All that decides what comes next, for a model that compares states. Times as from `now`.
  [[nodiscard]] std::string fingerprint(Time now) const;

 private:
  void lose();
  void wait(Time now);
  void hold(Time now);
  void take(Time now, const std::vector<coordination::Entry>& entries);
  [[nodiscard]] std::optional<Call> choose(Time now);
  [[nodiscard]] Call call(Call::Kind kind, coordination::Transaction transaction = {}) const;
  [[nodiscard]] std::optional<Call> move_duties(Time now);
  [[nodiscard]] bool mine(const Held& held) const;
  [[nodiscard]] std::string identity() const;

  Settings s_;
  LeaseId lease_ = 0;
  Time lease_until_{0};  // the store may end it from then on
  Time acts_until_{0};
  Time renew_at_{0};
  bool joined_ = false;
  Revision joined_at_ = 0;
  bool stale_ = true;  // what is believed of the store has to be read
  bool leaving_ = false;
  bool set_back_ = false;
  Revision seen_ = 0;
  std::map<Duty, Held> owners_;
  std::map<std::string, Held> members_;
  std::map<Duty, Time> since_;  // own duties, from their claim
  std::set<Revision> let_go_;   // tokens that are never acted on again, though a late read may name them
  std::optional<Call> out_;
  Time sent_{0};
  std::uint64_t last_number_ = 0;
  int failures_ = 0;
  double unit_ = 0.0;
  Time not_before_{0};
  Time due_{0};
};

}  // namespace bankmux::ownership
