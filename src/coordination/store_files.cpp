#include "coordination/store_files.hpp"

#include <fcntl.h>
#include <sqlite3.h>
#include <sys/stat.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <cstdint>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace bankmux::coordination {

namespace {

constexpr mode_t kFileMode = S_IRUSR | S_IWUSR;  // accessible to the operator only
// Byte of the file's shared memory that a writer locks (SQLite, "WAL-mode File Format", WAL_WRITE_LOCK).
constexpr std::uint64_t kWriteLockOffset = 120;

[[noreturn]] void fail(const std::string& action, const std::string& file) {
  throw std::runtime_error("cannot " + action + ' ' + file + ": " + std::strerror(errno));
}

bool exists(const std::string& file) {
  if (::access(file.c_str(), F_OK) == 0) return true;
  if (errno != ENOENT) fail("look for", file);
  return false;
}

void sync(const std::string& file) {
  const int descriptor = ::open(file.c_str(), O_RDONLY | O_CLOEXEC);
  if (descriptor < 0) fail("open", file);
  const bool synced = ::fsync(descriptor) == 0;
  ::close(descriptor);
  if (!synced) fail("sync", file);
}

void create_empty(const std::string& file) {
  const int descriptor = ::open(file.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode);
  if (descriptor < 0) fail("create", file);
  ::close(descriptor);
}

std::string folder_of(const std::string& file) {
  const std::filesystem::path folder = std::filesystem::path(file).parent_path();
  return folder.empty() ? "." : folder.string();
}

// Writes the committed contents of a store file to an empty file, and waits until they are on the disk.
void copy_contents(const std::string& from, const std::string& to) {
  sqlite3* database = nullptr;
  sqlite3_stmt* statement = nullptr;
  // Not read-only: reading a write-ahead log needs its shared memory.
  int code = sqlite3_open_v2(from.c_str(), &database, SQLITE_OPEN_READWRITE, nullptr);
  if (code == SQLITE_OK) code = sqlite3_prepare_v2(database, "VACUUM INTO ?", -1, &statement, nullptr);
  if (code == SQLITE_OK) code = sqlite3_bind_text(statement, 1, to.c_str(), -1, SQLITE_TRANSIENT);
  if (code == SQLITE_OK) code = sqlite3_step(statement);
  const std::string message = code == SQLITE_DONE ? "" : sqlite3_errmsg(database);
  sqlite3_finalize(statement);
  sqlite3_close_v2(database);
  if (code != SQLITE_DONE) throw std::runtime_error("cannot copy " + from + ": " + message);
  sync(to);
}

// A lock as a line of /proc/locks shows it: "1: POSIX ADVISORY WRITE 4711 fe:00:9929159 120 120".
struct FileLock {
  pid_t process = 0;
  std::uint64_t inode = 0, first = 0;
  bool exclusive = false;
};

bool parse_lock(const std::string& line, FileLock& lock) {
  std::istringstream fields(line);
  std::string number, kind, advisory, mode, file;
  if (!(fields >> number >> kind >> advisory >> mode >> lock.process >> file >> lock.first)) return false;
  const std::size_t colon = file.rfind(':');
  if (kind != "POSIX" || colon == std::string::npos) return false;
  lock.exclusive = mode == "WRITE";
  lock.inode = std::strtoull(file.c_str() + colon + 1, nullptr, 10);
  return true;
}

// Whether a process is stopped by a signal or a debugger.
bool is_suspended(pid_t process) {
  std::ifstream file("/proc/" + std::to_string(process) + "/stat");
  std::string line;
  std::getline(file, line);
  // The state follows the program's name, which may contain any character.
  const std::size_t name_end = line.rfind(") ");
  if (name_end == std::string::npos || name_end + 2 >= line.size()) return false;
  const char state = line[name_end + 2];
  return state == 'T' || state == 't';
}

}  // namespace

std::string StoreFiles::file(unsigned number) const {
  return number == 0 ? path_ : path_ + '.' + std::to_string(number);
}

bool StoreFiles::is_sealed() const {
  // Orders this look after what was committed to the file's shared memory before it.
  std::atomic_thread_fence(std::memory_order_seq_cst);
  return exists(seal_of(number_));
}

bool StoreFiles::is_locked_by_suspended_process() const {
  struct stat shared_memory {};
  // Only its name is looked at: closing a descriptor of the file would drop this process's own locks on it.
  if (::stat((current() + "-shm").c_str(), &shared_memory) != 0) return false;
  std::ifstream locks("/proc/locks");
  std::string line;
  while (std::getline(locks, line)) {
    FileLock lock;
    if (!parse_lock(line, lock)) continue;
    if (lock.exclusive && lock.inode == shared_memory.st_ino && lock.first == kWriteLockOffset &&
        is_suspended(lock.process)) {
      return true;
    }
  }
  return false;
}

void StoreFiles::seal() const {
  create_empty(seal_of(number_));
  std::atomic_thread_fence(std::memory_order_seq_cst);
}

void StoreFiles::advance() {
  while (is_sealed()) {
    if (!exists(file(number_ + 1)) && !exists(seal_of(number_ + 1))) copy_to_next();
    ++number_;
  }
  // A commit is durable only if its file is found after a power failure, whichever process has made the copy.
  if (number_ > 0) sync(folder_of(path_));
}

void StoreFiles::copy_to_next() const {
  const std::string copy = file(number_ + 1) + ".copy-" + std::to_string(::getpid());
  create_empty(copy);
  try {
    copy_contents(current(), copy);
    // Of several processes that copy at once, the first one's copy is the next file.
    if (::link(copy.c_str(), file(number_ + 1).c_str()) != 0 && errno != EEXIST) fail("link", copy);
  } catch (const std::runtime_error&) {
    ::unlink(copy.c_str());
    throw;
  }
  ::unlink(copy.c_str());
  remove_previous();
}

// Keeps the seals, which tell a process that still uses a removed file to move on.
void StoreFiles::remove_previous() const {
  if (number_ == 0) return;
  for (const char* part : {"", "-wal", "-shm"}) ::unlink((file(number_ - 1) + part).c_str());
}

}  // namespace bankmux::coordination
