// A request and its attempts, as the decisions see them.
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
  double ahead = 0.0;  // own work there when it was sent, its own included
  Tokens claimed = 0;  // kept tokens that the table promised
  Time sent{0};
  std::optional<std::uint32_t> link;  // the cell over whose shared link the state comes
  bool local = false;
  bool reader = false;
  int place = 2;  // see place_of
  bool out = true;
  bool cancelled = false;
  bool late = false;  // noted as taking too long
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
  bool planned = false;  // counted at the writer while the read runs
  EngineId holder = 0;   // reader whose memory has the state
  Time held_at{0};       // since when nothing that has arrived waits for it
  bool place = false;    // a place is held ahead at the writer
  bool claimed = false;
  bool may_have_run = false;
  std::vector<EngineId> tried;

  [[nodiscard]] bool out() const { return std::ranges::any_of(attempts, &Attempt::out); }
  [[nodiscard]] bool was_read() const { return std::ranges::any_of(attempts, &Attempt::reader); }
  // Its answer was lost here and goes on; one whose client came again by itself is as good as new.
  [[nodiscard]] bool lost() const { return ask.resumed && ask.lost_at != 0; }
  [[nodiscard]] bool again() const { return (!attempts.empty() || lost()) && stage == Stage::waiting; }
};

// Tokens of its prompt that a server is believed to keep.
inline Tokens kept(const Engine& e, const Request& r) {
  const Tokens whole = std::min(e.kept.find(r.ask.session), r.ask.prompt_tokens);
  return std::max(whole, std::min({e.kept.find(r.ask.prefix), r.ask.prefix_tokens, r.ask.prompt_tokens}));
}

// Tokens that it takes in a writer's memory, its answer as far as that can be told.
inline double footprint(const Request& r) {
  const double hint =
      r.cls.token_aim > Duration{0} ? seconds(r.ask.answer_hint) / seconds(r.cls.token_aim) : 0.0;
  return double(r.ask.prompt_tokens) + (hint > 0.0 ? hint : kAnswerShare * double(r.ask.max_output));
}

}  // namespace eiderarch
