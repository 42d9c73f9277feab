#include "net/handover/executed_id_table.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>

#include "log/log.hpp"

namespace bankmux::net {

namespace {

constexpr mode_t kFileMode = S_IRUSR | S_IWUSR;
// A process that was stopped within an update must not hold up the others.
constexpr int kLockTries = 100;

std::uint64_t hash_of(std::string_view id) {
  const std::uint64_t hash = XXH3_64bits(id.data(), id.size());
  return hash == 0 ? 1 : hash;
}

void log_failure(const char* what, int error) {
  log::write("handover", std::string(what) + " the ids that may have run: " + std::strerror(error));
}

// Retries a call that a signal has interrupted.
template <typename Call>
ssize_t uninterrupted(Call call) {
  ssize_t result = 0;
  do result = call();
  while (result < 0 && errno == EINTR);
  return result;
}

// An exclusive lock on a range of a file, if it was free soon enough.
class RangeLock {
 public:
  RangeLock(int file, off_t start, off_t length) : file_(file) {
    range_.l_whence = SEEK_SET;
    range_.l_start = start;
    range_.l_len = length;
    for (int tries = 0; tries < kLockTries && !set(F_WRLCK); ++tries) continue;
  }
  ~RangeLock() { (void)set(F_UNLCK); }
  RangeLock(const RangeLock&) = delete;
  RangeLock& operator=(const RangeLock&) = delete;

 private:
  bool set(short type) {
    range_.l_type = type;
    return fcntl(file_, F_OFD_SETLK, &range_) == 0;
  }
  int file_;
  struct flock range_ {};
};

}  // namespace

void ExecutedIdTable::share(const std::string& path) {
  constexpr off_t kFileBytes = kBuckets * sizeof(Bucket);
  Descriptor file(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW, kFileMode));
  if (file.get() < 0) throw std::runtime_error("cannot open " + path + ": " + std::strerror(errno));
  struct stat status {};
  if (fstat(file.get(), &status) != 0 || (status.st_size != 0 && status.st_size != kFileBytes))
    throw std::runtime_error(path + " is not in the expected format");
  // Allocated at once, so that no later write lacks room.
  const int error = status.st_size == 0 ? posix_fallocate(file.get(), 0, kFileBytes) : 0;
  if (error != 0) throw std::runtime_error("cannot allocate " + path + ": " + std::strerror(error));
  file_ = std::move(file);
}

void ExecutedIdTable::add(std::string_view id) { update(Change::add, id); }

void ExecutedIdTable::remove(std::string_view id) { update(Change::remove, id); }

bool ExecutedIdTable::contains(std::string_view id) const {
  const std::uint64_t hash = hash_of(id);
  const std::size_t index = hash % kBuckets;
  if (std::ranges::find(own_[index], hash) != own_[index].end()) return true;
  const std::optional<Bucket> shared = read(index);
  return shared && std::ranges::find(*shared, hash) != shared->end();
}

void ExecutedIdTable::apply(Change change, std::uint64_t hash, Bucket& bucket) {
  const auto known = std::ranges::find(bucket, hash);
  if (change == Change::remove) {
    if (known == bucket.end()) return;
    std::move(known + 1, bucket.end(), known);
    bucket.back() = 0;
    return;
  }
  const auto end = known == bucket.end() ? bucket.end() - 1 : known;
  std::move_backward(bucket.begin(), end, end + 1);
  bucket.front() = hash;
}

void ExecutedIdTable::update(Change change, std::string_view id) {
  const std::uint64_t hash = hash_of(id);
  const std::size_t index = hash % kBuckets;
  apply(change, hash, own_[index]);
  if (file_) update_file(change, hash, index);
}

std::optional<ExecutedIdTable::Bucket> ExecutedIdTable::read(std::size_t index) const {
  if (!file_) return std::nullopt;
  Bucket bucket{};
  const auto at = off_t(index * sizeof bucket);
  const ssize_t got = uninterrupted([&] { return pread(file_->get(), bucket.data(), sizeof bucket, at); });
  if (got == ssize_t(sizeof bucket)) return bucket;
  log_failure("cannot read", got < 0 ? errno : EIO);
  return std::nullopt;
}

void ExecutedIdTable::update_file(Change change, std::uint64_t hash, std::size_t index) const {
  const auto at = off_t(index * sizeof(Bucket));
  const RangeLock lock(file_->get(), at, sizeof(Bucket));
  std::optional<Bucket> bucket = read(index);
  if (!bucket) return;
  apply(change, hash, *bucket);
  const ssize_t put = uninterrupted([&] { return pwrite(file_->get(), bucket->data(), sizeof *bucket, at); });
  if (put != ssize_t(sizeof *bucket)) log_failure("cannot write", put < 0 ? errno : EIO);
}

}  // namespace bankmux::net
