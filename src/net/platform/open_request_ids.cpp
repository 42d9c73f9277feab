#include "net/platform/open_request_ids.hpp"

#include <utility>

namespace bankmux::net {

void OpenRequestIds::share_with_processes(RequestIdLocks locks, std::function<void()> receive_handed_over) {
  locks_.emplace(std::move(locks));
  receive_handed_over_ = std::move(receive_handed_over);
}

bool OpenRequestIds::reserve(const std::string& id) {
  if (ids_.contains(id)) return false;
  if (locks_ && !locks_->reserve(id)) return false;
  // The lock may be free because its process has handed the stream over and ended. Its message was sent
  // before.
  if (receive_handed_over_) receive_handed_over_();
  return ids_.insert(id).second;
}

bool OpenRequestIds::take_over(const std::string& id) {
  if (!ids_.insert(id).second) return false;
  // The process before offers the id, or has ended; the stream runs whatever a third one has reserved.
  if (locks_) static_cast<void>(locks_->share(id));
  return true;
}

void OpenRequestIds::offer(const std::string& id) {
  if (locks_) static_cast<void>(locks_->share(id));
}

void OpenRequestIds::release(const std::string& id) {
  ids_.erase(id);
  if (locks_) locks_->release(id);
}

}  // namespace bankmux::net
