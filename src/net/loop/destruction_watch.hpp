// Lets a member function notice that an event handler which it called has destroyed its object.
#pragma once

namespace bankmux::net {

// Embed one in the object.
class DestructionFlag {
 public:
  DestructionFlag() = default;
  ~DestructionFlag() {
    if (watch_ != nullptr) *watch_ = true;
  }
  DestructionFlag(const DestructionFlag&) = delete;
  DestructionFlag& operator=(const DestructionFlag&) = delete;

 private:
  friend class DestructionWatch;
  bool* watch_ = nullptr;  // of the innermost DestructionWatch
};

// Keep one on the stack around the call of the handler. Watches of one flag may nest.
class DestructionWatch {
 public:
  explicit DestructionWatch(DestructionFlag& flag) : flag_(flag), outer_(flag.watch_) {
    flag_.watch_ = &destroyed_;
  }
  ~DestructionWatch() {
    if (!destroyed_) {
      flag_.watch_ = outer_;
    } else if (outer_ != nullptr) {
      *outer_ = true;
    }
  }
  DestructionWatch(const DestructionWatch&) = delete;
  DestructionWatch& operator=(const DestructionWatch&) = delete;

  // Whether the object has been destroyed. If so, its caller must return without touching it.
  [[nodiscard]] bool destroyed() const { return destroyed_; }

 private:
  DestructionFlag& flag_;
  bool* outer_;
  bool destroyed_ = false;
};

}  // namespace bankmux::net
