// In-memory reference implementation of the coordination store, on a clock that the caller advances. Store
// adapters are compared with it, and the model checker of Ownership runs against it.
#pragma once

#include <map>
#include <string>

#include "coordination/store.hpp"

namespace bankmux::test {

class MemoryStore {
 public:
  using Time = std::chrono::microseconds;

  coordination::Result transact(Time now, const coordination::Transaction& transaction) {
    expire(now);
    coordination::Result result;
    result.applied = true;
    for (const coordination::Compare& condition : transaction.conditions) {
      const auto it = entries_.find(condition.key);
      if ((it == entries_.end() ? 0 : it->second.modified) != condition.modified) result.applied = false;
    }
    for (const coordination::Write& write : transaction.writes) {
      const auto* put = std::get_if<coordination::Put>(&write);
      if (put != nullptr && put->lease != 0 && !leases_.contains(put->lease)) result.applied = false;
    }
    if (result.applied && !transaction.writes.empty()) {
      ++revision_;
      for (const coordination::Write& write : transaction.writes)
        std::visit([this](const auto& w) { apply(w); }, write);
    }
    for (const std::string& prefix : transaction.read_prefixes) {
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
    if (it == leases_.end()) return {coordination::FailureKind::rejected, id, revision_, "no such lease"};
    it->second.until = now + it->second.time_to_live;
    return {std::nullopt, id, revision_, ""};
  }
  coordination::LeaseResult revoke(Time now, coordination::LeaseId id) {
    expire(now);
    if (!leases_.contains(id)) return {coordination::FailureKind::rejected, id, revision_, "no such lease"};
    end_lease(id);
    return {std::nullopt, id, revision_, ""};
  }
  void expire(Time now) {
    for (auto it = leases_.begin(); it != leases_.end();) {
      const auto id = it->first;
      const bool expired = now >= it->second.until;
      ++it;
      if (expired) end_lease(id);
    }
  }
  [[nodiscard]] const std::map<std::string, coordination::Entry>& entries() const { return entries_; }
  [[nodiscard]] coordination::Revision revision() const { return revision_; }
  [[nodiscard]] std::string fingerprint(Time now) const {
    std::string text = std::to_string(revision_) + ';';
    for (const auto& [key, entry] : entries_) {
      text += key + '=' + entry.value + '@' + std::to_string(entry.modified) + '/' +
              std::to_string(entry.lease) + ';';
    }
    for (const auto& [id, lease] : leases_)
      text += std::to_string(id) + ':' + std::to_string((lease.until - now).count()) + ';';
    return text + std::to_string(last_lease_);
  }

 private:
  struct Lease {
    coordination::Duration time_to_live;
    Time until;
  };
  void apply(const coordination::Put& put) {
    coordination::Entry& entry = entries_[put.key];
    if (entry.key.empty()) entry.created = revision_;
    entry.key = put.key;
    entry.value = put.value;
    entry.modified = revision_;
    entry.lease = put.lease;
  }
  void apply(const coordination::Erase& erase) { entries_.erase(erase.key); }
  void end_lease(coordination::LeaseId id) {
    leases_.erase(id);
    if (std::erase_if(entries_, [id](const auto& p) { return p.second.lease == id; }) > 0) ++revision_;
  }

  coordination::Revision revision_ = 0;
  coordination::LeaseId last_lease_ = 0;
  std::map<std::string, coordination::Entry> entries_;
  std::map<coordination::LeaseId, Lease> leases_;
};

}  // namespace bankmux::test
