// A coroutine that serves one request, and the inbox that it waits on.
#pragma once

#include <coroutine>
#include <deque>
#include <exception>
#include <utility>

namespace bankmux::core {

// Owns a coroutine, which starts at once and stays suspended at its end until it is destroyed.
class Task {
 public:
  struct promise_type {
    std::exception_ptr failure;
    Task get_return_object() { return Task(std::coroutine_handle<promise_type>::from_promise(*this)); }
    std::suspend_never initial_suspend() noexcept { return {}; }
    std::suspend_always final_suspend() noexcept { return {}; }
    void return_void() {}
    void unhandled_exception() { failure = std::current_exception(); }
  };

  Task() = default;
  Task(Task&& other) noexcept : handle_(std::exchange(other.handle_, {})) {}
  Task& operator=(Task&& other) noexcept {
    std::swap(handle_, other.handle_);
    return *this;
  }
  ~Task() {
    if (handle_) handle_.destroy();
  }
  [[nodiscard]] bool done() const { return handle_ && handle_.done(); }
  [[nodiscard]] std::exception_ptr failure() const {
    return done() ? handle_.promise().failure : std::exception_ptr{};
  }

 private:
  explicit Task(std::coroutine_handle<promise_type> handle) : handle_(handle) {}
  std::coroutine_handle<promise_type> handle_;
};

// A queue of items for one coroutine. A push resumes the coroutine at once if it is waiting, and only queues
// the item if it is running.
template <typename T>
class Inbox {
 public:
  void push(T item) {
    items_.push_back(std::move(item));
    if (waiting_) std::exchange(waiting_, {}).resume();
  }
  auto next() {
    struct Awaiter {
      Inbox& inbox;
      [[nodiscard]] bool await_ready() const { return !inbox.items_.empty(); }
      void await_suspend(std::coroutine_handle<> handle) { inbox.waiting_ = handle; }
      T await_resume() {
        T item = std::move(inbox.items_.front());
        inbox.items_.pop_front();
        return item;
      }
    };
    return Awaiter{*this};
  }

 private:
  std::deque<T> items_;
  std::coroutine_handle<> waiting_;
};

}  // namespace bankmux::core
