#include "admission/ledger.hpp"

#include <algorithm>
#include <utility>

namespace bankmux::admission {

namespace {

// The length prefix distinguishes pairs whose concatenation is the same text.
std::string lookup_key(const std::string& tenant, const std::string& key) {
  return std::to_string(tenant.size()) + ':' + tenant + key;
}

}  // namespace

Ledger::BeginResult Ledger::begin(Time now, const std::string& tenant, const std::string& key,
                                  std::uint64_t digest, bool once, RequestIdentity identity) {
  expire(now);
  std::string name = lookup_key(tenant, key);
  if (const auto known = by_lookup_key_.find(name); known != by_lookup_key_.end()) {
    Entry& entry = entries_.at(known->second);
    const bool unexecuted = entry.open == 0 && !entry.may_have_run;
    if (unexecuted) entry.digest = digest;
    if (entry.digest != digest) return {BeginStatus::key_reused, known->second, nullptr};
    if (unexecuted || identity == RequestIdentity::first_try) {
      reopen(entry);
      return {BeginStatus::fresh, known->second, nullptr};
    }
    if (entry.open > 0) return {BeginStatus::running, known->second, nullptr};
    return {BeginStatus::ended, known->second,
            entry.answer && !entry.outcome_unknown ? &*entry.answer : nullptr};
  }
  const bool retry =
      identity == RequestIdentity::client_key_retry || identity == RequestIdentity::marked_retry;
  if (retry && once && lacks_earlier_requests()) return {BeginStatus::ended, 0, nullptr};
  if (entries_.size() >= limits_.entries && !evict_entry()) return {BeginStatus::full, 0, nullptr};
  const Number number = ++last_number_;
  Entry entry;
  entry.tenant = tenant;
  entry.key = key;
  entry.digest = digest;
  entry.once = once;
  entry.by_client_key =
      identity == RequestIdentity::client_key || identity == RequestIdentity::client_key_retry;
  entries_.emplace(number, std::move(entry));
  by_lookup_key_.emplace(std::move(name), number);
  return {BeginStatus::fresh, number, nullptr};
}

void Ledger::record_attempt(Number number, bool may_have_run) {
  const auto it = entries_.find(number);
  if (it != entries_.end())
    it->second.pending_attempts = std::max(it->second.pending_attempts + (may_have_run ? 1 : -1), 0);
}

void Ledger::end(Time now, Number number, bool may_have_run, std::optional<RecordedAnswer> answer) {
  expire(now);
  const auto it = entries_.find(number);
  if (it == entries_.end() || it->second.open == 0) return;
  Entry& entry = it->second;
  --entry.open;
  entry.may_have_run |= may_have_run;
  const bool stores_answer = entry.by_client_key && answer && answer->body.size() <= limits_.max_answer_bytes;
  if (!stores_answer) answer.reset();
  if (may_have_run && !answer) entry.outcome_unknown = true;
  if (may_have_run && answer) {
    if (entry.answer) drop_answer(entry);
    answer_bytes_ += answer->body.size();
    entry.answer = std::move(answer);
    entry.answer_position = with_answer_.insert(with_answer_.end(), number);
  }
  if (entry.open == 0) {
    // A repeatable request whose answer is not stored needs no protection: its repeat may run.
    const bool explains_retry = !entry.may_have_run && entry.once && lacks_earlier_requests();
    if (!entry.may_have_run && !explains_retry) return erase_entry(it);
    if (entry.outcome_unknown && !entry.once) return erase_entry(it);
    entry.pending_attempts = 0;
    entry.ended = now_;
    entry.eviction_position = ended_list(entry).insert(ended_list(entry).end(), number);
  }
  // Evict the oldest answers. At-most-once and running requests keep their entries, with an unknown outcome.
  while (answer_bytes_ > limits_.answer_bytes) {
    const auto oldest = entries_.find(with_answer_.front());
    if (!oldest->second.once && oldest->second.open == 0) {
      erase_entry(oldest);
    } else {
      drop_answer(oldest->second);
      oldest->second.outcome_unknown = true;
    }
  }
}

std::vector<Ledger::EntryInfo> Ledger::find(const std::string& key) const {
  std::vector<EntryInfo> found;
  for (const auto& [number, e] : entries_) {
    if (e.key != key || (e.open == 0 && !e.may_have_run)) continue;
    found.push_back({e.tenant, e.key, e.once, e.open, e.may_have_run || e.pending_attempts > 0,
                     e.answer && !e.outcome_unknown ? e.answer->status : 0,
                     e.answer ? e.answer->body.size() : 0, e.open > 0 ? Duration{0} : now_ - e.ended});
  }
  return found;
}

void Ledger::expire(Time now) {
  now_ = std::max(now_, now);
  for (std::list<Number>* list : {&ended_at_most_once_, &ended_repeatable_, &ended_unexecuted_}) {
    while (!list->empty()) {
      const auto oldest = entries_.find(list->front());
      if (now_ - oldest->second.ended < limits_.age) break;
      erase_entry(oldest);
    }
  }
}

void Ledger::reopen(Entry& entry) {
  if (entry.eviction_position) ended_list(entry).erase(*std::exchange(entry.eviction_position, std::nullopt));
  ++entry.open;
}

// Makes room by dropping the oldest entry whose request may run again.
bool Ledger::evict_entry() {
  const std::list<Number>& list = ended_unexecuted_.empty() ? ended_repeatable_ : ended_unexecuted_;
  if (list.empty()) return false;
  erase_entry(entries_.find(list.front()));
  return true;
}

void Ledger::drop_answer(Entry& entry) {
  if (!entry.answer) return;
  answer_bytes_ -= entry.answer->body.size();
  with_answer_.erase(entry.answer_position);
  entry.answer.reset();
}

void Ledger::erase_entry(Entries::iterator it) {
  Entry& entry = it->second;
  drop_answer(entry);
  if (entry.eviction_position) ended_list(entry).erase(*entry.eviction_position);
  by_lookup_key_.erase(lookup_key(entry.tenant, entry.key));
  entries_.erase(it);
}

}  // namespace bankmux::admission
