// The instances named in the discovery list: their addresses, their state, and since when each of them
// drains.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/ports.hpp"

namespace bankmux::core {

class Fleet {
 public:
  struct Member {
    Target target;
    eiderarch::EngineEntry entry;
    std::optional<Time> draining_since;  // since when it is known to drain or to be gone
    bool in_maintenance = false;         // taken out of rotation by an operator for maintenance
    Time listed_start{0};  // start as listed; `entry.started` is never later than when it was received
    Time last_answer{0};   // when it last answered anything to this process
  };

  // Applies an update of the list; returns the instances whose process has ended or been replaced. An update
  // of scope `changes` without entries says that nothing has changed. A listed start in the future (a wrong
  // clock, or a fault) counts as a start at the time it was first listed, until the list names another one. A
  // start during the lifetime of this process counts as no earlier than the last update from discovery before
  // it, even if the wall clock says otherwise.
  std::vector<EngineId> update(Time now, const FleetUpdate& list_update);
  // Replaces the set of ids that are out for maintenance; returns the instances for which that changed. One
  // that returns to rotation counts as started now: operators restart it meanwhile, and the list may not have
  // said so.
  std::vector<EngineId> set_maintenance(Time now, std::set<std::string> ids);
  // Records that the instance has answered something.
  void record_answer(EngineId engine, Time now);
  // The entry as reported to the module: an instance that is out for maintenance counts as draining.
  [[nodiscard]] eiderarch::EngineEntry module_entry(EngineId engine) const;
  // Whether the list names an instance with that id, or the id is out for maintenance.
  [[nodiscard]] bool knows(const std::string& id) const;
  [[nodiscard]] const Member* find(EngineId engine) const;
  [[nodiscard]] const std::map<EngineId, Member>& members() const { return members_; }

 private:
  [[nodiscard]] Time effective_start(Time listed, Time now, bool observed) const;

  std::map<EngineId, Member> members_;
  std::optional<Time>
      last_update_;  // last update from discovery itself; a list read from disk does not count
  std::set<std::string> maintenance_ids_;
};

}  // namespace bankmux::core
