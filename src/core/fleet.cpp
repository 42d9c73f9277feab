#include "core/fleet.hpp"

#include <algorithm>

namespace bankmux::core {

using eiderarch::EngineState;
using eiderarch::ListScope;

std::vector<EngineId> Fleet::update(Time now, const FleetNews& news) {
  std::vector<EngineId> lost;
  if (news.scope == ListScope::failed) return lost;
  if (news.scope != ListScope::changes) {
    for (auto& [id, member] : members_) {
      const bool listed =
          std::ranges::any_of(news.entries, [&id](const Listed& row) { return row.entry.engine == id; });
      if (listed || member.entry.state == EngineState::gone) continue;
      member.entry.state = EngineState::gone;
      if (!member.told_off) member.told_off = now;
      lost.push_back(id);
    }
  }
  for (const Listed& row : news.entries) {
    const auto [it, fresh] = members_.try_emplace(row.entry.engine);
    Member& member = it->second;
    const bool gone = row.entry.state == EngineState::gone;
    if (!fresh &&
        (row.entry.started != member.entry.started || (gone && member.entry.state != EngineState::gone))) {
      lost.push_back(row.entry.engine);
    }
    member.entry = row.entry;
    member.target = {row.entry.engine, row.id, row.address.empty() ? member.target.address : row.address};
    if (row.entry.state == EngineState::live) {
      member.told_off.reset();
    } else if (!member.told_off) {
      member.told_off = now;
    }
  }
  return lost;
}

const Fleet::Member* Fleet::find(EngineId engine) const {
  const auto it = members_.find(engine);
  return it == members_.end() ? nullptr : &it->second;
}

}  // namespace bankmux::core
