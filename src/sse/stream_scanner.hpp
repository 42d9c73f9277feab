// Inspects a stream of server-sent events as it is relayed: cached tokens, load reports, errors and the end
// of the answer. Does not modify the stream.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "eiderarch/router.hpp"
#include "sse/event_splitter.hpp"

namespace bankmux::sse {

class StreamScanner {
 public:
  // State between two calls of feed(), from which another scanner can continue, for example in the process
  // that takes the stream over.
  struct State {
    std::string line, data;
    int data_lines = 0;
    bool skip = false, after_cr = false, failed = false;
  };
  StreamScanner() = default;
  explicit StreamScanner(State state);
  [[nodiscard]] State state() const { return {line_, data_, data_lines_, skip_line_, after_cr_, failed_}; }

  void feed(std::string_view bytes);
  // Memory in bytes that an incomplete line and the current event take.
  [[nodiscard]] std::size_t held_bytes() const { return allocated_bytes(line_) + allocated_bytes(data_); }
  // Prompt tokens that the instance's KV cache already held, as reported in the usage; 0: none reported.
  [[nodiscard]] eiderarch::Tokens reported_cached_tokens() const { return reported_cached_tokens_; }
  // The last load report, which instances send as a comment line; empty if there was none.
  [[nodiscard]] const eiderarch::LoadReport& report() const { return report_; }
  // An error event was seen: the answer is incomplete, however its stream ends.
  [[nodiscard]] bool failed() const { return failed_; }
  // A `finish_reason`, or an event type that ends the answer, was seen.
  [[nodiscard]] bool finished() const { return finished_; }
  // `[DONE]`, or the last event of a response, was seen: the answer has no further events.
  [[nodiscard]] bool done() const { return done_; }

 private:
  void scan_line(std::string_view text);
  void scan_data(std::string_view text);
  std::string line_;
  std::string data_;  // of the current event
  int data_lines_ = 0;
  bool skip_line_ = false;
  bool after_cr_ = false;
  bool failed_ = false, finished_ = false, done_ = false;
  eiderarch::Tokens reported_cached_tokens_ = 0;
  eiderarch::LoadReport report_;
};

// The number of cached tokens in a body like {"cached_tokens":4096} or in a usage object; 0 if there is none,
// nullopt if the text is not a JSON object.
std::optional<eiderarch::Tokens> cached_tokens(std::string_view json);

// Parses a report such as "inflight=7,queue=2,util=0.61"; unknown or malformed fields are ignored.
eiderarch::LoadReport parse_report(std::string_view text);

}  // namespace bankmux::sse
