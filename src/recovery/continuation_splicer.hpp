// Joins the text of a continued answer to the text that the first instance wrote. The second instance is
// asked to continue from the last byte; one that cannot may repeat the last words or start over. A repetition
// and a text that really repeats itself, such as a list with equal lines, look the same. So the new text is
// either passed on unchanged, or rejected if it may be a repetition; nothing is ever removed from it. The
// rule and its reasons are in docs/recovery-design.md. No I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace bankmux::recovery {

constexpr std::size_t kMinSuspectMatch = 8;     // bytes; a shorter match is taken for chance
constexpr std::size_t kMaxLookBack = 4 * 1024;  // bytes; how far back a repetition may begin

class ContinuationSplicer {
 public:
  // `written`: all text that the client has received. `stops`: the request's stop strings.
  ContinuationSplicer(std::string written, std::vector<std::string> stops);

  // `stopped`: a stop string spans the join, so the answer ends there. `failed`: the texts cannot be joined.
  enum class State { undecided, joined, stopped, failed };
  // Takes text of the second instance and returns what goes to the client; empty while undecided.
  std::string feed(std::string_view text);
  // The text is complete: returns what was withheld, if it can be joined.
  std::string finish();
  // The second instance's output cannot be joined for a reason outside its text.
  void reject(const char* reason) { (void)fail(reason); }
  [[nodiscard]] State state() const { return state_; }
  // Why it failed, for the log.
  [[nodiscard]] const char* reason() const { return reason_; }

 private:
  // How the withheld text relates to the written one.
  enum class Comparison { undecided, continues, begins_anew, may_repeat };

  std::string decide(bool at_end);
  [[nodiscard]] Comparison compare_with_written(bool at_end) const;
  [[nodiscard]] Comparison compare_with_tails(bool at_end) const;
  std::string release(bool at_end);
  std::string fail(const char* reason);

  std::string written_;
  std::vector<std::string> stops_;
  std::string withheld_;
  bool continues_ = false;  // decided; a stop string may still be undecided
  State state_ = State::undecided;
  const char* reason_ = "";
};

}  // namespace bankmux::recovery
