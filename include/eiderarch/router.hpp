// Public interface of eiderarch: settings, events, actions and the Router. The decisions are implemented in
// src/router/. A router decides for one front, which sends clients' requests to model server instances
// (EngineId). A prefill instance (Role::reader) processes the prompt and holds the resulting KV cache until a
// decode instance (Role::writer) has fetched it to generate the answer; an instance of both roles may serve
// the whole request.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace eiderarch {

using Duration = std::chrono::microseconds;
// Time since an arbitrary fixed point, by a clock that never goes backwards.
using Time = std::chrono::microseconds;
using RequestId = std::uint64_t;
using EngineId = std::uint64_t;
// Hash of a session id or of a shared prompt prefix, the same at every front; 0 means none.
using Key = std::uint64_t;
using Tokens = std::int64_t;

// ---- Settings of one front, fixed at its start ----

// reader: prefill instance, writer: decode instance.
enum class Role { reader, writer, both };
// Effect of executing a request twice: none (safe), none where the RepeatGroup recognises the repeat within
// its window (keyed), or harmful (unsafe).
enum class Effect { safe, keyed, unsafe };
// Instances that recognise a repeat of a keyed request: all, or those of the same zone or cell.
enum class RepeatGroup { all, zone, cell };
enum class ListMode { pushed, on_request };
// Which answers of an instance carry load reports: none, those to probes, or all.
enum class ReportMode { none, probes, answers };
enum class ReportField {
  none,
  in_flight,
  queued,
  utilisation,
  latency_ms,
  rate,
  errors,
  memory_share,
  queued_ktokens
};
enum class Rating { none, nominal, rough, live };

struct RequestClass {
  Effect effect = Effect::unsafe;
  RepeatGroup group = RepeatGroup::all;
  Duration repeat_window{0};
  Duration aim{0};                // target for the first token, from the arrival
  Duration aim_per_kilotoken{0};  // added to `aim` for each 1000 prompt tokens
  Duration token_aim{0};          // target for each further token
  Duration deadline{0};
  double worth = 1.0;
  double late_worth = 0.0;
};

struct Kind {
  Role role = Role::both;
  Tokens memory = 0;  // KV cache capacity; 0: unknown
};

struct Tenant {
  double quota_per_second = 0.0;  // over all fronts; 0: unlimited
};

struct Limits {
  bool cancel = false;
  bool probes = false;
  bool second_copies = false;
  bool retry_advice = false;
  int max_attempts = 1;
  Duration max_retry_advice{0};
};

struct Rules {
  Duration drain_grace{0};
  Duration cold_time{0};       // length of an instance's slow start
  Duration fall_time{0};       // window over which the slow-start budget is measured
  Duration release_within{0};  // how long something may be held for a request with no attempt under way
  Duration ask_within{0};
  double cold_from = 1.0;        // share of a warm instance's load that slow start begins with
  double overload_factor = 1.0;  // multiple of that share which the budget allows
};

struct Prices {
  double cross_zone = 0.0;
  double waste = 0.0;
  double late_fail = 0.0;
  double probe = 0.0;
  double moves = 0.0;
  double far_tokens = 0.0;
};

struct Settings {
  std::uint64_t seed = 0;
  std::uint32_t zone = 0;
  std::uint32_t fronts = 1;
  std::vector<RequestClass> classes;
  std::vector<Kind> kinds;
  std::vector<Tenant> tenants;
  double over_share_worth = 1.0;  // factor on the worth of requests above their tenant's quota
  Limits limits;
  Rules rules;
  Prices prices;
  ListMode list_mode = ListMode::pushed;
  ReportMode report_mode = ReportMode::none;
  Rating rating = Rating::none;
  bool claim_ahead = false;   // a decode instance may be reserved before the prefill ends
  bool resume = false;        // broken-off answers may be resumed at another instance
  bool writers_read = false;  // decode instances can prefill as well
};

// ---- Events ----

enum class EngineState { live, draining, gone };
enum class ListScope { changes, complete, disk, failed };

// Kind of an entry that names none; it matches no kind of the settings.
constexpr std::uint32_t kKindNotNamed = UINT32_MAX;

struct EngineEntry {
  EngineId engine = 0;
  EngineState state = EngineState::live;
  std::uint32_t zone = 0;
  std::uint32_t cell = 0;
  std::uint32_t kind = 0;
  double rating = 1.0;  // relative size of the instance
  Time started{0};      // 0: long ago
};

struct ListChanged {
  ListScope scope = ListScope::changes;
  std::vector<EngineEntry> entries;
};

struct RequestArrived {
  RequestId id = 0;
  std::uint32_t request_class = 0;
  std::uint32_t tenant = 0;
  Key session = 0;
  Key prefix = 0;
  Tokens prompt_tokens = 0;
  Tokens prefix_tokens = 0;
  Tokens max_output = 0;
  Duration answer_hint{0};  // expected duration of the answer; 0: unknown
  Time deadline{0};
  bool resumed = false;  // its answer began at an instance that was lost
  EngineId lost_at = 0;  // that instance, if `resumed`; 0: unknown
  bool client_retry = false;
};

struct LoadValue {
  ReportField field = ReportField::none;
  double value = 0.0;
};
using LoadReport = std::vector<LoadValue>;

enum class Outcome { served, error, busy, timed_out, not_connected, reset, cancelled, skipped, state_held };

// Whether this outcome of an attempt proves that the request was not executed. After every other outcome it
// may have been, so a class whose repetition does harm is not sent again.
[[nodiscard]] constexpr bool proves_not_executed(Outcome outcome) {
  return outcome == Outcome::busy || outcome == Outcome::not_connected || outcome == Outcome::skipped ||
         outcome == Outcome::state_held;
}

struct StreamStarted {
  RequestId id = 0;
  int attempt = 0;
  EngineId engine = 0;
  Duration elapsed{0};
};

struct AttemptEnded {
  RequestId id = 0;
  int attempt = 0;
  EngineId engine = 0;
  Outcome outcome = Outcome::error;
  Duration elapsed{0};
  bool request_over = false;
  // After served and state_held: cached prompt tokens. After busy: 1 if there was no KV cache to fetch.
  Tokens detail = 0;
  LoadReport report;
};

// Answer to ClaimWriter.
struct PlaceAnswer {
  RequestId id = 0;
  int attempt = 0;
  EngineId engine = 0;
  bool held = false;
};

// What was held for the request, a KV cache or a reservation, was released because its time had run out and
// no attempt was known to have arrived. An attempt that has not ended may still be served.
struct HeldReleased {
  RequestId id = 0;
};

// The request has ended outside the router, for example because its client has gone.
struct RequestGone {
  RequestId id = 0;
};

struct TimerFired {
  std::uint64_t tag = 0;
};

struct ProbeEnded {
  EngineId engine = 0;
  Outcome outcome = Outcome::error;
  Duration elapsed{0};
  LoadReport report;
};

using Event = std::variant<ListChanged, RequestArrived, StreamStarted, AttemptEnded, PlaceAnswer,
                           HeldReleased, RequestGone, TimerFired, ProbeEnded>;

// ---- Actions ----

struct Send {
  RequestId id = 0;
  EngineId engine = 0;
  Duration timeout{0};  // 0: until the client gives up
  // Latest time at which its last byte may leave; if that cannot be met, it is not sent. 0: no limit.
  Time by{0};
  bool prefill = false;  // for a prefill instance, where an attempt has no lasting effect
};
struct Cancel {
  RequestId id = 0;
  int attempt = 0;
};
// Final answer to a request whose repetition is known to be harmless.
struct Refuse {
  RequestId id = 0;
  Duration stay_away{0};  // advice for the client's next retry; 0: none
};
// Final answer to a request that may have been executed.
struct Fail {
  RequestId id = 0;
};
struct Move {
  RequestId id = 0;
};
// Reserves memory for the request at a decode instance before its prefill ends.
struct ClaimWriter {
  RequestId id = 0;
  EngineId engine = 0;
};
// Releases what is held for the request.
struct Release {
  RequestId id = 0;
};
struct Probe {
  EngineId engine = 0;
};
struct SetTimer {
  std::uint64_t tag = 0;
  Time at{0};
};
struct Subscribe {};
struct FetchList {};
struct Log {
  std::string message;
};

using Action = std::variant<Send, Cancel, Refuse, Fail, Move, ClaimWriter, Release, Probe, SetTimer,
                            Subscribe, FetchList, Log>;

// ---- The router ----

// Decisions of one front. It has no clock, threads or I/O; equal settings and events give equal actions.
class Router {
 public:
  explicit Router(const Settings& settings);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  // Processes the events of one moment in order of arrival; returns the actions in the order in which the
  // caller must carry them out.
  [[nodiscard]] std::vector<Action> handle(Time now, const std::vector<Event>& events);
  // Instances that get no requests for now because they could not be reached or were full.
  [[nodiscard]] std::vector<EngineId> set_aside(Time now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace eiderarch
