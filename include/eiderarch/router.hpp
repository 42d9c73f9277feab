// The whole interface of eiderarch: settings, events, actions and the Router. The decisions are in
// src/router/.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace eiderarch {

using Duration = std::chrono::microseconds;
// Time since any fixed point; the caller's clock never goes backwards.
using Time = std::chrono::microseconds;
using RequestId = std::uint64_t;
using EngineId = std::uint64_t;
// Sessions and shared beginnings, hashed alike at every front; 0 means none.
using Key = std::uint64_t;
using Tokens = std::int64_t;

// ---- Settings: what one front is told at its start
// --------------------------------------------------------------

enum class Role { reader, writer, both };
enum class Effect { safe, keyed, unsafe };
enum class RepeatGroup { all, zone, cell };
enum class ListMode { pushed, on_request };
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
  Duration aim{0};
  Duration aim_per_kilotoken{0};
  Duration token_aim{0};
  Duration deadline{0};
  double worth = 1.0;
  double late_worth = 0.0;
};

struct Kind {
  Role role = Role::both;
  Tokens memory = 0;  // 0: not told
};

struct Tenant {
  double quota_per_second = 0.0;  // over all fronts; 0: not limited
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
  Duration cold_time{0};
  Duration fall_time{0};
  Duration release_within{0};
  Duration ask_within{0};
  double cold_from = 1.0;
  double overload_factor = 1.0;
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
  double over_share_worth = 1.0;
  Limits limits;
  Rules rules;
  Prices prices;
  ListMode list_mode = ListMode::pushed;
  ReportMode report_mode = ReportMode::none;
  Rating rating = Rating::none;
  bool claim_ahead = false;
  bool resume = false;
  bool writers_read = false;
};

// ---- Events
// -----------------------------------------------------------------------------------------------------

enum class EngineState { live, draining, gone };
enum class ListScope { changes, complete, disk, failed };

// The kind of an entry that names none. It stands for no kind of the settings.
constexpr std::uint32_t kKindNotNamed = UINT32_MAX;

struct EngineEntry {
  EngineId engine = 0;
  EngineState state = EngineState::live;
  std::uint32_t zone = 0;
  std::uint32_t cell = 0;
  std::uint32_t kind = 0;
  double rating = 1.0;
  Time started{0};  // 0: long ago
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
  Duration answer_hint{0};  // 0: not told
  Time deadline{0};
  bool resumed = false;  // its answer has begun, at an engine that was lost
  EngineId lost_at = 0;  // that engine; with `resumed`
  bool client_retry = false;
};

struct LoadValue {
  ReportField field = ReportField::none;
  double value = 0.0;
};
using LoadReport = std::vector<LoadValue>;

enum class Outcome { served, error, busy, timed_out, not_connected, reset, cancelled, skipped, state_held };

// Whether that end of an attempt proves that it did not execute its request. All other ends count as 'may
// have run': a class whose repetition does harm is not sent again after them.
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
  Tokens detail =
      0;  // served and state_held: prompt tokens found kept; busy: 1 if there was no state to fetch
  LoadReport report;
};

struct PlaceAnswer {
  RequestId id = 0;
  int attempt = 0;
  EngineId engine = 0;
  bool held = false;
};

// What was held for the request, a state or a place, has been released: its time was up, and no attempt was
// known to have arrived. An attempt that is out may still be served.
struct HeldReleased {
  RequestId id = 0;
};

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

// ---- Actions
// ----------------------------------------------------------------------------------------------------

struct Send {
  RequestId id = 0;
  EngineId engine = 0;
  Duration timeout{0};   // 0: until the client gives up
  Time by{0};            // its last byte is not to leave later, or else not at all; 0: whenever
  bool prefill = false;  // meant for an engine that only reads, where an attempt has no effect
};
struct Cancel {
  RequestId id = 0;
  int attempt = 0;
};
struct Refuse {
  RequestId id = 0;
  Duration stay_away{0};
};
struct Fail {
  RequestId id = 0;
};
struct Move {
  RequestId id = 0;
};
struct ClaimWriter {
  RequestId id = 0;
  EngineId engine = 0;
};
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

// ---- The router
// -------------------------------------------------------------------------------------------------

// One front's decisions. Holds no clock, thread or I/O; equal settings and events give equal actions.
class Router {
 public:
  explicit Router(const Settings& settings);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  // Takes the events of one moment, in order of arrival; returns the actions, to be carried out in their
  // order.
  [[nodiscard]] std::vector<Action> handle(Time now, const std::vector<Event>& events);
  // The engines that get nothing for now because they could not be reached or were full.
  [[nodiscard]] std::vector<EngineId> set_aside(Time now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace eiderarch
