#include "ownership/ownership.hpp"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace bankmux::ownership {

using coordination::Compare;
using coordination::Entry;
using coordination::Erase;
using coordination::FailureKind;
using coordination::Put;
using coordination::Transaction;

namespace {

constexpr std::string_view kMemberPrefix = "member/", kDutyPrefix = "duty/", kStatePrefix = "state/";
constexpr int kRenewalsPerLease = 3;  // per time to live, so that two may be lost

std::string member_key(const std::string& name) { return std::string(kMemberPrefix) + name; }
std::string duty_key(const Duty& duty) { return std::string(kDutyPrefix) + duty; }

// Parses an entry's value, "NAME INCARNATION".
std::optional<OwnerRecord> parse_owner_record(const Entry& entry) {
  const std::size_t space = entry.value.rfind(' ');
  if (space == std::string::npos || space == 0) return std::nullopt;
  OwnerRecord record{entry.value.substr(0, space), 0, entry.modified, entry.lease};
  const char* begin = entry.value.data() + space + 1;
  const char* end = entry.value.data() + entry.value.size();
  const auto [at, error] = std::from_chars(begin, end, record.incarnation);
  if (error != std::errc{} || at != end || begin == end) return std::nullopt;
  return record;
}

// Score of a member for a duty in rendezvous hashing (Thaler and Ravishankar, 1998); the highest score wins.
std::uint64_t rendezvous_score(const std::string& member, const Duty& duty) {
  const std::string text = member + '\n' + duty;
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace

Transaction fenced_transaction(const Grant& grant, std::vector<coordination::Write> writes,
                               std::vector<std::string> read_prefixes) {
  return {{Compare{duty_key(grant.duty()), grant.token()}}, std::move(writes), std::move(read_prefixes)};
}

std::string state_key(std::string_view duty, std::string_view name) {
  return std::string(kStatePrefix) + std::string(duty) + '/' + std::string(name);
}

Ownership::Ownership(Settings settings) : settings_(std::move(settings)) {}

std::string Ownership::identity() const {
  return settings_.member_name + ' ' + std::to_string(settings_.incarnation);
}

bool Ownership::is_own(const OwnerRecord& record) const {
  return lease_ != 0 && record.lease == lease_ && record.owner == settings_.member_name &&
         record.incarnation == settings_.incarnation;
}

std::optional<Grant> Ownership::grant(const Duty& duty, Time now) const {
  const auto it = owners_.find(duty);
  if (it == owners_.end() || !is_own(it->second) || now >= grants_valid_until_ || rolled_back_)
    return std::nullopt;
  if (released_tokens_.contains(it->second.token)) return std::nullopt;
  return Grant(duty, it->second.token, grants_valid_until_);
}

std::string Ownership::preferred_owner(const Duty& duty) const {
  std::string best;
  std::uint64_t best_score = 0;
  for (const auto& [name, record] : members_) {
    const std::uint64_t score = rendezvous_score(name, duty);
    if (best.empty() || score > best_score) best = name;
    best_score = std::max(best_score, score);
  }
  return best;
}

// ---- Calls ----

std::optional<Call> Ownership::next_call(Time now, double jitter) {
  jitter_ = jitter;
  if (pending_) {
    next_due_ = sent_at_ + settings_.time_to_live / kRenewalsPerLease;
    if (now < next_due_) return std::nullopt;
    // No answer came in time. The call may or may not have taken effect, so the store is read before anything
    // relies on it. A late answer is ignored.
    pending_.reset();
    stale_ = true;
    back_off(now);
  }
  // The store may have ended the lease by now. Grants ended earlier, by the margin.
  if (lease_ != 0 && now >= lease_expires_at_) drop_lease();
  next_due_ = not_before_;
  if (rolled_back_ || now < not_before_) return std::nullopt;
  pending_ = choose_call(now);
  if (!pending_) return std::nullopt;
  pending_->number = ++last_number_;
  sent_at_ = now;
  next_due_ = sent_at_ + settings_.time_to_live / kRenewalsPerLease;
  return pending_;
}

Call Ownership::make_call(Call::Kind kind, Transaction transaction) const {
  return {kind, 0, lease_, std::move(transaction)};
}

std::optional<Call> Ownership::choose_call(Time now) {
  const std::vector<std::string> all_prefixes{std::string(kMemberPrefix), std::string(kDutyPrefix)};
  if (leaving_) {
    if (lease_ == 0) return std::nullopt;
    grants_valid_until_ = Time{0};  // no grant is valid from here on
    return make_call(Call::Kind::revoke);
  }
  if (lease_ == 0) return make_call(Call::Kind::grant);
  if (now >= renew_at_) return make_call(Call::Kind::keep_alive);
  if (stale_) return make_call(Call::Kind::read, {{}, {}, all_prefixes});
  if (!joined_) {
    return make_call(Call::Kind::join, {{{member_key(settings_.member_name), 0}},
                                        {Put{member_key(settings_.member_name), identity(), lease_}},
                                        all_prefixes});
  }
  return rebalance_duties(now);
}

// Claims free duties for which this member has the highest score, and releases owned duties for which another
// member has it, once they have been kept for the minimum time.
std::optional<Call> Ownership::rebalance_duties(Time now) {
  next_due_ = renew_at_;
  for (const Duty& duty : settings_.duties) {
    const auto record = owners_.find(duty);
    const bool preferred = preferred_owner(duty) == settings_.member_name;
    if (record == owners_.end()) {
      if (!preferred) continue;
      return make_call(Call::Kind::claim,
                       {{{duty_key(duty), 0}, {member_key(settings_.member_name), joined_revision_}},
                        {Put{duty_key(duty), identity(), lease_}},
                        {duty_key(duty)}});
    }
    if (!is_own(record->second)) continue;
    // After a release has been sent, the token is not used again. The duty therefore has to be released even
    // if this member has become its preferred owner again.
    const bool released = released_tokens_.contains(record->second.token);
    if (preferred && !released) continue;
    const Time release_at = owned_since_[duty] + settings_.min_ownership_time;
    if (now < release_at && !released) {
      next_due_ = std::min(next_due_, release_at);
      continue;
    }
    released_tokens_.insert(record->second.token);
    return make_call(Call::Kind::release,
                     {{{duty_key(duty), record->second.token}}, {Erase{duty_key(duty)}}, {duty_key(duty)}});
  }
  return std::nullopt;
}

// ---- Answers ----

void Ownership::handle_answer(Time now, std::uint64_t number, const Answer& answer) {
  if (!pending_ || pending_->number != number) return;
  const Call call = *std::exchange(pending_, std::nullopt);
  if (!answer.failure) {
    if (answer.revision < highest_revision_) {
      // Tokens would no longer grow: an owner since the lost revisions has a higher token than new ones.
      rolled_back_ = true;
      return drop_lease();
    }
    highest_revision_ = answer.revision;
  }
  if (answer.failure) {
    const bool lease_gone = answer.failure == FailureKind::rejected;
    if (lease_gone && (call.kind == Call::Kind::keep_alive || call.kind == Call::Kind::revoke)) drop_lease();
    if (answer.failure == FailureKind::outcome_unknown) stale_ = true;
    return back_off(now);
  }
  failures_ = 0;
  switch (call.kind) {
    case Call::Kind::grant:
      lease_ = answer.lease;
      joined_ = false;
      stale_ = true;
      return extend_lease(now);
    case Call::Kind::keep_alive:
      return extend_lease(now);
    case Call::Kind::revoke:
      return drop_lease();
    case Call::Kind::join:
    case Call::Kind::read:
      apply_entries(now, answer.entries);
      // The member's name is still registered under the lease of its previous process. That lease has to
      // expire first.
      if (call.kind == Call::Kind::join && !joined_) {
        stale_ = true;
        back_off(now);
      }
      return;
    case Call::Kind::claim:
    case Call::Kind::release:
      // Whether or not it was applied, the current owner is known only after the next read.
      stale_ = true;
      return;
  }
}

// Counts grants from when the call was sent, since the store started the time to live at some moment between
// then and now.
void Ownership::extend_lease(Time now) {
  const auto guaranteed =
      Duration(std::int64_t(double(settings_.time_to_live.count()) * (1.0 - settings_.drift)));
  grants_valid_until_ = sent_at_ + guaranteed - settings_.margin;
  lease_expires_at_ = now + settings_.time_to_live;
  renew_at_ = sent_at_ + settings_.time_to_live / kRenewalsPerLease;
}

void Ownership::apply_entries(Time now, const std::vector<Entry>& entries) {
  stale_ = false;
  owners_.clear();
  members_.clear();
  joined_ = false;
  std::map<Duty, Time> since;
  for (const Entry& entry : entries) {
    const auto record = parse_owner_record(entry);
    if (!record) continue;
    if (entry.key.starts_with(kMemberPrefix)) {
      const std::string name = entry.key.substr(kMemberPrefix.size());
      members_[name] = *record;
      if (name == settings_.member_name && is_own(*record)) {
        joined_ = true;
        joined_revision_ = entry.modified;
      }
    } else if (entry.key.starts_with(kDutyPrefix)) {
      const Duty duty = entry.key.substr(kDutyPrefix.size());
      owners_[duty] = *record;
      if (!is_own(*record)) continue;
      const auto before = owned_since_.find(duty);
      since[duty] = before != owned_since_.end() ? before->second : now;
    }
  }
  owned_since_ = std::move(since);
}

void Ownership::drop_lease() {
  lease_ = 0;
  joined_ = false;
  stale_ = true;
  grants_valid_until_ = Time{0};
  owned_since_.clear();
  released_tokens_.clear();
}

// Delays the next call after a failure, with jitter, so that the members do not all call a recovered store at
// once.
void Ownership::back_off(Time now) {
  Duration ceiling = settings_.initial_backoff;
  for (int i = 0; i < failures_ && ceiling < settings_.max_backoff; ++i) ceiling *= 2;
  ceiling = std::min(ceiling, settings_.max_backoff);
  ++failures_;
  not_before_ = now + Duration(std::int64_t(double(ceiling.count()) * (0.5 + 0.5 * jitter_)));
}

std::string Ownership::fingerprint(Time now) const {
  std::string text;
  const auto add = [&text](std::int64_t value) { text += std::to_string(value) + ','; };
  const auto time = [&](Time at) { add(std::clamp<std::int64_t>((at - now).count(), -1, 1'000'000'000)); };
  add(std::int64_t(lease_));
  if (lease_ != 0) {
    time(lease_expires_at_);
    time(grants_valid_until_);
    time(renew_at_);
  }
  add(joined_ + 2 * stale_ + 4 * leaving_ + 8 * rolled_back_);
  add(std::int64_t(joined_revision_));
  time(not_before_);
  add(failures_);
  add(pending_ ? int(pending_->kind) : -1);
  if (pending_) time(sent_at_);
  for (const auto* table : {&owners_, &members_}) {
    for (const auto& [name, record] : *table) {
      text += name + '=' + record.owner + '/';
      add(std::int64_t(record.token));
      add(std::int64_t(record.lease));
    }
    text += ';';
  }
  for (const auto& [duty, at] : owned_since_) time(at + settings_.min_ownership_time);
  for (const Revision token : released_tokens_) add(std::int64_t(token));
  return text;
}

}  // namespace bankmux::ownership
