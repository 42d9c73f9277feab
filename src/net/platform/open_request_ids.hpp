// The ids of a conductor's open requests. Two requests with the same id would share state at the instances:
// releasing one's KV cache would affect the other, and an at-most-once request would run twice.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>

#include "net/handover/request_id_locks.hpp"

namespace bankmux::net {

class OpenRequestIds {
 public:
  // From now on, ids are reserved among all processes of this conductor. `receive_handed_over` takes over the
  // streams that another process has handed over and that have not been read yet; it calls take_over().
  void share_with_processes(RequestIdLocks locks, std::function<void()> receive_handed_over);

  // Reserves the id of a new request; false if a request with this id is open here or in another process.
  [[nodiscard]] bool reserve(const std::string& id);
  // Reserves the id of a stream that another process hands over; false if it is open here.
  [[nodiscard]] bool take_over(const std::string& id);
  // To be called before a stream is handed over: lets another process take its id over. The id stays reserved
  // here until release(), or until this process ends.
  void offer(const std::string& id);
  void release(const std::string& id);

 private:
  std::set<std::string> ids_;
  std::optional<RequestIdLocks> locks_;
  std::function<void()> receive_handed_over_;
};

}  // namespace bankmux::net
