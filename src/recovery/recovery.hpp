// Recovery of a stream whose instance is lost: records the events that the client has received, decides
// whether and how another instance can continue the answer, and rewrites that instance's events as a
// continuation of the first one's. For the streams of /v1/chat/completions and /v1/completions. No I/O.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "recovery/continuation_splicer.hpp"
#include "sse/event_splitter.hpp"

namespace bankmux::recovery {

// How the instances of a model continue a partial answer: not at all, from a final assistant message, or from
// a prompt that ends with the partial answer.
enum class ContinuationMode { none, final_message, prompt };
// The endpoint whose format the events have.
enum class AnswerFormat { chat, completion };

// Events retained of one stream; a longer stream is not continued.
constexpr std::size_t kMaxRetainedBytes = 256 * 1024;

// The partial answer, as read from the retained events.
struct WrittenAnswer {
  std::string text;
  // At least so many tokens: as reported in the usage, and one for each event with text.
  std::int64_t min_tokens = 0;
  // An estimate: `min_tokens`, or one for each four bytes of text if that is more.
  std::int64_t tokens = 0;
  bool tool_calls = false, other_choices = false;
  std::set<std::int64_t> finished_choices;  // by index
  // Output that is not in `text`: a refusal, reasoning, audio, or what could not be read.
  bool other_output = false;
  // The fields that every event repeats: id, created, model and so on.
  nlohmann::json common_fields = nlohmann::json::object();
  std::optional<nlohmann::json> usage;
};
WrittenAnswer read_events(std::string_view events, AnswerFormat format);

// How many choices the answer to a request has: `n` for each of its prompts.
[[nodiscard]] std::int64_t requested_choices(const nlohmann::json& request);

// What to do with a stream whose instance is lost.
struct Continuation {
  enum class Action {
    give_up,  // it cannot be continued; `reason` says why
    finish,   // only its end was missing: send `bytes`
    resume,   // send `body` to another instance
  };
  Action action = Action::give_up;
  const char* reason = "";
  std::string bytes;
  std::string body;
  std::int64_t written_tokens = 0;    // of the answer so far
  std::int64_t remaining_tokens = 0;  // still allowed by the request's limit; 0: no limit
};

// One for each stream that may be continued.
class StreamRecovery {
 public:
  StreamRecovery(ContinuationMode mode, AnswerFormat format) : mode_(mode), format_(format) {}

  // Takes complete events of an instance and returns what goes to the client. Error events are withheld,
  // because the stream may still be recovered.
  std::string forward(std::string_view events);
  // The instance is lost. `body`: the request as sent to the first instance.
  [[nodiscard]] Continuation instance_lost(const std::string& body);
  // The error event of the last instance, to be sent if the stream is not recovered; empty: none.
  [[nodiscard]] const std::string& withheld_error() const { return withheld_error_; }
  // The second instance's text cannot be joined to the first one's: the stream must fail.
  [[nodiscard]] bool failed() const {
    return splicer_ && splicer_->state() == ContinuationSplicer::State::failed;
  }
  [[nodiscard]] const char* reason() const { return splicer_ ? splicer_->reason() : ""; }
  [[nodiscard]] int continued() const { return continuations_; }

 private:
  // Rewrites one event of a continuing instance for the client.
  std::string splice(std::string_view event);
  [[nodiscard]] std::string event_of(const nlohmann::json& value) const;
  [[nodiscard]] nlohmann::json chunk(const std::string& text, const nlohmann::json& finish) const;
  std::string retain(std::string out);

  ContinuationMode mode_;
  AnswerFormat format_;
  std::string retained_;  // events that the client has received
  bool too_long_ = false;
  std::string withheld_error_;
  int continuations_ = 0;
  WrittenAnswer written_;  // the partial answer when the last instance was lost
  std::optional<ContinuationSplicer> splicer_;
  bool finished_ = false;  // a stop string or [DONE] has ended the answer
};

}  // namespace bankmux::recovery
