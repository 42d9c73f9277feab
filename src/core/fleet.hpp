// The instances as the list names them: addresses, and since when each may no longer be sent to.
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
    bool out = false;                    // for maintenance, by an operator's word
    Time listed_start{0};  // `entry.started` as listed; the entry's is never later than when it came
    Time last_heard{0};    // when it last answered anything here
  };

  // Takes news; returns the instances whose process is gone or new. Changes without an entry say that nothing
  // has changed. A start that lies ahead of `now` (a clock that is off, a fault) counts as a start at the
  // moment it was first told, until the list names another; one that this process saw happen is no older than
  // the word from discovery before it, however old the wall clock makes it.
  std::vector<EngineId> update(Time now, const FleetNews& news);
  // The ids that are out for maintenance from now on; returns the instances for which that changed. One that
  // comes back counts as started now: operators restart it meanwhile, and the list may not have said so.
  std::vector<EngineId> set_out(Time now, std::set<std::string> ids);
  // It has answered something.
  void note_heard(EngineId engine, Time now);
  // The entry as the module is to know it: one that is out drains, whatever the list says.
  [[nodiscard]] eiderarch::EngineEntry told(EngineId engine) const;
  // Whether the list has an instance of that id, or it is out.
  [[nodiscard]] bool knows(const std::string& id) const;
  [[nodiscard]] const Member* find(EngineId engine) const;
  [[nodiscard]] const std::map<EngineId, Member>& members() const { return members_; }

 private:
  [[nodiscard]] Time counted_start(Time listed, Time now, bool witnessed) const;

  std::map<EngineId, Member> members_;
  std::optional<Time> last_word_;  // from discovery itself; a list from disk is none
  std::set<std::string> out_;
};

}  // namespace bankmux::core
