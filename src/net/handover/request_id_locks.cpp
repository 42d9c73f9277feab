#include "net/handover/request_id_locks.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <xxhash.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>

#include "log/log.hpp"

namespace bankmux::net {

namespace {

constexpr mode_t kFileMode = S_IRUSR | S_IWUSR;
constexpr int kHashShift = 2;  // offsets in a file are signed, and the end of a lock has to be one as well

off_t offset_of(std::string_view id) { return off_t(XXH3_64bits(id.data(), id.size()) >> kHashShift); }

}  // namespace

RequestIdLocks::RequestIdLocks(const std::string& path)
    : file_(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW, kFileMode)) {
  if (file_.get() < 0) throw std::runtime_error("cannot open " + path + ": " + std::strerror(errno));
}

bool RequestIdLocks::reserve(std::string_view id) { return set_lock(id, F_WRLCK); }

bool RequestIdLocks::share(std::string_view id) { return set_lock(id, F_RDLCK); }

void RequestIdLocks::release(std::string_view id) { (void)set_lock(id, F_UNLCK); }

bool RequestIdLocks::set_lock(std::string_view id, short type) {
  struct flock lock {};
  lock.l_type = type;
  lock.l_whence = SEEK_SET;
  lock.l_start = offset_of(id);
  lock.l_len = 1;
  if (fcntl(file_.get(), F_OFD_SETLK, &lock) == 0) return true;
  if (errno == EAGAIN || errno == EACCES) return false;
  log::write("handover", std::string("cannot lock a request's id: ") + std::strerror(errno));
  return true;
}

}  // namespace bankmux::net
