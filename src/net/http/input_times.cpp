#include "net/http/input_times.hpp"

#include <algorithm>
#include <chrono>

namespace bankmux::net {

using namespace std::chrono_literals;

namespace {

// Reads closer together count as one, with the time of the first.
constexpr core::Duration kResolution = 20ms;
constexpr std::size_t kMaxReads = 64;  // input after these counts as old as the last of them

}  // namespace

void InputTimes::add(std::size_t buffered_bytes, core::Time time) {
  if (reads_.empty()) return reads_.push_back({buffered_bytes, time});
  Read& last = reads_.back();
  if (buffered_bytes <= last.end) return;
  if (time - last.time < kResolution || reads_.size() == kMaxReads) {
    last.end = buffered_bytes;
  } else {
    reads_.push_back({buffered_bytes, time});
  }
}

std::optional<core::Time> InputTimes::consume(std::size_t bytes) {
  std::optional<core::Time> time;
  const auto read = std::ranges::find_if(reads_, [bytes](const Read& r) { return r.end >= bytes; });
  if (read != reads_.end()) time = read->time;
  std::erase_if(reads_, [bytes](const Read& r) { return r.end <= bytes; });
  for (Read& r : reads_) r.end -= bytes;
  return time;
}

}  // namespace bankmux::net
