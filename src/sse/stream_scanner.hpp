// Inspects a stream of server-sent events as it is relayed: cached tokens, load reports, errors and the end
// of the answer. Does not modify the stream.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "eiderarch/router.hpp"
#include "sse/event_splitter.hpp"

namespace bankmux::sse {

class StreamScanner {
 public:
  // Memory of a finished choice: a node of a set.
  static constexpr std::size_t kFinishedChoiceBytes = 48;
  // State between two calls of feed(), from which another scanner can continue, for example in the process
  // that takes the stream over.
  struct State {
    std::string line, data;
    int data_lines = 0;
    bool skip = false, after_cr = false, failed = false;
    bool done = false, at_start = false, event_too_long = false, may_end_answer = false;
    std::set<std::int64_t> finished_choices;
  };
  // `choices`: how many choices the answer has in all.
  explicit StreamScanner(std::int64_t choices = 1) : choices_(choices) { state_.at_start = true; }
  explicit StreamScanner(State state) : state_(std::move(state)) {}
  [[nodiscard]] const State& state() const { return state_; }

  void feed(std::string_view bytes);
  // Memory in bytes that an incomplete line, the current event and the record of finished choices take.
  [[nodiscard]] std::size_t held_bytes() const {
    return allocated_bytes(state_.line) + allocated_bytes(state_.data) +
           state_.finished_choices.size() * kFinishedChoiceBytes;
  }
  // Prompt tokens that the instance's KV cache already held, as reported in the usage; 0: none reported.
  [[nodiscard]] eiderarch::Tokens reported_cached_tokens() const { return reported_cached_tokens_; }
  // The last load report, which instances send as a comment line; empty if there was none.
  [[nodiscard]] const eiderarch::LoadReport& report() const { return report_; }
  // An error event was seen: the answer is incomplete, however its stream ends.
  [[nodiscard]] bool failed() const { return state_.failed; }
  // Each choice has a `finish_reason`, or an event that ends the answer was seen.
  [[nodiscard]] bool finished() const {
    return state_.done || std::int64_t(state_.finished_choices.size()) >= choices_;
  }
  // `[DONE]`, or the last event of a response, was seen as a complete event: the answer has no further
  // events.
  [[nodiscard]] bool done() const { return state_.done; }

 private:
  void scan_line(std::string_view text);
  void add_data_line(std::string_view text);
  void end_event();
  // Notes a usage or an error; returns whether the text, as a complete event, may end the answer or a choice.
  bool inspect_data(std::string_view text);
  void note_end(std::string_view text);
  void note_finished_choices(const nlohmann::json& event);
  std::int64_t choices_ = 1;
  State state_;
  eiderarch::Tokens reported_cached_tokens_ = 0;
  eiderarch::LoadReport report_;
};

// The number of cached tokens in a body like {"cached_tokens":4096} or in a usage object; 0 if there is none,
// nullopt if the text is not a JSON object or reports an error.
std::optional<eiderarch::Tokens> cached_tokens(std::string_view json);

// Parses a report such as "inflight=7,queue=2,util=0.61"; unknown or malformed fields are ignored.
eiderarch::LoadReport parse_report(std::string_view text);

}  // namespace bankmux::sse
