#include "coordination/sqlite_store.hpp"

#include <sqlite3.h>
#include <sys/stat.h>
#include <time.h>

#include <chrono>
#include <fstream>
#include <stdexcept>
#include <utility>

#include "coordination/store_files.hpp"

namespace bankmux::coordination {

namespace {

constexpr int kFormatVersion = 1;
// Wait for the lock of the file, which another process holds for at most the fsync of one write.
constexpr int kBusyTimeoutMs = 500;
constexpr std::size_t kMaxQueuedJobs = 1'000;  // more waiting calls mean that the disk does not keep up
constexpr std::chrono::milliseconds kPollInterval{50};  // between checks for changes by other processes

constexpr const char* kSchema =
    "CREATE TABLE IF NOT EXISTS meta(name TEXT PRIMARY KEY, value) WITHOUT ROWID;"
    "CREATE TABLE IF NOT EXISTS entry(key TEXT PRIMARY KEY, value BLOB, created INTEGER, modified INTEGER,"
    " lease INTEGER) WITHOUT ROWID;"
    "CREATE INDEX IF NOT EXISTS entry_by_lease ON entry(lease) WHERE lease != 0;"
    "CREATE TABLE IF NOT EXISTS lease(id INTEGER PRIMARY KEY, time_to_live INTEGER, until INTEGER);";

// A call that failed, with what is known about its effect.
struct StoreException {
  FailureKind failure;
  std::string message;
};

std::string boot_id() {
  std::ifstream file("/proc/sys/kernel/random/boot_id");
  std::string id;
  std::getline(file, id);
  return id;
}

}  // namespace

Duration boot_time() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::duration_cast<Duration>(std::chrono::seconds(now.tv_sec) +
                                              std::chrono::nanoseconds(now.tv_nsec));
}

// ---- The database file, used by the worker thread only ----

class SqliteStore::File {
 public:
  explicit File(const std::string& path) : files_(path) {}
  ~File() { close(); }
  File(const File&) = delete;
  File& operator=(const File&) = delete;

  // Runs `body` within one transaction and commits it. Throws StoreException.
  template <typename Body>
  void run_transaction(Body body) {
    open();
    begin_transaction();
    try {
      expire_leases();
      body();
    } catch (const StoreException&) {
      sqlite3_exec(database_, "ROLLBACK", nullptr, nullptr, nullptr);
      throw;
    }
    const int code = sqlite3_exec(database_, "COMMIT", nullptr, nullptr, nullptr);
    if (code == SQLITE_OK) return check_commit();
    const std::string message = sqlite3_errmsg(database_);
    const bool rolled_back = sqlite3_exec(database_, "ROLLBACK", nullptr, nullptr, nullptr) == SQLITE_OK;
    // After any other failed commit it is unknown whether the data reached the disk.
    throw StoreException{
        code == SQLITE_BUSY && rolled_back ? FailureKind::not_applied : FailureKind::outcome_unknown,
        message};
  }

  class Statement {
   public:
    Statement(File& file, const char* sql) : file_(file) {
      if (sqlite3_prepare_v2(file.database_, sql, -1, &statement_, nullptr) != SQLITE_OK) file.throw_error();
    }
    ~Statement() { sqlite3_finalize(statement_); }
    Statement(const Statement&) = delete;
    Statement& operator=(const Statement&) = delete;
    Statement& bind(std::int64_t value) {
      sqlite3_bind_int64(statement_, ++bound_, value);
      return *this;
    }
    Statement& bind(const std::string& text) {
      sqlite3_bind_blob(statement_, ++bound_, text.data(), int(text.size()), SQLITE_TRANSIENT);
      return *this;
    }
    bool step() {
      const int code = sqlite3_step(statement_);
      if (code != SQLITE_ROW && code != SQLITE_DONE) file_.throw_error();
      return code == SQLITE_ROW;
    }
    void execute() {
      while (step()) {
      }
    }
    [[nodiscard]] std::int64_t integer(int column) const { return sqlite3_column_int64(statement_, column); }
    [[nodiscard]] std::string text(int column) const {
      const auto* bytes = static_cast<const char*>(sqlite3_column_blob(statement_, column));
      return bytes == nullptr ? std::string()
                              : std::string(bytes, std::size_t(sqlite3_column_bytes(statement_, column)));
    }

   private:
    File& file_;
    sqlite3_stmt* statement_ = nullptr;
    int bound_ = 0;
  };

  std::int64_t meta(const char* name) {
    Statement query(*this, "SELECT value FROM meta WHERE name = ?");
    return query.bind(std::string(name)).step() ? query.integer(0) : 0;
  }
  void set_meta(const char* name, std::int64_t value) {
    Statement(*this, "INSERT OR REPLACE INTO meta VALUES (?, ?)")
        .bind(std::string(name))
        .bind(value)
        .execute();
  }
  Revision revision() { return Revision(meta("revision")); }
  Revision next_revision() {
    const Revision next = revision() + 1;
    set_meta("revision", std::int64_t(next));
    return next;
  }
  bool has_lease(LeaseId lease) {
    Statement query(*this, "SELECT 1 FROM lease WHERE id = ?");
    return query.bind(std::int64_t(lease)).step();
  }
  void end_lease(LeaseId lease) {
    Statement(*this, "DELETE FROM lease WHERE id = ?").bind(std::int64_t(lease)).execute();
    Statement(*this, "DELETE FROM entry WHERE lease = ?").bind(std::int64_t(lease)).execute();
    if (sqlite3_changes(database_) > 0) (void)next_revision();
  }
  // Value that changes whenever this process or another one has committed; -1 if it is not available.
  std::int64_t data_version() {
    if (database_ == nullptr) return -1;
    Statement query(*this, "PRAGMA data_version");
    return query.step() ? query.integer(0) : -1;
  }

 private:
  [[noreturn]] void throw_error() {
    const int code = sqlite3_errcode(database_);
    const std::string message = sqlite3_errmsg(database_);
    const bool permanent = code == SQLITE_CORRUPT || code == SQLITE_NOTADB || code == SQLITE_READONLY ||
                           code == SQLITE_PERM || code == SQLITE_AUTH;
    throw StoreException{permanent ? FailureKind::rejected : FailureKind::not_applied, message};
  }
  void execute_sql(const char* sql) {
    if (sqlite3_exec(database_, sql, nullptr, nullptr, nullptr) != SQLITE_OK) throw_error();
  }
  // Begins a transaction that may write. A file whose lock is held by a suspended process is sealed, so that
  // the next call uses the next file.
  void begin_transaction() {
    if (sqlite3_exec(database_, "BEGIN IMMEDIATE", nullptr, nullptr, nullptr) == SQLITE_OK) return;
    if (sqlite3_errcode(database_) != SQLITE_BUSY || !files_.is_locked_by_suspended_process()) throw_error();
    try {
      files_.seal();
    } catch (const std::runtime_error& error) {
      throw StoreException{FailureKind::not_applied, error.what()};
    }
    throw StoreException{FailureKind::not_applied,
                         "a suspended process holds the lock of " + files_.current() + ", now sealed"};
  }
  // A commit to a file that has been sealed may be missing in the next file.
  void check_commit() {
    try {
      if (!files_.is_sealed()) return;
    } catch (const std::runtime_error& error) {
      throw StoreException{FailureKind::outcome_unknown, error.what()};
    }
    throw StoreException{FailureKind::outcome_unknown, files_.current() + " was sealed during a commit"};
  }
  // Closes a file that has been sealed, and moves on to the next one.
  void leave_sealed_file() {
    try {
      if (!files_.is_sealed()) return;
      close();
      files_.advance();
    } catch (const std::runtime_error& error) {
      throw StoreException{FailureKind::not_applied, error.what()};
    }
  }
  void open() {
    leave_sealed_file();
    if (database_ != nullptr) return;
    const std::string path = files_.current();
    const mode_t mask = ::umask(0077);  // accessible to the operator only
    const int code =
        sqlite3_open_v2(path.c_str(), &database_, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, nullptr);
    ::umask(mask);
    if (code != SQLITE_OK) {
      const std::string message = database_ != nullptr ? sqlite3_errmsg(database_) : "no memory";
      close();
      throw StoreException{FailureKind::not_applied, message + ": " + path};
    }
    try {
      sqlite3_busy_timeout(database_, kBusyTimeoutMs);
      execute_sql("PRAGMA journal_mode = WAL");
      // A fencing token must not be issued again after a power failure, since instances remember it.
      execute_sql("PRAGMA synchronous = FULL");
      begin_transaction();
      execute_sql(kSchema);
      const std::int64_t format = meta("format");
      if (format != 0 && format != kFormatVersion) {
        throw StoreException{FailureKind::rejected, path + " is of another version's format"};
      }
      set_meta("format", kFormatVersion);
      drop_leases_of_earlier_boots();
      execute_sql("COMMIT");
    } catch (const StoreException&) {
      close();
      throw;
    }
  }
  // Leases are timed by the boot clock, so those from before a reboot of the machine are invalid.
  void drop_leases_of_earlier_boots() {
    const std::string boot = boot_id();
    Statement query(*this, "SELECT value FROM meta WHERE name = ?");
    if (query.bind(std::string("boot")).step() && query.text(0) == boot) return;
    execute_sql("DELETE FROM lease");
    execute_sql("DELETE FROM entry WHERE lease != 0");
    (void)next_revision();
    Statement(*this, "INSERT OR REPLACE INTO meta VALUES (?, ?)")
        .bind(std::string("boot"))
        .bind(boot)
        .execute();
  }
  void expire_leases() {
    std::vector<LeaseId> expired;
    {
      Statement query(*this, "SELECT id FROM lease WHERE until <= ?");
      query.bind(boot_time().count());
      while (query.step()) expired.push_back(LeaseId(query.integer(0)));
    }
    for (const LeaseId lease : expired) end_lease(lease);
  }
  void close() {
    sqlite3_close_v2(database_);
    database_ = nullptr;
  }

  StoreFiles files_;
  sqlite3* database_ = nullptr;
};

class SqliteStore::FileWatch : public Watch {
 public:
  FileWatch(std::shared_ptr<std::set<FileWatch*>> all, std::function<void()> on_change)
      : changed(std::move(on_change)), registry_(std::move(all)) {
    registry_->insert(this);
  }
  ~FileWatch() override { registry_->erase(this); }
  std::function<void()> changed;

 private:
  std::shared_ptr<std::set<FileWatch*>> registry_;
};

// ---- The store, used on the event loop ----

SqliteStore::SqliteStore(std::string path, Post post)
    : path_(std::move(path)),
      post_(std::move(post)),
      watches_(std::make_shared<std::set<FileWatch*>>()),
      thread_([this] { run_worker(); }) {}

SqliteStore::~SqliteStore() {
  *alive_ = false;
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wakeup_.notify_all();
  thread_.join();
}

void SqliteStore::post_to_loop(std::function<void()> run) {
  post_([alive = alive_, run = std::move(run)] {
    if (*alive) run();
  });
}

bool SqliteStore::enqueue(Job job) {
  {
    const std::lock_guard lock(mutex_);
    if (jobs_.size() >= kMaxQueuedJobs) return false;
    jobs_.push_back(std::move(job));
  }
  wakeup_.notify_all();
  return true;
}

void SqliteStore::run_worker() {
  File file(path_);
  std::unique_lock lock(mutex_);
  std::int64_t last_version = -1;
  Revision announced = 0;
  while (!stopping_) {
    if (jobs_.empty()) {
      if (!watched_) {
        wakeup_.wait(lock);
        continue;
      }
      wakeup_.wait_for(lock, kPollInterval);
    }
    std::deque<Job> batch;
    batch.swap(jobs_);
    const bool watched = watched_;
    lock.unlock();
    for (const Job& job : batch) job(file);
    if (watched) {
      try {
        const std::int64_t current = file.data_version();
        // Commits of this connection do not change the data version. Lease renewals do not change the
        // revision, so the revision decides: otherwise each of n members would wake all others with every
        // renewal.
        if (current >= 0 && (!batch.empty() || current != last_version)) {
          const Revision revision = file.revision();
          if (std::exchange(announced, revision) != revision) {
            post_to_loop([watches = watches_] {
              const std::set<FileWatch*> all = *watches;
              for (FileWatch* watch : all) {
                if (watches->contains(watch)) watch->changed();
              }
            });
          }
        }
        last_version = current;
      } catch (const StoreException&) {
        // The next call meets the same failure and reports it.
      }
    }
    lock.lock();
  }
}

void SqliteStore::transact(Transaction transaction, std::function<void(Result)> done) {
  const auto shared = std::make_shared<std::function<void(Result)>>(std::move(done));
  const bool queued = enqueue([this, t = std::move(transaction), shared](File& file) {
    Result result;
    try {
      file.run_transaction([&] {
        result = {};
        result.applied = true;
        for (const Compare& compare : t.conditions) {
          File::Statement query(file, "SELECT modified FROM entry WHERE key = ?");
          const Revision actual = query.bind(compare.key).step() ? Revision(query.integer(0)) : 0;
          if (actual != compare.modified) result.applied = false;
        }
        for (const Write& write : t.writes) {
          const auto* put = std::get_if<Put>(&write);
          if (put != nullptr && put->lease != 0 && !file.has_lease(put->lease)) result.applied = false;
        }
        if (result.applied && !t.writes.empty()) {
          const auto revision = std::int64_t(file.next_revision());
          for (const Write& write : t.writes) {
            if (const auto* put = std::get_if<Put>(&write)) {
              File::Statement(file,
                              "INSERT INTO entry VALUES (?1, ?2, ?3, ?3, ?4) ON CONFLICT(key) DO UPDATE SET"
                              " value = ?2, modified = ?3, lease = ?4")
                  .bind(put->key)
                  .bind(put->value)
                  .bind(revision)
                  .bind(std::int64_t(put->lease))
                  .execute();
            } else {
              File::Statement(file, "DELETE FROM entry WHERE key = ?")
                  .bind(std::get<Erase>(write).key)
                  .execute();
            }
          }
        }
        for (const std::string& prefix : t.read_prefixes) {
          File::Statement query(
              file, "SELECT key, value, created, modified, lease FROM entry WHERE key >= ? ORDER BY key");
          query.bind(prefix);
          while (query.step()) {
            Entry entry{query.text(0), query.text(1), Revision(query.integer(2)), Revision(query.integer(3)),
                        LeaseId(query.integer(4))};
            if (!entry.key.starts_with(prefix)) break;
            result.entries.push_back(std::move(entry));
          }
        }
        result.revision = file.revision();
      });
    } catch (const StoreException& exception) {
      result = {};
      result.failure = exception.failure;
      result.message = exception.message;
    }
    post_to_loop([shared, result = std::move(result)] { (*shared)(result); });
  });
  if (!queued) {
    Result rejected_call;
    rejected_call.failure = FailureKind::not_applied;
    rejected_call.message = "too many calls wait for the disk";
    post_([shared, rejected_call] { (*shared)(rejected_call); });
  }
}

namespace {

// Runs a lease operation in a transaction and returns its result.
template <typename File, typename Body>
LeaseResult run_lease_operation(File& file, Body body) {
  LeaseResult result;
  try {
    file.run_transaction([&] {
      result = {};
      body(result);
      result.revision = file.revision();
    });
  } catch (const StoreException& exception) {
    result = {};
    result.failure = exception.failure;
    result.message = exception.message;
  }
  return result;
}

void no_such_lease(LeaseResult& result) {
  result.failure = FailureKind::rejected;
  result.message = "no such lease any more";
}

}  // namespace

void SqliteStore::grant(Duration time_to_live, std::function<void(LeaseResult)> done) {
  const auto shared = std::make_shared<std::function<void(LeaseResult)>>(std::move(done));
  enqueue([this, time_to_live, shared](File& file) {
    const LeaseResult result = run_lease_operation(file, [&](LeaseResult& r) {
      const std::int64_t id = file.meta("lease") + 1;
      file.set_meta("lease", id);
      typename File::Statement(file, "INSERT INTO lease VALUES (?, ?, ?)")
          .bind(id)
          .bind(time_to_live.count())
          .bind((boot_time() + time_to_live).count())
          .execute();
      r.lease = LeaseId(id);
    });
    post_to_loop([shared, result] { (*shared)(result); });
  });
}

void SqliteStore::keep_alive(LeaseId lease, std::function<void(LeaseResult)> done) {
  const auto shared = std::make_shared<std::function<void(LeaseResult)>>(std::move(done));
  enqueue([this, lease, shared](File& file) {
    const LeaseResult result = run_lease_operation(file, [&](LeaseResult& r) {
      r.lease = lease;
      if (!file.has_lease(lease)) return no_such_lease(r);
      File::Statement(file, "UPDATE lease SET until = ? + time_to_live WHERE id = ?")
          .bind(boot_time().count())
          .bind(std::int64_t(lease))
          .execute();
    });
    post_to_loop([shared, result] { (*shared)(result); });
  });
}

void SqliteStore::revoke(LeaseId lease, std::function<void(LeaseResult)> done) {
  const auto shared = std::make_shared<std::function<void(LeaseResult)>>(std::move(done));
  enqueue([this, lease, shared](File& file) {
    const LeaseResult result = run_lease_operation(file, [&](LeaseResult& r) {
      r.lease = lease;
      if (!file.has_lease(lease)) return no_such_lease(r);
      file.end_lease(lease);
    });
    post_to_loop([shared, result] { (*shared)(result); });
  });
}

std::unique_ptr<Watch> SqliteStore::watch(std::string /*prefix*/, std::function<void()> changed) {
  {
    const std::lock_guard lock(mutex_);
    watched_ = true;
  }
  wakeup_.notify_all();
  return std::make_unique<FileWatch>(watches_, std::move(changed));
}

}  // namespace bankmux::coordination
