// Looks at a stream of events as it passes, for what the core and the fronts want to know of it. Changes
// nothing.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "eiderarch/router.hpp"

namespace bankmux::sse {

class StreamScanner {
 public:
  // What of a stream is in hand between two looks, so that another may look on.
  struct Open {
    std::string line, data;
    int data_lines = 0;
    bool skip = false, after_cr = false, failed = false;
  };
  StreamScanner() = default;
  explicit StreamScanner(Open open);
  [[nodiscard]] Open open() const { return {line_, data_, data_lines_, skip_, after_cr_, failed_}; }

  void feed(std::string_view bytes);
  [[nodiscard]] eiderarch::Tokens found() const { return found_; }
  [[nodiscard]] const eiderarch::LoadReport& report() const { return report_; }
  // An error event came by: the answer is not whole, however its stream ends.
  [[nodiscard]] bool failed() const { return failed_; }
  // A reason why the answer is finished came by: `finish_reason`, or the type of a last event.
  [[nodiscard]] bool finished() const { return finished_; }
  // `[DONE]` came by, or the last event of a response: nothing belongs to the answer after that.
  [[nodiscard]] bool done() const { return done_; }

 private:
  void line(std::string_view text);
  void data(std::string_view text);
  std::string line_;
  std::string data_;  // of the event in hand
  int data_lines_ = 0;
  bool skip_ = false;
  bool after_cr_ = false;
  bool failed_ = false, finished_ = false, done_ = false;
  eiderarch::Tokens found_ = 0;
  eiderarch::LoadReport report_;
};

// The count of kept tokens in a body like {"cached_tokens":4096} or in a usage object; 0 where there is none,
// nothing where the text is no JSON object.
std::optional<eiderarch::Tokens> cached_tokens(std::string_view json);

// "inflight=7,queue=2,util=0.61"; what is not understood is passed over.
eiderarch::LoadReport parse_report(std::string_view text);

}  // namespace bankmux::sse
