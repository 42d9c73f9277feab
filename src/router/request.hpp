// State of a request and of its attempts.
#pragma once

#include <algorithm>
#include <optional>
#include <vector>

#include "estimates/engine.hpp"
#include "router/tuned.hpp"

namespace eiderarch {

enum class Stage { waiting, prefilling, held, decoding, streaming, over };

struct Attempt {
  EngineId instance = 0;
  double work = 0.0;
  double work_ahead = 0.0;     // own tokens queued there when it was sent, including its own
  Tokens expected_cached = 0;  // prompt tokens that the prefix table listed as cached
  Time sent{0};
  // Cell whose shared link carries the KV cache, if it leaves the cell.
  std::optional<std::uint32_t> link;
  bool local = false;    // the instance prefills and decodes
  bool prefill = false;  // the instance only prefills
  int home_rank = 2;     // see home_rank_of
  bool active = true;
  bool cancelled = false;
  bool overdue = false;  // already recorded as overdue
  bool may_have_run = false;
};

struct Request {
  RequestArrived arrival;
  RequestClass cls;
  Stage stage = Stage::waiting;
  Time arrived{0};
  Time aim{0};  // when the first token is due
  double priority = 0.0;
  std::vector<Attempt> attempts;
  EngineId decode_instance = 0;  // planned or in use
  bool planned = false;          // counted at the decode instance while the prefill runs
  EngineId cache_holder = 0;     // prefill instance that holds the KV cache
  // Start of the time in which no attempt that arrived has fetched the held KV cache.
  Time unfetched_since{0};
  bool reserved = false;  // the decode instance has confirmed a reservation
  bool reservation_requested = false;
  bool may_have_run = false;
  std::vector<EngineId> tried;

  [[nodiscard]] bool has_active_attempt() const { return std::ranges::any_of(attempts, &Attempt::active); }
  [[nodiscard]] bool had_prefill() const { return std::ranges::any_of(attempts, &Attempt::prefill); }
  // True if this front resumes an answer that broke off. A request whose client reconnects by itself counts
  // as new.
  [[nodiscard]] bool resumes_lost_answer() const { return arrival.resumed && arrival.lost_at != 0; }
  [[nodiscard]] bool is_retry() const {
    return (!attempts.empty() || resumes_lost_answer()) && stage == Stage::waiting;
  }
};

// Prompt tokens that an instance is expected to have cached.
inline Tokens cached_tokens(const Instance& e, const Request& r) {
  const Tokens whole = std::min(e.cached_prefixes.find(r.arrival.session), r.arrival.prompt_tokens);
  return std::max(whole, std::min({e.cached_prefixes.find(r.arrival.prefix), r.arrival.prefix_tokens,
                                   r.arrival.prompt_tokens}));
}

// Tokens that the request occupies in a decode instance's memory: its prompt and its expected output.
inline double footprint(const Request& r) {
  const double hint =
      r.cls.token_aim > Duration{0} ? seconds(r.arrival.answer_hint) / seconds(r.cls.token_aim) : 0.0;
  return double(r.arrival.prompt_tokens) +
         (hint > 0.0 ? hint : kExpectedOutputShare * double(r.arrival.max_output));
}

}  // namespace eiderarch
