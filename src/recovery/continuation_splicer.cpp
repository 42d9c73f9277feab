#include "recovery/continuation_splicer.hpp"

#include <algorithm>
#include <utility>

namespace bankmux::recovery {

namespace {

std::size_t common_prefix_length(std::string_view a, std::string_view b) {
  return std::size_t(std::ranges::mismatch(a, b).in1 - a.begin());
}

bool is_continuation_byte(char c) { return (static_cast<unsigned char>(c) & 0xC0) == 0x80; }

}  // namespace

ContinuationSplicer::ContinuationSplicer(std::string written, std::vector<std::string> stops)
    : written_(std::move(written)), stops_(std::move(stops)) {}

std::string ContinuationSplicer::feed(std::string_view text) {
  if (state_ == State::joined) return std::string(text);
  if (state_ != State::undecided) return "";
  withheld_ += text;
  return decide(false);
}

std::string ContinuationSplicer::finish() { return state_ == State::undecided ? decide(true) : ""; }

std::string ContinuationSplicer::fail(const char* reason) {
  state_ = State::failed;
  reason_ = reason;
  return "";
}

// Decides whether the withheld text continues the answer. `at_end`: no more text will come.
std::string ContinuationSplicer::decide(bool at_end) {
  if (continues_) return release(at_end);
  switch (compare_with_written(at_end)) {
    case Comparison::undecided:
      return "";
    case Comparison::begins_anew:
      return fail("the box began anew");
    case Comparison::may_repeat:
      return fail("its words can't be told from a repetition");
    case Comparison::continues:
      break;
  }
  continues_ = true;
  return release(at_end);
}

ContinuationSplicer::Comparison ContinuationSplicer::compare_with_written(bool at_end) const {
  const std::string_view earlier = written_, continued = withheld_;
  if (earlier.empty()) return Comparison::continues;
  const std::size_t from_start = common_prefix_length(earlier, continued);
  if (from_start == earlier.size()) return Comparison::may_repeat;
  // So far the new text equals the beginning of the answer; the next character may differ.
  if (from_start == continued.size() && !at_end) return Comparison::undecided;
  if (from_start >= kMinSuspectMatch) return Comparison::begins_anew;
  return compare_with_tails(at_end);
}

// Compares with the tails of the answer that the new text begins with, or may still turn out to begin with.
ContinuationSplicer::Comparison ContinuationSplicer::compare_with_tails(bool at_end) const {
  const std::string_view earlier = written_, continued = withheld_;
  bool undecided = false;
  for (std::size_t at = earlier.size() - std::min(earlier.size(), kMaxLookBack);
       at + kMinSuspectMatch <= earlier.size(); ++at) {
    if (is_continuation_byte(earlier[at])) continue;
    const std::string_view tail = earlier.substr(at);
    const std::size_t matched = common_prefix_length(tail, continued);
    if (matched == tail.size()) return Comparison::may_repeat;
    if (matched < continued.size()) continue;
    // The new text ends inside a possible repetition.
    if (at_end && matched >= kMinSuspectMatch) return Comparison::may_repeat;
    undecided |= !at_end;
  }
  return undecided ? Comparison::undecided : Comparison::continues;
}

// Releases the new text once stop strings that span the join are ruled out.
std::string ContinuationSplicer::release(bool at_end) {
  const std::string_view new_text = withheld_;
  bool undecided = false;
  std::size_t stop_offset = std::string::npos;
  for (const std::string& stop : stops_) {
    for (std::size_t stop_part = 1; stop_part < stop.size() && stop_part <= written_.size(); ++stop_part) {
      if (!std::string_view(written_).ends_with(std::string_view(stop).substr(0, stop_part))) continue;
      const std::string_view rest = std::string_view(stop).substr(stop_part);
      if (new_text.starts_with(rest)) stop_offset = 0;
      undecided |= new_text.size() < rest.size() && rest.starts_with(new_text);
    }
  }
  if (stop_offset == 0) {
    state_ = State::stopped;
    return "";
  }
  if (undecided && !at_end) return "";
  state_ = State::joined;
  return std::string(new_text);
}

}  // namespace bankmux::recovery
