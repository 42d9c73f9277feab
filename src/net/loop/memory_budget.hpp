// A limit on the memory that many holders take together, such as all clients' unfinished requests. Above the
// limit, those that hold much and have fallen silent give up what they hold.
#pragma once

#include <cstddef>
#include <functional>
#include <set>

#include "core/ports.hpp"

namespace bankmux::net {

class MemoryBudget {
 public:
  class Account;

  // `limit`: in bytes, of all accounts together.
  explicit MemoryBudget(std::size_t limit) : limit_(limit) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  [[nodiscard]] std::size_t held() const { return held_; }
  [[nodiscard]] bool has_room_for(std::size_t bytes) const { return held_ + bytes <= limit_; }
  // While more than the limit is held, lets accounts give up what they can. To be called after accounts have
  // grown, and where any of them may do so.
  void enforce();

 private:
  [[nodiscard]] Account* stalest() const;

  std::size_t limit_;
  std::size_t held_ = 0;
  std::set<Account*> accounts_;  // those that hold something they can give up
};

// What one holder holds of a budget, until it is destroyed.
class MemoryBudget::Account {
 public:
  // `give_up` frees the memory that can be given up. It is called by enforce(), and must not destroy any
  // account.
  Account(MemoryBudget& budget, std::function<void()> give_up)
      : budget_(budget), give_up_(std::move(give_up)) {}
  ~Account() { set(0, 0, core::Time{0}); }
  Account(const Account&) = delete;
  Account& operator=(const Account&) = delete;

  // Replaces the figures: all bytes held, those among them that can be given up, and when the holder last
  // received some.
  void set(std::size_t held, std::size_t can_give_up, core::Time last_input);
  [[nodiscard]] std::size_t held() const { return held_; }

 private:
  friend class MemoryBudget;
  MemoryBudget& budget_;
  std::function<void()> give_up_;
  std::size_t held_ = 0, can_give_up_ = 0;
  core::Time last_input_{0};
};

}  // namespace bankmux::net
