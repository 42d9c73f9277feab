// Brings work of other threads onto the loop: the one door between them.
#pragma once

#include <functional>
#include <mutex>
#include <vector>

#include "net/loop/loop.hpp"

namespace bankmux::net {

class Mailbox {
 public:
  // Throws std::runtime_error where the system gives no descriptor.
  explicit Mailbox(Loop& loop);
  ~Mailbox();
  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  // From any thread; runs on the loop, in order. What has not run by the mailbox's end never does.
  void post(std::function<void()> run);

 private:
  void open();

  int descriptor_;
  EventPtr readable_;
  std::mutex mutex_;
  std::vector<std::function<void()>> waiting_;
};

}  // namespace bankmux::net
