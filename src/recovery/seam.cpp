#include "recovery/seam.hpp"

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
  return locate_join(false);
}

std::string ContinuationSplicer::finish() { return state_ == State::undecided ? locate_join(true) : ""; }

std::string ContinuationSplicer::fail(const char* reason) {
  state_ = State::failed;
  reason_ = reason;
  return "";
}

// Finds where the continuation begins in the withheld text. `at_end`: no more text will come.
std::string ContinuationSplicer::locate_join(bool at_end) {
  if (join_found_) return join(join_offset_, at_end);
  const std::string_view earlier = written_, continued = withheld_;
  if (earlier.empty()) return join(0, at_end);
  const std::size_t from_start = common_prefix_length(earlier, continued);
  if (from_start == earlier.size()) {
    if (earlier.size() >= kMinCertainMatch) return join(earlier.size(), at_end);
    return fail("it may have begun anew: the text so far is too short to tell");
  }
  // So far the new text equals the beginning of the answer; the next character may differ.
  if (from_start == continued.size() && !at_end) return "";
  if (from_start >= kMinSuspectMatch) return fail("the box began anew");
  // Find the tails of the answer that the new text begins with, or may still turn out to begin with.
  std::size_t longest_match = 0;
  int matches = 0;
  for (std::size_t at = earlier.size() - std::min(earlier.size(), kMaxLookBack);
       at + kMinSuspectMatch <= earlier.size(); ++at) {
    if (is_continuation_byte(earlier[at])) continue;
    const std::string_view tail = earlier.substr(at);
    const std::size_t matched = common_prefix_length(tail, continued);
    if (matched == tail.size()) {
      ++matches;
      longest_match = std::max(longest_match, matched);
    } else if (matched == continued.size()) {
      if (!at_end) return "";
      // The text ends inside a possible repetition, so it is neither certainly repeated nor certainly new.
      if (matched >= kMinSuspectMatch) return fail("its words can't be told from a repetition");
    }
  }
  if (matches == 0) return join(0, at_end);
  if (matches > 1 || longest_match < kMinCertainMatch)
    return fail("its words can't be told from a repetition");
  return join(longest_match, at_end);
}

// The new text begins after `repeated` bytes. Nothing is released before stop strings that span the join are
// ruled out.
std::string ContinuationSplicer::join(std::size_t repeated, bool at_end) {
  join_found_ = true;
  join_offset_ = repeated;
  const std::string_view new_text = std::string_view(withheld_).substr(repeated);
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
