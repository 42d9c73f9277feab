// What a server is believed to keep, by what was sent there: key to length, bounded, least recently used out
// first. A container and nothing more; what follows from it is decided in src/router.
#pragma once

#include <list>
#include <unordered_map>
#include <utility>

#include "eiderarch/router.hpp"

namespace eiderarch {

constexpr std::size_t kTableKeys = 2000;  // keys a server; some minutes of one front's sessions

class PrefixTable {
 public:
  // Key 0 and lengths below 1 are not kept.
  void put(Key key, Tokens length) {
    if (key == 0 || length <= 0) return;
    const auto it = index_.find(key);
    if (it != index_.end()) order_.erase(it->second);
    order_.emplace_front(key, length);
    index_[key] = order_.begin();
    if (index_.size() <= kTableKeys) return;
    index_.erase(order_.back().first);
    order_.pop_back();
  }
  // 0 where nothing is known of the key. Does not count as a use.
  [[nodiscard]] Tokens find(Key key) const {
    const auto it = key == 0 ? index_.end() : index_.find(key);
    return it == index_.end() ? 0 : it->second->second;
  }

 private:
  std::list<std::pair<Key, Tokens>> order_;
  std::unordered_map<Key, std::list<std::pair<Key, Tokens>>::iterator> index_;  // never iterated
};

}  // namespace eiderarch
