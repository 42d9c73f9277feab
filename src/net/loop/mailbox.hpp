// Runs callbacks posted by other threads on the event loop. This is the only way for them to reach it.
#pragma once

#include <functional>
#include <mutex>
#include <vector>

#include "net/loop/loop.hpp"

namespace bankmux::net {

class Mailbox {
 public:
  // Throws std::runtime_error if no descriptor or event can be created.
  explicit Mailbox(Loop& loop);
  ~Mailbox();
  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  // Thread-safe. Callbacks run on the loop in the order posted; those pending at destruction never run.
  void post(std::function<void()> run);

 private:
  void run_posted();

  int descriptor_;
  EventPtr readable_event_;
  std::mutex mutex_;
  std::vector<std::function<void()>> posted_;
};

}  // namespace bankmux::net
