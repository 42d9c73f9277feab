// Reservations of request ids among the processes of one conductor, which serve the same clients during an
// upgrade. Each id is a byte of a shared file, and a reservation is a lock on it (fcntl(2), open file
// description locks): the kernel decides between processes, and drops the reservations of a process that has
// ended.
#pragma once

#include <string>
#include <string_view>

#include "net/handover/stream_socket.hpp"

namespace bankmux::net {

class RequestIdLocks {
 public:
  // Creates the file at `path` if there is none. Throws std::runtime_error if it cannot be opened.
  explicit RequestIdLocks(const std::string& path);

  // Reserves an id for this process alone; false if another process has reserved or shares it.
  [[nodiscard]] bool reserve(std::string_view id);
  // Reserves an id so that other processes may share it, but not reserve it; replaces this process's own
  // reservation without a gap. False if another process has reserved it for itself.
  [[nodiscard]] bool share(std::string_view id);
  void release(std::string_view id);

 private:
  // False if another process's lock prevents it. Other failures are logged and count as success.
  bool set_lock(std::string_view id, short type);

  Descriptor file_;
};

}  // namespace bankmux::net
