#include "admission/ledger.hpp"

#include <algorithm>
#include <utility>

namespace bankmux::admission {

Ledger::Begun Ledger::begin(Time now, const std::string& tenant, const std::string& key, std::uint64_t digest,
                            bool once) {
  expire(now);
  // The length keeps two pairs apart that join to the same text.
  std::string name = std::to_string(tenant.size()) + ':' + tenant + key;
  if (const auto known = by_name_.find(name); known != by_name_.end()) {
    Entry& entry = entries_.at(known->second);
    if (entry.digest != digest) return {Found::other_body, known->second, nullptr};
    if (entry.open) return {Found::open, known->second, nullptr};
    return {Found::ended, known->second, entry.answer ? &*entry.answer : nullptr};
  }
  if (entries_.size() >= limits_.entries && !make_room()) return {Found::full, 0, nullptr};
  const Number number = ++last_;
  Entry entry;
  entry.name = name;
  entry.digest = digest;
  entry.once = once;
  entries_.emplace(number, std::move(entry));
  by_name_.emplace(std::move(name), number);
  return {Found::fresh, number, nullptr};
}

void Ledger::wrote(Number number) {
  if (const auto it = entries_.find(number); it != entries_.end()) it->second.written = true;
}

void Ledger::end(Time now, Number number, std::optional<Recorded> answer) {
  expire(now);
  const auto it = entries_.find(number);
  if (it == entries_.end() || !it->second.open) return;
  Entry& entry = it->second;
  if (!entry.written) return drop(it);
  entry.open = false;
  entry.ended = now_;
  std::list<Number>& kind = entry.once ? once_ : safe_;
  entry.place = kind.insert(kind.end(), number);
  if (!answer || answer->body.size() > limits_.one_answer) return;
  bytes_ += answer->body.size();
  entry.answer = std::move(answer);
  entry.recorded = recorded_.insert(recorded_.end(), number);
  // Answers make room for newer ones; the protection of what they belong to stays.
  while (bytes_ > limits_.answer_bytes) drop_answer(entries_.at(recorded_.front()));
}

void Ledger::expire(Time now) {
  now_ = std::max(now_, now);
  for (std::list<Number>* list : {&once_, &safe_}) {
    while (!list->empty()) {
      const auto oldest = entries_.find(list->front());
      if (now_ - oldest->second.ended < limits_.age) break;
      drop(oldest);
    }
  }
}

bool Ledger::make_room() {
  if (safe_.empty()) return false;
  drop(entries_.find(safe_.front()));
  return true;
}

void Ledger::drop_answer(Entry& entry) {
  if (!entry.answer) return;
  bytes_ -= entry.answer->body.size();
  recorded_.erase(entry.recorded);
  entry.answer.reset();
}

void Ledger::drop(Entries::iterator it) {
  drop_answer(it->second);
  if (!it->second.open) (it->second.once ? once_ : safe_).erase(it->second.place);
  by_name_.erase(it->second.name);
  entries_.erase(it);
}

}  // namespace bankmux::admission
