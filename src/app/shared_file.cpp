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

constexpr std::size_t kMaxBytes = 1024 * 1024;
// A holder needs the lock for well under a millisecond. A process that was stopped while holding it must not
// block this process's event loop, so the update fails instead.
constexpr int kLockAttempts = 20;
constexpr timespec kLockRetryInterval{0, 1'000'000};  // 1 ms

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

bool lock_with_retry(int fd) {
  for (int i = 0; i < kLockAttempts; ++i) {
    if (flock(fd, LOCK_EX | LOCK_NB) == 0) return true;
    nanosleep(&kLockRetryInterval, nullptr);
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
  char buffer[4096];
  for (;;) {
    const ssize_t n = ::read(file.get(), buffer, sizeof buffer);
    if (n < 0 || text.size() > kMaxBytes) return std::nullopt;
    if (n == 0) return text;
    text.append(buffer, std::size_t(n));
  }
}

bool SharedFile::changed() {
  struct stat status {};
  if (stat(path_.c_str(), &status) != 0) return false;
  const std::pair version(static_cast<unsigned long>(status.st_ino),
                          long(status.st_ctim.tv_sec) * 1'000'000'000L + status.st_ctim.tv_nsec);
  return std::exchange(last_version_, version) != version;
}

bool SharedFile::update(const std::function<std::optional<std::string>(const std::string&)>& change) {
  const Descriptor lock(open((path_ + ".lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
  if (lock.get() < 0 || !lock_with_retry(lock.get())) return false;
  const std::optional<std::string> before = read();
  if (!before) return false;
  const std::optional<std::string> after = change(*before);
  if (!after) return false;
  const std::string temporary_path = path_ + ".new";
  const Descriptor file(open(temporary_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
  return file.get() >= 0 && write_all(file.get(), *after) &&
         rename(temporary_path.c_str(), path_.c_str()) == 0;
}

}  // namespace bankmux::app
