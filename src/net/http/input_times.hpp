// When the buffered input of a connection came, so that a request that waits behind another one has its age.
// Pure.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "core/ports.hpp"

namespace bankmux::net {

class InputTimes {
 public:
  // `buffered_bytes` wait now, the last of which came at `time`.
  void add(std::size_t buffered_bytes, core::Time time);
  // Removes the first bytes. Returns when the last of these came, or a little earlier; empty if it is not
  // among those added.
  std::optional<core::Time> consume(std::size_t bytes);
  void clear() { reads_.clear(); }

 private:
  struct Read {
    std::size_t end;  // bytes up to the last one of this read
    core::Time time;
  };
  std::vector<Read> reads_;
};

}  // namespace bankmux::net
