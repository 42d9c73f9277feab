// Keeps what a stream's client was given, and when its box is lost says whether and how another can go on
// with it; then makes the second box's events those of the first one's answer. For the chat dialect, chat and
// completions. Pure.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "recovery/seam.hpp"
#include "sse/event_splitter.hpp"

namespace bankmux::recovery {

// How a model's boxes go on with a begun answer.
enum class Way { none, final_message, prompt };
enum class Form { chat, completion };

constexpr std::size_t kMostKept = 256 * 1024;  // bytes of events of one stream; a longer one is not continued

// What was written, as read from the events kept.
struct Written {
  std::string text;
  std::int64_t tokens = 0;  // by the box's usage, else one for each event with text, or four letters
  bool tool_calls = false, other_choices = false, finished = false;
  nlohmann::json about = nlohmann::json::object();  // id, created, model and what else each event repeats
  std::optional<nlohmann::json> usage;
};
Written read_events(std::string_view events, Form form);

// What to do with a stream whose box is lost.
struct Next {
  enum class What {
    end,     // it stays broken; `reason` says why
    finish,  // nothing but its end was missing: `bytes` are it
    go_on,   // ask another box with `body`
  };
  What what = What::end;
  const char* reason = "";
  std::string bytes;
  std::string body;
  std::int64_t written = 0;  // tokens of the answer so far
  std::int64_t left = 0;     // that it may still have; 0: not limited
};

class Recovery {
 public:
  Recovery(Way way, Form form) : way_(way), form_(form) {}

  // Whole events of a box; what goes on to the client. An error event is held back: it may be recovered from.
  std::string pass(std::string_view events);
  // The box is lost. `body`: the request as its client sent it.
  [[nodiscard]] Next lost(const std::string& body);
  // The error event that the last box sent, where it comes to that; empty: none.
  [[nodiscard]] const std::string& error_event() const { return error_; }
  // The second box's words can't be joined: the stream must fail.
  [[nodiscard]] bool failed() const { return seam_ && seam_->state() == Seam::State::failed; }
  [[nodiscard]] const char* reason() const { return seam_ ? seam_->reason() : ""; }
  [[nodiscard]] int continued() const { return continued_; }

 private:
  // One event of a box that goes on; what the client gets in its place.
  std::string joined(std::string_view event);
  [[nodiscard]] std::string event_of(const nlohmann::json& value) const;
  [[nodiscard]] nlohmann::json chunk(const std::string& text, const nlohmann::json& finish) const;
  std::string keep(std::string out);

  Way way_;
  Form form_;
  std::string kept_;  // events that the client was given
  bool too_long_ = false;
  std::string error_;
  int continued_ = 0;
  Written written_;  // as it was at the last loss
  std::optional<Seam> seam_;
  bool over_ = false;  // a finish or [DONE] has been given
};

}  // namespace bankmux::recovery
