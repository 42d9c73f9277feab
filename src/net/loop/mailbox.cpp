#include "net/loop/mailbox.hpp"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>
#include <stdexcept>
#include <utility>

namespace bankmux::net {

Mailbox::Mailbox(Loop& loop) : descriptor_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (descriptor_ < 0) throw std::runtime_error("cannot create an eventfd for the mailbox");
  readable_event_.reset(event_new(
      loop.base(), descriptor_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<Mailbox*>(self)->run_posted(); }, this));
  if (!readable_event_ || event_add(readable_event_.get(), nullptr) != 0) {
    ::close(descriptor_);
    throw std::runtime_error("cannot create an event for the mailbox");
  }
}

Mailbox::~Mailbox() {
  readable_event_.reset();
  ::close(descriptor_);
}

void Mailbox::post(std::function<void()> run) {
  const std::lock_guard lock(mutex_);
  posted_.push_back(std::move(run));
  const std::uint64_t one = 1;
  // Fails only when the counter is full, that is, when it is already readable.
  (void)!::write(descriptor_, &one, sizeof one);
}

void Mailbox::run_posted() {
  std::uint64_t count = 0;
  (void)!::read(descriptor_, &count, sizeof count);
  std::vector<std::function<void()>> now;
  {
    const std::lock_guard lock(mutex_);
    now.swap(posted_);
  }
  for (const auto& run : now) run_guarded("mailbox", run);
}

}  // namespace bankmux::net
