#include "app/request_log.hpp"

#include <nlohmann/json.hpp>

#include "log/log.hpp"
#include "net/http/payload.hpp"

namespace bankmux::app {

namespace {

using Result = core::RequestRecord::Result;

const char* word(Result result) {
  switch (result) {
    case Result::served:
      return "served";
    case Result::refused:
      return "refused";
    case Result::failed:
      return "failed";
    case Result::broken:
      return "broken off";
    case Result::rejected:
      return "rejected by its box";
    case Result::gone:
      return "client gone";
    case Result::passed_on:
      return "passed on to the next process";
  }
  return "";
}

const char* word(eiderarch::Outcome outcome) {
  using eiderarch::Outcome;
  switch (outcome) {
    case Outcome::served:
      return "served";
    case Outcome::error:
      return "error";
    case Outcome::busy:
      return "turned away";
    case Outcome::timed_out:
      return "timed out";
    case Outcome::not_connected:
      return "not connected";
    case Outcome::reset:
      return "reset";
    case Outcome::cancelled:
      return "called off";
    case Outcome::skipped:
      return "skipped";
    case Outcome::state_held:
      return "read";
  }
  return "";
}

const char* word(core::Ending::Cause cause) {
  using Cause = core::Ending::Cause;
  switch (cause) {
    case Cause::refused:
      return "given up";
    case Cause::table_full:
      return "table full";
    case Cause::no_decision:
      return "no decision in time";
    case Cause::failed:
      return "given up, may have run";
    case Cause::broke_off:
      return "stream broke off";
  }
  return "";
}

nlohmann::json ms(core::Duration time) {
  return time.count() < 0 ? nlohmann::json() : nlohmann::json(time.count() / 1000);
}

// Each attempt in a few words: a reader of the log sees what was written where, and whether anything came
// back.
nlohmann::json trail(const std::vector<core::AttemptRecord>& attempts) {
  nlohmann::json list = nlohmann::json::array();
  for (const core::AttemptRecord& attempt : attempts) {
    list.push_back({{"box", attempt.server},
                    {"prefill", attempt.prefill},
                    {"begun_ms", ms(attempt.begun)},
                    {"written_ms", ms(attempt.written)},
                    {"ended_ms", ms(attempt.ended)},
                    {"end", word(attempt.outcome)},
                    {"answered", attempt.answered}});
  }
  return list;
}

bool ended_without_answer(Result result) {
  return result == Result::refused || result == Result::failed || result == Result::broken;
}

}  // namespace

core::Conductor::Observer request_log(std::vector<std::string> classes, std::vector<std::string> tenants) {
  return [classes = std::move(classes), tenants = std::move(tenants)](const core::RequestRecord& record) {
    const eiderarch::RequestArrived& facts = record.ask.facts;
    std::string tenant = record.ask.payload->tenant;
    if (tenant.empty() && facts.tenant < tenants.size()) tenant = tenants[facts.tenant];
    const bool known = facts.request_class < classes.size();
    log::write("request", word(record.result), [&]() -> nlohmann::json {
      nlohmann::json fields = {
          {"request_id", record.ask.payload->id},
          {"tenant", tenant.empty() ? nlohmann::json(facts.tenant) : nlohmann::json(tenant)},
          {"class", known ? classes[facts.request_class] : "?"},
          {"box", record.box},
          {"attempts", record.attempts},
          {"may_have_run", record.ending.may_have_run},
          {"prompt_tokens", facts.prompt_tokens},
          {"first_ms", ms(record.first)},
          {"total_ms", ms(record.total)},
          {"trail", trail(record.trail)}};
      if (ended_without_answer(record.result)) fields["why"] = word(record.ending.cause);
      return fields;
    });
  };
}

}  // namespace bankmux::app
