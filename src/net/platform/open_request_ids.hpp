// The ids of a conductor's open requests, and of those that may have been executed. Two open requests with
// the same id would share state at the instances: releasing one's KV cache would affect the other. An
// at-most-once request that came again under its id, while it is open or later, would run twice.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>

#include "net/handover/executed_id_table.hpp"
#include "net/handover/request_id_locks.hpp"

namespace bankmux::net {

class OpenRequestIds {
 public:
  // From now on, ids are reserved among all processes of this conductor. `receive_handed_over` takes over the
  // streams that another process has handed over and that have not been read yet; it calls take_over().
  void share_with_processes(RequestIdLocks locks, std::function<void()> receive_handed_over);

  // From now on, the ids that may have been executed are shared with the processes that open the same path.
  // Throws std::runtime_error as ExecutedIdTable::share does.
  void share_executed(const std::string& path) { executed_.share(path); }

  // Reserves the id of a new request; false if a request with this id is open here or in another process.
  [[nodiscard]] bool reserve(const std::string& id);
  // Reserves the id of a stream that another process hands over; false if it is open here.
  [[nodiscard]] bool take_over(const std::string& id);
  // To be called before a stream is handed over: lets another process take its id over. The id stays reserved
  // here until release(), or until this process ends.
  void offer(const std::string& id);
  void release(const std::string& id);

  // Remembers beyond its release that the request with this id may be executed from now on, or that it has
  // proved not to have been.
  void note_execution(const std::string& id) { executed_.add(id); }
  void forget_execution(const std::string& id) { executed_.remove(id); }
  [[nodiscard]] bool may_have_run(const std::string& id) const { return executed_.contains(id); }

 private:
  std::set<std::string> ids_;
  ExecutedIdTable executed_;
  std::optional<RequestIdLocks> locks_;
  std::function<void()> receive_handed_over_;
};

}  // namespace bankmux::net
