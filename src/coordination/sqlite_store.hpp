// The store for several processes of one machine: an SQLite file (write-ahead log, immediate transactions) in
// the operator's state folder. A thread of its own does all that may wait for the disk or another process.
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
  // `post` brings work onto the caller's loop, from any thread. The file is opened with the first call; one
  // that can't be is a fault of that call, and is tried again with the next.
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
  // Runs on the thread, with the file open, or with the fault of opening it.
  using Job = std::function<void(File&)>;
  bool enqueue(Job job);
  void work();
  void look_for_changes(File& file);
  void answer(std::function<void()> run);

  std::string path_;
  Post post_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // on the loop
  std::shared_ptr<std::set<FileWatch*>> watches_;               // on the loop
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Job> jobs_;
  bool ending_ = false, watched_ = false;
  std::thread thread_;
};

// Time by the clock that all processes of a machine share and that runs while it sleeps.
[[nodiscard]] Duration boot_time();

}  // namespace bankmux::coordination
