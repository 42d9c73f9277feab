// Coordination store for several processes on one machine: an SQLite file (write-ahead log, immediate
// transactions) in the operator's state folder. A separate thread performs all work that may wait for the
// disk or for another process.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "coordination/store.hpp"

namespace bankmux::coordination {

class SqliteStore : public Store {
 public:
  // `post` runs a function on the caller's event loop and may be called from any thread. The file is opened
  // by the first call. If opening fails, that call fails, and the next call tries again.
  using Post = std::function<void(std::function<void()>)>;
  SqliteStore(std::string path, Post post);
  ~SqliteStore() override;
  SqliteStore(const SqliteStore&) = delete;
  SqliteStore& operator=(const SqliteStore&) = delete;

  void transact(Transaction transaction, std::function<void(Result)> done) override;
  void grant(Duration time_to_live, std::function<void(LeaseResult)> done) override;
  void keep_alive(LeaseId lease, std::function<void(LeaseResult)> done) override;
  void revoke(LeaseId lease, std::function<void(LeaseResult)> done) override;
  std::unique_ptr<Watch> watch(std::string prefix, std::function<void()> changed) override;

 private:
  class File;
  class FileWatch;
  // Runs on the worker thread and handles a failure to open the file.
  using Job = std::function<void(File&)>;
  bool enqueue(Job job);
  void run_worker();
  void look_for_changes(File& file);
  void post_to_loop(std::function<void()> run);

  std::string path_;
  Post post_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // used on the loop
  std::shared_ptr<std::set<FileWatch*>> watches_;               // used on the loop
  std::mutex mutex_;
  std::condition_variable wakeup_;
  std::deque<Job> jobs_;
  bool stopping_ = false, watched_ = false;
  std::thread thread_;
};

// Time since boot, by a clock that all processes of a machine share and that advances during suspend.
[[nodiscard]] Duration boot_time();

}  // namespace bankmux::coordination
