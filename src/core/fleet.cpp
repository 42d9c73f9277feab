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

std::vector<EngineId> Fleet::update(Time now, const FleetNews& news) {
  std::vector<EngineId> lost;
  if (news.scope == ListScope::failed) return lost;
  if (news.scope != ListScope::changes) {
    std::set<EngineId> named;  // one pass over long lists, instead of one for each pair
    for (const Listed& row : news.entries) named.insert(row.entry.engine);
    for (auto& [id, member] : members_) {
      if (named.contains(id) || member.entry.state == EngineState::gone) continue;
      member.entry.state = EngineState::gone;
      if (!member.draining_since) member.draining_since = now;
      lost.push_back(id);
    }
  }
  for (const Listed& row : news.entries) {
    const auto [it, fresh] = members_.try_emplace(row.entry.engine);
    Member& member = it->second;
    const bool gone = row.entry.state == EngineState::gone;
    const bool restarted = fresh || row.entry.started != member.listed_start;
    if (!fresh && (restarted || (gone && member.entry.state != EngineState::gone))) {
      lost.push_back(row.entry.engine);
    }
    // A complete list may be the first to name an instance that has been running elsewhere for long.
    const bool observed = last_update_ && (!fresh || news.scope == ListScope::changes);
    const Time started = restarted ? effective_start(row.entry.started, now, observed) : member.entry.started;
    member.listed_start = row.entry.started;
    const std::uint32_t kind_before = fresh ? eiderarch::kKindNotNamed : member.entry.kind;
    member.entry = row.entry;
    if (member.entry.kind == eiderarch::kKindNotNamed) member.entry.kind = kind_before;
    member.entry.started = started;
    member.target = {row.entry.engine, row.id, row.address.empty() ? member.target.address : row.address};
    member.out = out_.contains(row.id);
    if (row.entry.state == EngineState::live) {
      member.draining_since.reset();
    } else if (!member.draining_since) {
      member.draining_since = now;
    }
  }
  if (news.scope != ListScope::disk) last_update_ = now;
  return lost;
}

std::vector<EngineId> Fleet::set_out(Time now, std::set<std::string> ids) {
  out_ = std::move(ids);
  std::vector<EngineId> changed;
  for (auto& [id, member] : members_) {
    const bool out = out_.contains(member.target.id);
    if (out == member.out) continue;
    member.out = out;
    if (!out) member.entry.started = now;
    changed.push_back(id);
  }
  return changed;
}

void Fleet::record_answer(EngineId engine, Time now) {
  if (const auto it = members_.find(engine); it != members_.end()) it->second.last_answer = now;
}

eiderarch::EngineEntry Fleet::told(EngineId engine) const {
  const Member& member = members_.at(engine);
  eiderarch::EngineEntry entry = member.entry;
  if (member.out && entry.state == EngineState::live) entry.state = EngineState::draining;
  return entry;
}

bool Fleet::knows(const std::string& id) const {
  return out_.contains(id) || std::ranges::any_of(members_, [&id](const auto& p) {
           return p.second.target.id == id && p.second.entry.state != EngineState::gone;
         });
}

const Fleet::Member* Fleet::find(EngineId engine) const {
  const auto it = members_.find(engine);
  return it == members_.end() ? nullptr : &it->second;
}

}  // namespace bankmux::core
