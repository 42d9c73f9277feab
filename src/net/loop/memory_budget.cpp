#include "net/loop/memory_budget.hpp"

namespace bankmux::net {

void MemoryBudget::Account::set(std::size_t held, std::size_t can_give_up, core::Time last_input) {
  budget_.held_ += held;
  budget_.held_ -= held_;
  held_ = held;
  last_input_ = last_input;
  if ((can_give_up > 0) != (can_give_up_ > 0)) {
    if (can_give_up > 0) {
      budget_.accounts_.insert(this);
    } else {
      budget_.accounts_.erase(this);
    }
  }
  can_give_up_ = can_give_up;
}

void MemoryBudget::enforce() {
  while (held_ > limit_) {
    Account* const account = stalest();
    if (account == nullptr) return;
    // Counted here as well, so that each account is asked once.
    account->set(account->held_ - account->can_give_up_, 0, account->last_input_);
    account->give_up_();
  }
}

// Of the accounts that can give up at least half of the mean, the one that has received nothing for the
// longest time. This spares small holders, and large ones that are still receiving.
MemoryBudget::Account* MemoryBudget::stalest() const {
  std::size_t total = 0;
  for (const Account* account : accounts_) total += account->can_give_up_;
  Account* stalest = nullptr;
  for (Account* account : accounts_) {
    if (account->can_give_up_ * accounts_.size() * 2 < total) continue;
    if (stalest == nullptr || account->last_input_ < stalest->last_input_) stalest = account;
  }
  return stalest;
}

}  // namespace bankmux::net
