// LRU table of the prefixes that an instance is expected to have cached, from key to length in tokens. A
// container only; the decisions that use it are in src/router.
#pragma once

#include <list>
#include <unordered_map>
#include <utility>

#include "eiderarch/router.hpp"

namespace eiderarch {

constexpr std::size_t kMaxPrefixes = 2000;  // keys per instance; some minutes of one front's sessions

class PrefixTable {
 public:
  // Ignores key 0 and lengths below 1.
  void put(Key key, Tokens length) {
    if (key == 0 || length <= 0) return;
    const auto it = index_.find(key);
    if (it != index_.end()) order_.erase(it->second);
    order_.emplace_front(key, length);
    index_[key] = order_.begin();
    if (index_.size() <= kMaxPrefixes) return;
    index_.erase(order_.back().first);
    order_.pop_back();
  }
  // Length for the key, 0 if unknown. Does not count as a use.
  [[nodiscard]] Tokens find(Key key) const {
    const auto it = key == 0 ? index_.end() : index_.find(key);
    return it == index_.end() ? 0 : it->second->second;
  }

 private:
  std::list<std::pair<Key, Tokens>> order_;
  std::unordered_map<Key, std::list<std::pair<Key, Tokens>>::iterator> index_;  // never iterated
};

}  // namespace eiderarch
