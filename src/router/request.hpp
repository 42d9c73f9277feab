// State of a request and of its attempts.
#pragma once

#include <algorithm>
#include <optional>
#include <vector>

#include "estimates/engine.hpp"
#include "router/tuned.hpp"

namespace eiderarch {

enum class Stage { waiting, reading, held, writing, streaming, over };

struct Attempt {
  EngineId engine = 0;
  double work = 0.0;
  double ahead = 0.0;  // own tokens queued there when it was sent, including its own
  Tokens claimed = 0;  // prompt tokens that the prefix table listed as cached
  Time sent{0};
  // Cell whose shared link carries the KV cache, if it leaves the cell.
  std::optional<std::uint32_t> link;
  bool local = false;
  bool reader = false;
  int place = 2;  // see home_rank_of
  bool out = true;
  bool cancelled = false;
  bool late = false;  // already recorded as overdue
  bool may_have_run = false;
};

struct Request {
  RequestArrived ask;
  RequestClass cls;
  Stage stage = Stage::waiting;
  Time arrived{0};
  Time aim{0};
  double priority = 0.0;
  std::vector<Attempt> attempts;
  EngineId writer = 0;   // planned or in use
  bool planned = false;  // counted at the decode instance while the prefill runs
  EngineId holder = 0;   // prefill instance that holds the KV cache
  // Start of the time in which no attempt that arrived has fetched the held KV cache.
  Time held_at{0};
  bool place = false;  // the decode instance has confirmed a reservation
  bool claimed = false;
  bool may_have_run = false;
  std::vector<EngineId> tried;

  [[nodiscard]] bool out() const { return std::ranges::any_of(attempts, &Attempt::out); }
  [[nodiscard]] bool was_read() const { return std::ranges::any_of(attempts, &Attempt::reader); }
  // True if this front resumes an answer that broke off. A request whose client reconnects by itself counts
  // as new.
  [[nodiscard]] bool lost() const { return ask.resumed && ask.lost_at != 0; }
  [[nodiscard]] bool again() const { return (!attempts.empty() || lost()) && stage == Stage::waiting; }
};

// Prompt tokens that an instance is expected to have cached.
inline Tokens kept(const Engine& e, const Request& r) {
  const Tokens whole = std::min(e.kept.find(r.ask.session), r.ask.prompt_tokens);
  return std::max(whole, std::min({e.kept.find(r.ask.prefix), r.ask.prefix_tokens, r.ask.prompt_tokens}));
}

// Tokens that the request occupies in a decode instance's memory: its prompt and its expected output.
inline double footprint(const Request& r) {
  const double hint =
      r.cls.token_aim > Duration{0} ? seconds(r.ask.answer_hint) / seconds(r.cls.token_aim) : 0.0;
  return double(r.ask.prompt_tokens) + (hint > 0.0 ? hint : kAnswerShare * double(r.ask.max_output));
}

}  // namespace eiderarch
