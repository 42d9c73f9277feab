#include "coordination/sqlite_store.hpp"

#include <sqlite3.h>
#include <sys/stat.h>
#include <time.h>

#include <chrono>
#include <fstream>
#include <utility>

namespace bankmux::coordination {

namespace {

constexpr int kFormat = 1;
constexpr int kBusyMs = 500;              // another process holds the file for a write's fsync at most
constexpr std::size_t kMostJobs = 1'000;  // waiting; past that the disk is not keeping up
constexpr std::chrono::milliseconds kLookEvery{50};  // for changes by other processes

constexpr const char* kSchema =
    "CREATE TABLE IF NOT EXISTS meta(name TEXT PRIMARY KEY, value) WITHOUT ROWID;"
    "CREATE TABLE IF NOT EXISTS entry(key TEXT PRIMARY KEY, value BLOB, created INTEGER, modified INTEGER,"
    " lease INTEGER) WITHOUT ROWID;"
    "CREATE INDEX IF NOT EXISTS entry_by_lease ON entry(lease) WHERE lease != 0;"
    "CREATE TABLE IF NOT EXISTS lease(id INTEGER PRIMARY KEY, time_to_live INTEGER, until INTEGER);";

// A call that could not be done, by what may have become of it.
struct Failure {
  Fault fault;
  std::string words;
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

// ---- The file, on the thread ----

class SqliteStore::File {
 public:
  explicit File(const std::string& path) : path_(path) {}
  ~File() { close(); }
  File(const File&) = delete;
  File& operator=(const File&) = delete;

  // One transaction: `body` within it, committed at its end. Throws Failure.
  template <typename Body>
  void commit(Body body) {
    open();
    run("BEGIN IMMEDIATE");
    try {
      expire();
      body();
    } catch (const Failure&) {
      sqlite3_exec(database_, "ROLLBACK", nullptr, nullptr, nullptr);
      throw;
    }
    const int code = sqlite3_exec(database_, "COMMIT", nullptr, nullptr, nullptr);
    if (code == SQLITE_OK) return;
    const std::string words = sqlite3_errmsg(database_);
    const bool undone = sqlite3_exec(database_, "ROLLBACK", nullptr, nullptr, nullptr) == SQLITE_OK;
    // Of a commit that failed otherwise, the disk alone knows what it has kept.
    throw Failure{code == SQLITE_BUSY && undone ? Fault::not_done : Fault::may_be_done, words};
  }

  class Statement {
   public:
    Statement(File& file, const char* sql) : file_(file) {
      if (sqlite3_prepare_v2(file.database_, sql, -1, &statement_, nullptr) != SQLITE_OK) file.fail();
    }
    ~Statement() { sqlite3_finalize(statement_); }
    Statement(const Statement&) = delete;
    Statement& operator=(const Statement&) = delete;
    Statement& with(std::int64_t value) {
      sqlite3_bind_int64(statement_, ++bound_, value);
      return *this;
    }
    Statement& with(const std::string& text) {
      sqlite3_bind_blob(statement_, ++bound_, text.data(), int(text.size()), SQLITE_TRANSIENT);
      return *this;
    }
    bool row() {
      const int code = sqlite3_step(statement_);
      if (code != SQLITE_ROW && code != SQLITE_DONE) file_.fail();
      return code == SQLITE_ROW;
    }
    void done() {
      while (row()) {
      }
    }
    [[nodiscard]] std::int64_t whole(int column) const { return sqlite3_column_int64(statement_, column); }
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
    Statement ask(*this, "SELECT value FROM meta WHERE name = ?");
    return ask.with(std::string(name)).row() ? ask.whole(0) : 0;
  }
  void set_meta(const char* name, std::int64_t value) {
    Statement(*this, "INSERT OR REPLACE INTO meta VALUES (?, ?)").with(std::string(name)).with(value).done();
  }
  Revision revision() { return Revision(meta("revision")); }
  Revision next_revision() {
    const Revision next = revision() + 1;
    set_meta("revision", std::int64_t(next));
    return next;
  }
  bool has_lease(LeaseId lease) {
    Statement ask(*this, "SELECT 1 FROM lease WHERE id = ?");
    return ask.with(std::int64_t(lease)).row();
  }
  void end_lease(LeaseId lease) {
    Statement(*this, "DELETE FROM lease WHERE id = ?").with(std::int64_t(lease)).done();
    Statement(*this, "DELETE FROM entry WHERE lease = ?").with(std::int64_t(lease)).done();
    if (sqlite3_changes(database_) > 0) (void)next_revision();
  }
  // Changes whenever another process, or this one, has committed. -1: can't be told.
  std::int64_t version() {
    if (database_ == nullptr) return -1;
    Statement ask(*this, "PRAGMA data_version");
    return ask.row() ? ask.whole(0) : -1;
  }

 private:
  [[noreturn]] void fail() {
    const int code = sqlite3_errcode(database_);
    const std::string words = sqlite3_errmsg(database_);
    const bool lasting = code == SQLITE_CORRUPT || code == SQLITE_NOTADB || code == SQLITE_READONLY ||
                         code == SQLITE_PERM || code == SQLITE_AUTH;
    throw Failure{lasting ? Fault::refused : Fault::not_done, words};
  }
  void run(const char* sql) {
    if (sqlite3_exec(database_, sql, nullptr, nullptr, nullptr) != SQLITE_OK) fail();
  }
  void open() {
    if (database_ != nullptr) return;
    const mode_t mask = ::umask(0077);  // of the operator alone
    const int code =
        sqlite3_open_v2(path_.c_str(), &database_, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, nullptr);
    ::umask(mask);
    if (code != SQLITE_OK) {
      const std::string words = database_ != nullptr ? sqlite3_errmsg(database_) : "no memory";
      close();
      throw Failure{Fault::not_done, words + ": " + path_};
    }
    try {
      sqlite3_busy_timeout(database_, kBusyMs);
      run("PRAGMA journal_mode = WAL");
      // A token that was given must not be given again after a power cut: boxes remember it.
      run("PRAGMA synchronous = FULL");
      run("BEGIN IMMEDIATE");
      run(kSchema);
      const std::int64_t format = meta("format");
      if (format != 0 && format != kFormat) {
        throw Failure{Fault::refused, path_ + " is of another version's format"};
      }
      set_meta("format", kFormat);
      forget_other_boots();
      run("COMMIT");
    } catch (const Failure&) {
      close();
      throw;
    }
  }
  // The clock of leases began anew with the machine.
  void forget_other_boots() {
    const std::string now = boot_id();
    Statement ask(*this, "SELECT value FROM meta WHERE name = ?");
    if (ask.with(std::string("boot")).row() && ask.text(0) == now) return;
    run("DELETE FROM lease");
    run("DELETE FROM entry WHERE lease != 0");
    (void)next_revision();
    Statement(*this, "INSERT OR REPLACE INTO meta VALUES (?, ?)").with(std::string("boot")).with(now).done();
  }
  void expire() {
    std::vector<LeaseId> over;
    {
      Statement ask(*this, "SELECT id FROM lease WHERE until <= ?");
      ask.with(boot_time().count());
      while (ask.row()) over.push_back(LeaseId(ask.whole(0)));
    }
    for (const LeaseId lease : over) end_lease(lease);
  }
  void close() {
    sqlite3_close_v2(database_);
    database_ = nullptr;
  }

  std::string path_;
  sqlite3* database_ = nullptr;
};

class SqliteStore::FileWatch : public Watch {
 public:
  FileWatch(std::shared_ptr<std::set<FileWatch*>> all, std::function<void()> told)
      : changed(std::move(told)), all_(std::move(all)) {
    all_->insert(this);
  }
  ~FileWatch() override { all_->erase(this); }
  std::function<void()> changed;

 private:
  std::shared_ptr<std::set<FileWatch*>> all_;
};

// ---- The store, on the loop ----

SqliteStore::SqliteStore(std::string path, Post post)
    : path_(std::move(path)),
      post_(std::move(post)),
      watches_(std::make_shared<std::set<FileWatch*>>()),
      thread_([this] { work(); }) {}

SqliteStore::~SqliteStore() {
  *alive_ = false;
  {
    const std::lock_guard lock(mutex_);
    ending_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

void SqliteStore::answer(std::function<void()> run) {
  post_([alive = alive_, run = std::move(run)] {
    if (*alive) run();
  });
}

bool SqliteStore::enqueue(Job job) {
  {
    const std::lock_guard lock(mutex_);
    if (jobs_.size() >= kMostJobs) return false;
    jobs_.push_back(std::move(job));
  }
  changed_.notify_all();
  return true;
}

void SqliteStore::work() {
  File file(path_);
  std::unique_lock lock(mutex_);
  std::int64_t version = -1;
  Revision told = 0;
  while (!ending_) {
    if (jobs_.empty()) {
      if (!watched_) {
        changed_.wait(lock);
        continue;
      }
      changed_.wait_for(lock, kLookEvery);
    }
    std::deque<Job> now;
    now.swap(jobs_);
    const bool watched = watched_;
    lock.unlock();
    for (const Job& job : now) job(file);
    if (watched) {
      try {
        const std::int64_t seen = file.version();
        // Own commits leave the version as it is. A renewal changes nothing that anyone else reads, so the
        // revision decides: else each of n members would wake all others with each of its renewals.
        if (seen >= 0 && (!now.empty() || seen != version)) {
          const Revision revision = file.revision();
          if (std::exchange(told, revision) != revision) {
            answer([watches = watches_] {
              const std::set<FileWatch*> all = *watches;
              for (FileWatch* watch : all) {
                if (watches->contains(watch)) watch->changed();
              }
            });
          }
        }
        version = seen;
      } catch (const Failure&) {
        // Its next call meets the same fault and tells it.
      }
    }
    lock.lock();
  }
}

void SqliteStore::transact(Transaction transaction, std::function<void(Result)> done) {
  const auto shared = std::make_shared<std::function<void(Result)>>(std::move(done));
  const bool taken = enqueue([this, t = std::move(transaction), shared](File& file) {
    Result result;
    try {
      file.commit([&] {
        result = {};
        result.applied = true;
        for (const Compare& compare : t.when) {
          File::Statement ask(file, "SELECT modified FROM entry WHERE key = ?");
          const Revision there = ask.with(compare.key).row() ? Revision(ask.whole(0)) : 0;
          if (there != compare.modified) result.applied = false;
        }
        for (const Write& write : t.then) {
          const auto* put = std::get_if<Put>(&write);
          if (put != nullptr && put->lease != 0 && !file.has_lease(put->lease)) result.applied = false;
        }
        if (result.applied && !t.then.empty()) {
          const auto revision = std::int64_t(file.next_revision());
          for (const Write& write : t.then) {
            if (const auto* put = std::get_if<Put>(&write)) {
              File::Statement(file,
                              "INSERT INTO entry VALUES (?1, ?2, ?3, ?3, ?4) ON CONFLICT(key) DO UPDATE SET"
                              " value = ?2, modified = ?3, lease = ?4")
                  .with(put->key)
                  .with(put->value)
                  .with(revision)
                  .with(std::int64_t(put->lease))
                  .done();
            } else {
              File::Statement(file, "DELETE FROM entry WHERE key = ?")
                  .with(std::get<Erase>(write).key)
                  .done();
            }
          }
        }
        for (const std::string& prefix : t.read) {
          File::Statement ask(
              file, "SELECT key, value, created, modified, lease FROM entry WHERE key >= ? ORDER BY key");
          ask.with(prefix);
          while (ask.row()) {
            Entry entry{ask.text(0), ask.text(1), Revision(ask.whole(2)), Revision(ask.whole(3)),
                        LeaseId(ask.whole(4))};
            if (!entry.key.starts_with(prefix)) break;
            result.entries.push_back(std::move(entry));
          }
        }
        result.revision = file.revision();
      });
    } catch (const Failure& failure) {
      result = {};
      result.fault = failure.fault;
      result.words = failure.words;
    }
    answer([shared, result = std::move(result)] { (*shared)(result); });
  });
  if (!taken) {
    Result full;
    full.fault = Fault::not_done;
    full.words = "too many calls wait for the disk";
    post_([shared, full] { (*shared)(full); });
  }
}

namespace {

// A call on leases, and its answer.
template <typename File, typename Body>
LeaseResult on_lease(File& file, Body body) {
  LeaseResult result;
  try {
    file.commit([&] {
      result = {};
      body(result);
      result.revision = file.revision();
    });
  } catch (const Failure& failure) {
    result = {};
    result.fault = failure.fault;
    result.words = failure.words;
  }
  return result;
}

void no_such_lease(LeaseResult& result) {
  result.fault = Fault::refused;
  result.words = "no such lease any more";
}

}  // namespace

void SqliteStore::grant(Duration time_to_live, std::function<void(LeaseResult)> done) {
  const auto shared = std::make_shared<std::function<void(LeaseResult)>>(std::move(done));
  enqueue([this, time_to_live, shared](File& file) {
    const LeaseResult result = on_lease(file, [&](LeaseResult& r) {
      const std::int64_t id = file.meta("lease") + 1;
      file.set_meta("lease", id);
      typename File::Statement(file, "INSERT INTO lease VALUES (?, ?, ?)")
          .with(id)
          .with(time_to_live.count())
          .with((boot_time() + time_to_live).count())
          .done();
      r.lease = LeaseId(id);
    });
    answer([shared, result] { (*shared)(result); });
  });
}

void SqliteStore::keep_alive(LeaseId lease, std::function<void(LeaseResult)> done) {
  const auto shared = std::make_shared<std::function<void(LeaseResult)>>(std::move(done));
  enqueue([this, lease, shared](File& file) {
    const LeaseResult result = on_lease(file, [&](LeaseResult& r) {
      r.lease = lease;
      if (!file.has_lease(lease)) return no_such_lease(r);
      File::Statement(file, "UPDATE lease SET until = ? + time_to_live WHERE id = ?")
          .with(boot_time().count())
          .with(std::int64_t(lease))
          .done();
    });
    answer([shared, result] { (*shared)(result); });
  });
}

void SqliteStore::revoke(LeaseId lease, std::function<void(LeaseResult)> done) {
  const auto shared = std::make_shared<std::function<void(LeaseResult)>>(std::move(done));
  enqueue([this, lease, shared](File& file) {
    const LeaseResult result = on_lease(file, [&](LeaseResult& r) {
      r.lease = lease;
      if (!file.has_lease(lease)) return no_such_lease(r);
      file.end_lease(lease);
    });
    answer([shared, result] { (*shared)(result); });
  });
}

std::unique_ptr<Watch> SqliteStore::watch(std::string /*prefix*/, std::function<void()> changed) {
  {
    const std::lock_guard lock(mutex_);
    watched_ = true;
  }
  changed_.notify_all();
  return std::make_unique<FileWatch>(watches_, std::move(changed));
}

}  // namespace bankmux::coordination
