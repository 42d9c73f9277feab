#include "ownership/ownership.hpp"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace bankmux::ownership {

using coordination::Compare;
using coordination::Entry;
using coordination::Erase;
using coordination::Fault;
using coordination::Put;
using coordination::Transaction;

namespace {

constexpr std::string_view kMembers = "member/", kDuties = "duty/", kStates = "state/";
constexpr int kRenewals = 3;  // in a time to live: two may be lost

std::string member_key(const std::string& name) { return std::string(kMembers) + name; }
std::string duty_key(const Duty& duty) { return std::string(kDuties) + duty; }

// "NAME INCARNATION"
std::optional<Held> read_held(const Entry& entry) {
  const std::size_t space = entry.value.rfind(' ');
  if (space == std::string::npos || space == 0) return std::nullopt;
  Held held{entry.value.substr(0, space), 0, entry.modified, entry.lease};
  const char* begin = entry.value.data() + space + 1;
  const char* end = entry.value.data() + entry.value.size();
  const auto [at, error] = std::from_chars(begin, end, held.incarnation);
  if (error != std::errc{} || at != end || begin == end) return std::nullopt;
  return held;
}

// Rendezvous hashing (Thaler and Ravishankar, 1998): a member's claim on a duty.
std::uint64_t rank(const std::string& member, const Duty& duty) {
  const std::string text = member + '\n' + duty;
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace

Transaction act(const Grant& grant, std::vector<coordination::Write> writes, std::vector<std::string> read) {
  return {{Compare{duty_key(grant.duty()), grant.token()}}, std::move(writes), std::move(read)};
}

std::string state_key(std::string_view duty, std::string_view name) {
  return std::string(kStates) + std::string(duty) + '/' + std::string(name);
}

Ownership::Ownership(Settings settings) : s_(std::move(settings)) {}

std::string Ownership::identity() const { return s_.self + ' ' + std::to_string(s_.incarnation); }

bool Ownership::mine(const Held& held) const {
  return lease_ != 0 && held.lease == lease_ && held.owner == s_.self && held.incarnation == s_.incarnation;
}

std::optional<Grant> Ownership::grant(const Duty& duty, Time now) const {
  const auto it = owners_.find(duty);
  if (it == owners_.end() || !mine(it->second) || now >= acts_until_ || set_back_) return std::nullopt;
  if (let_go_.contains(it->second.token)) return std::nullopt;
  return Grant(duty, it->second.token, acts_until_);
}

std::string Ownership::chosen(const Duty& duty) const {
  std::string best;
  std::uint64_t most = 0;
  for (const auto& [name, held] : members_) {
    const std::uint64_t its = rank(name, duty);
    if (best.empty() || its > most) best = name;
    most = std::max(most, its);
  }
  return best;
}

// ---- Calls ----

std::optional<Call> Ownership::next(Time now, double unit) {
  unit_ = unit;
  if (out_) {
    due_ = sent_ + s_.time_to_live / kRenewals;
    if (now < due_) return std::nullopt;
    // No answer came. Whatever it did, it is read before anything rests on it; a late one is passed over.
    out_.reset();
    stale_ = true;
    wait(now);
  }
  // The store may have ended the lease by now. The margin lies long behind.
  if (lease_ != 0 && now >= lease_until_) lose();
  due_ = not_before_;
  if (set_back_ || now < not_before_) return std::nullopt;
  out_ = choose(now);
  if (!out_) return std::nullopt;
  out_->number = ++last_number_;
  sent_ = now;
  due_ = sent_ + s_.time_to_live / kRenewals;
  return out_;
}

Call Ownership::call(Call::Kind kind, Transaction transaction) const {
  return {kind, 0, lease_, std::move(transaction)};
}

std::optional<Call> Ownership::choose(Time now) {
  const std::vector<std::string> all{std::string(kMembers), std::string(kDuties)};
  if (leaving_) {
    if (lease_ == 0) return std::nullopt;
    acts_until_ = Time{0};  // from here on nothing is done for any duty
    return call(Call::Kind::revoke);
  }
  if (lease_ == 0) return call(Call::Kind::grant);
  if (now >= renew_at_) return call(Call::Kind::keep_alive);
  if (stale_) return call(Call::Kind::read, {{}, {}, all});
  if (!joined_) {
    return call(Call::Kind::join,
                {{{member_key(s_.self), 0}}, {Put{member_key(s_.self), identity(), lease_}}, all});
  }
  return move_duties(now);
}

// Claims what is free and ours by rank; lets go of what is another's by rank, once it has stayed long enough.
std::optional<Call> Ownership::move_duties(Time now) {
  due_ = renew_at_;
  for (const Duty& duty : s_.duties) {
    const auto held = owners_.find(duty);
    const bool ours = chosen(duty) == s_.self;
    if (held == owners_.end()) {
      if (!ours) continue;
      return call(Call::Kind::claim, {{{duty_key(duty), 0}, {member_key(s_.self), joined_at_}},
                                      {Put{duty_key(duty), identity(), lease_}},
                                      {duty_key(duty)}});
    }
    if (!mine(held->second)) continue;
    // Let go of once, it is not acted on again, so it has to go even if it should be ours again by now.
    const bool idle = let_go_.contains(held->second.token);
    if (ours && !idle) continue;
    const Time stays = since_[duty] + s_.dwell;
    if (now < stays && !idle) {
      due_ = std::min(due_, stays);
      continue;
    }
    let_go_.insert(held->second.token);
    return call(Call::Kind::release,
                {{{duty_key(duty), held->second.token}}, {Erase{duty_key(duty)}}, {duty_key(duty)}});
  }
  return std::nullopt;
}

// ---- Answers ----

void Ownership::answered(Time now, std::uint64_t number, const Answer& answer) {
  if (!out_ || out_->number != number) return;
  const Call asked = *std::exchange(out_, std::nullopt);
  if (!answer.fault) {
    if (answer.revision < seen_) {
      // Tokens would not grow any more: whoever owned since then has the higher one.
      set_back_ = true;
      return lose();
    }
    seen_ = answer.revision;
  }
  if (answer.fault) {
    const bool gone = answer.fault == Fault::refused;
    if (gone && (asked.kind == Call::Kind::keep_alive || asked.kind == Call::Kind::revoke)) lose();
    if (answer.fault == Fault::may_be_done) stale_ = true;
    return wait(now);
  }
  failures_ = 0;
  switch (asked.kind) {
    case Call::Kind::grant:
      lease_ = answer.lease;
      joined_ = false;
      stale_ = true;
      return hold(now);
    case Call::Kind::keep_alive:
      return hold(now);
    case Call::Kind::revoke:
      return lose();
    case Call::Kind::join:
    case Call::Kind::read:
      take(now, answer.entries);
      // Our name is still held, by the lease of a process before this one: nothing to do but wait for its
      // end.
      if (asked.kind == Call::Kind::join && !joined_) {
        stale_ = true;
        wait(now);
      }
      return;
    case Call::Kind::claim:
    case Call::Kind::release:
      // Applied or not, what is there now is told by the store alone.
      stale_ = true;
      return;
  }
}

// From before the call was sent: the store has counted from some moment between then and now.
void Ownership::hold(Time now) {
  const auto surely = Duration(std::int64_t(double(s_.time_to_live.count()) * (1.0 - s_.drift)));
  acts_until_ = sent_ + surely - s_.margin;
  lease_until_ = now + s_.time_to_live;
  renew_at_ = sent_ + s_.time_to_live / kRenewals;
}

void Ownership::take(Time now, const std::vector<Entry>& entries) {
  stale_ = false;
  owners_.clear();
  members_.clear();
  joined_ = false;
  std::map<Duty, Time> since;
  for (const Entry& entry : entries) {
    const auto held = read_held(entry);
    if (!held) continue;
    if (entry.key.starts_with(kMembers)) {
      const std::string name = entry.key.substr(kMembers.size());
      members_[name] = *held;
      if (name == s_.self && mine(*held)) {
        joined_ = true;
        joined_at_ = entry.modified;
      }
    } else if (entry.key.starts_with(kDuties)) {
      const Duty duty = entry.key.substr(kDuties.size());
      owners_[duty] = *held;
      if (!mine(*held)) continue;
      const auto before = since_.find(duty);
      since[duty] = before != since_.end() ? before->second : now;
    }
  }
  since_ = std::move(since);
}

void Ownership::lose() {
  lease_ = 0;
  joined_ = false;
  stale_ = true;
  acts_until_ = Time{0};
  since_.clear();
  let_go_.clear();
}

// After a fault: a store that is back must meet no herd.
void Ownership::wait(Time now) {
  Duration ceiling = s_.first_wait;
  for (int i = 0; i < failures_ && ceiling < s_.most_wait; ++i) ceiling *= 2;
  ceiling = std::min(ceiling, s_.most_wait);
  ++failures_;
  not_before_ = now + Duration(std::int64_t(double(ceiling.count()) * (0.5 + 0.5 * unit_)));
}

std::string Ownership::fingerprint(Time now) const {
  std::string text;
  const auto add = [&text](std::int64_t value) { text += std::to_string(value) + ','; };
  const auto time = [&](Time at) { add(std::clamp<std::int64_t>((at - now).count(), -1, 1'000'000'000)); };
  add(std::int64_t(lease_));
  if (lease_ != 0) {
    time(lease_until_);
    time(acts_until_);
    time(renew_at_);
  }
  add(joined_ + 2 * stale_ + 4 * leaving_ + 8 * set_back_);
  add(std::int64_t(joined_at_));
  time(not_before_);
  add(failures_);
  add(out_ ? int(out_->kind) : -1);
  if (out_) time(sent_);
  for (const auto* rows : {&owners_, &members_}) {
    for (const auto& [name, held] : *rows) {
      text += name + '=' + held.owner + '/';
      add(std::int64_t(held.token));
      add(std::int64_t(held.lease));
    }
    text += ';';
  }
  for (const auto& [duty, at] : since_) time(at + s_.dwell);
  for (const Revision token : let_go_) add(std::int64_t(token));
  return text;
}

}  // namespace bankmux::ownership
