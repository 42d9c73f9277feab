#include "app/shared_file.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdio>
#include <ctime>
#include <utility>

namespace bankmux::app {

namespace {

constexpr std::size_t kMostBytes = 1024 * 1024;
// A holder needs well under a millisecond; one that was stopped while it held the lock must not hold up this
// process's loop, so that a call hears no instead.
constexpr int kLockTries = 20;
constexpr timespec kLockPause{0, 1'000'000};

class Descriptor {
 public:
  explicit Descriptor(int fd) : fd_(fd) {}
  ~Descriptor() {
    if (fd_ >= 0) close(fd_);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  [[nodiscard]] int get() const { return fd_; }

 private:
  int fd_;
};

bool locked(int fd) {
  for (int i = 0; i < kLockTries; ++i) {
    if (flock(fd, LOCK_EX | LOCK_NB) == 0) return true;
    nanosleep(&kLockPause, nullptr);
  }
  return false;
}

bool write_all(int fd, const std::string& text) {
  for (std::size_t done = 0; done < text.size();) {
    const ssize_t n = write(fd, text.data() + done, text.size() - done);
    if (n <= 0) return false;
    done += std::size_t(n);
  }
  return fsync(fd) == 0;
}

}  // namespace

std::optional<std::string> SharedFile::read() const {
  const Descriptor file(open(path_.c_str(), O_RDONLY | O_CLOEXEC));
  if (file.get() < 0) return errno == ENOENT ? std::optional<std::string>("") : std::nullopt;
  std::string text;
  char part[4096];
  for (;;) {
    const ssize_t n = ::read(file.get(), part, sizeof part);
    if (n < 0 || text.size() > kMostBytes) return std::nullopt;
    if (n == 0) return text;
    text.append(part, std::size_t(n));
  }
}

bool SharedFile::changed() {
  struct stat about {};
  if (stat(path_.c_str(), &about) != 0) return false;
  const std::pair now(static_cast<unsigned long>(about.st_ino),
                      long(about.st_ctim.tv_sec) * 1'000'000'000L + about.st_ctim.tv_nsec);
  return std::exchange(seen_, now) != now;
}

bool SharedFile::update(const std::function<std::optional<std::string>(const std::string&)>& change) {
  const Descriptor lock(open((path_ + ".lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
  if (lock.get() < 0 || !locked(lock.get())) return false;
  const std::optional<std::string> before = read();
  if (!before) return false;
  const std::optional<std::string> after = change(*before);
  if (!after) return false;
  const std::string fresh = path_ + ".new";
  const Descriptor file(open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
  return file.get() >= 0 && write_all(file.get(), *after) && rename(fresh.c_str(), path_.c_str()) == 0;
}

}  // namespace bankmux::app
