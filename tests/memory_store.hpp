// The store's rules in memory, on a clock that the caller moves: what adapters are compared with, and what
// the model of ownership runs against.
#pragma once

#include <map>
#include <string>

#include "coordination/store.hpp"

namespace bankmux::test {

class Table {
 public:
  using Time = std::chrono::microseconds;

  coordination::Result transact(Time now, const coordination::Transaction& t) {
    expire(now);
    coordination::Result result;
    result.applied = true;
    for (const coordination::Compare& c : t.when) {
      const auto it = entries_.find(c.key);
      if ((it == entries_.end() ? 0 : it->second.modified) != c.modified) result.applied = false;
    }
    for (const coordination::Write& write : t.then) {
      const auto* put = std::get_if<coordination::Put>(&write);
      if (put != nullptr && put->lease != 0 && !leases_.contains(put->lease)) result.applied = false;
    }
    if (result.applied && !t.then.empty()) {
      ++revision_;
      for (const coordination::Write& write : t.then) std::visit([this](const auto& w) { apply(w); }, write);
    }
    for (const std::string& prefix : t.read) {
      for (auto it = entries_.lower_bound(prefix); it != entries_.end() && it->first.starts_with(prefix);
           ++it) {
        result.entries.push_back(it->second);
      }
    }
    result.revision = revision_;
    return result;
  }
  coordination::LeaseResult grant(Time now, coordination::Duration time_to_live) {
    expire(now);
    const coordination::LeaseId id = ++last_lease_;
    leases_[id] = {time_to_live, now + time_to_live};
    return {std::nullopt, id, revision_, ""};
  }
  coordination::LeaseResult keep_alive(Time now, coordination::LeaseId id) {
    expire(now);
    const auto it = leases_.find(id);
    if (it == leases_.end()) return {coordination::Fault::refused, id, revision_, "no such lease"};
    it->second.until = now + it->second.time_to_live;
    return {std::nullopt, id, revision_, ""};
  }
  coordination::LeaseResult revoke(Time now, coordination::LeaseId id) {
    expire(now);
    if (!leases_.contains(id)) return {coordination::Fault::refused, id, revision_, "no such lease"};
    end(id);
    return {std::nullopt, id, revision_, ""};
  }
  void expire(Time now) {
    for (auto it = leases_.begin(); it != leases_.end();) {
      const auto id = it->first;
      const bool over = now >= it->second.until;
      ++it;
      if (over) end(id);
    }
  }
  [[nodiscard]] const std::map<std::string, coordination::Entry>& entries() const { return entries_; }
  [[nodiscard]] coordination::Revision revision() const { return revision_; }
  [[nodiscard]] std::string fingerprint(Time now) const {
    std::string text = std::to_string(revision_) + ';';
    for (const auto& [key, e] : entries_) {
      text += key + '=' + e.value + '@' + std::to_string(e.modified) + '/' + std::to_string(e.lease) + ';';
    }
    for (const auto& [id, l] : leases_)
      text += std::to_string(id) + ':' + std::to_string((l.until - now).count()) + ';';
    return text + std::to_string(last_lease_);
  }

 private:
  struct Lease {
    coordination::Duration time_to_live;
    Time until;
  };
  void apply(const coordination::Put& put) {
    coordination::Entry& e = entries_[put.key];
    if (e.key.empty()) e.created = revision_;
    e.key = put.key;
    e.value = put.value;
    e.modified = revision_;
    e.lease = put.lease;
  }
  void apply(const coordination::Erase& erase) { entries_.erase(erase.key); }
  void end(coordination::LeaseId id) {
    leases_.erase(id);
    if (std::erase_if(entries_, [id](const auto& p) { return p.second.lease == id; }) > 0) ++revision_;
  }

  coordination::Revision revision_ = 0;
  coordination::LeaseId last_lease_ = 0;
  std::map<std::string, coordination::Entry> entries_;
  std::map<coordination::LeaseId, Lease> leases_;
};

}  // namespace bankmux::test
