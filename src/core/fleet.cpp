#include "core/fleet.hpp"

#include <algorithm>
#include <set>

namespace bankmux::core {

using eiderarch::EngineState;
using eiderarch::ListScope;

// The wall clock of this machine or of another one may have been stepped since this process started, so a
// listed start may seem up to an hour older than it is. 0 means 'long ago', not a time.
Time Fleet::effective_start(Time listed, Time now, bool observed) const {
  if (listed == Time{0}) return listed;
  const Time started = std::min(listed, now);
  return observed ? std::max(started, *last_update_) : started;
}

std::vector<EngineId> Fleet::update(Time now, const FleetUpdate& list_update) {
  std::vector<EngineId> lost;
  if (list_update.scope == ListScope::failed) return lost;
  if (list_update.scope != ListScope::changes) {
    std::set<EngineId> listed_ids;  // one pass over long lists, instead of one for each pair
    for (const ListEntry& row : list_update.entries) listed_ids.insert(row.entry.engine);
    for (auto& [id, member] : members_) {
      if (listed_ids.contains(id) || member.entry.state == EngineState::gone) continue;
      member.entry.state = EngineState::gone;
      if (!member.draining_since) member.draining_since = now;
      lost.push_back(id);
    }
  }
  for (const ListEntry& row : list_update.entries) {
    const auto [it, is_new] = members_.try_emplace(row.entry.engine);
    Member& member = it->second;
    const bool gone = row.entry.state == EngineState::gone;
    const bool restarted = is_new || row.entry.started != member.listed_start;
    if (!is_new && (restarted || (gone && member.entry.state != EngineState::gone))) {
      lost.push_back(row.entry.engine);
    }
    // A complete list may be the first to name an instance that has been running elsewhere for long.
    const bool observed = last_update_ && (!is_new || list_update.scope == ListScope::changes);
    const Time started = restarted ? effective_start(row.entry.started, now, observed) : member.entry.started;
    member.listed_start = row.entry.started;
    const std::uint32_t kind_before = is_new ? eiderarch::kKindNotNamed : member.entry.kind;
    member.entry = row.entry;
    if (member.entry.kind == eiderarch::kKindNotNamed) member.entry.kind = kind_before;
    member.entry.started = started;
    member.target = {row.entry.engine, row.id, row.address.empty() ? member.target.address : row.address};
    member.in_maintenance = maintenance_ids_.contains(row.id);
    if (row.entry.state == EngineState::live) {
      member.draining_since.reset();
    } else if (!member.draining_since) {
      member.draining_since = now;
    }
  }
  if (list_update.scope != ListScope::disk) last_update_ = now;
  return lost;
}

std::vector<EngineId> Fleet::set_maintenance(Time now, std::set<std::string> ids) {
  maintenance_ids_ = std::move(ids);
  std::vector<EngineId> changed;
  for (auto& [id, member] : members_) {
    const bool in_maintenance = maintenance_ids_.contains(member.target.id);
    if (in_maintenance == member.in_maintenance) continue;
    member.in_maintenance = in_maintenance;
    if (!in_maintenance) member.entry.started = now;
    changed.push_back(id);
  }
  return changed;
}

void Fleet::record_answer(EngineId engine, Time now) {
  if (const auto it = members_.find(engine); it != members_.end()) it->second.last_answer = now;
}

eiderarch::EngineEntry Fleet::module_entry(EngineId engine) const {
  const Member& member = members_.at(engine);
  eiderarch::EngineEntry entry = member.entry;
  if (member.in_maintenance && entry.state == EngineState::live) entry.state = EngineState::draining;
  return entry;
}

bool Fleet::knows(const std::string& id) const {
  return maintenance_ids_.contains(id) || std::ranges::any_of(members_, [&id](const auto& p) {
           return p.second.target.id == id && p.second.entry.state != EngineState::gone;
         });
}

const Fleet::Member* Fleet::find(EngineId engine) const {
  const auto it = members_.find(engine);
  return it == members_.end() ? nullptr : &it->second;
}

}  // namespace bankmux::core
