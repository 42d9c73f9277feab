#include "app/request_log.hpp"

#include <nlohmann/json.hpp>

#include "log/log.hpp"
#include "net/http/payload.hpp"

namespace bankmux::app {

namespace {

using Result = core::RequestRecord::Result;

const char* label(Result result) {
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

const char* label(eiderarch::Outcome outcome) {
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

const char* label(core::Ending::Cause cause) {
  using Cause = core::Ending::Cause;
  switch (cause) {
    case Cause::refused:
      return "given up";
    case Cause::table_full:
      return "table full";
    case Cause::shutdown:
      return "shutting down";
    case Cause::no_decision:
      return "no decision in time";
    case Cause::failed:
      return "given up, may have run";
    case Cause::broke_off:
      return "stream broke off";
  }
  return "";
}

const char* label(core::AnswerEnd end) {
  using core::AnswerEnd;
  switch (end) {
    case AnswerEnd::none:
      return "none";
    case AnswerEnd::whole:
      return "whole";
    case AnswerEnd::no_end_marker:
      return "end marker missing";
    case AnswerEnd::closed:
      return "connection closed";
    case AnswerEnd::reset:
      return "connection reset";
    case AnswerEnd::malformed:
      return "malformed";
    case AnswerEnd::error_event:
      return "error event";
    case AnswerEnd::too_large:
      return "too large";
    case AnswerEnd::timed_out:
      return "timed out";
    case AnswerEnd::silent:
      return "silent";
  }
  return "";
}

// Microseconds as whole milliseconds; null if the time is negative, that is, not known.
nlohmann::json milliseconds(core::Duration time) {
  return time.count() < 0 ? nlohmann::json() : nlohmann::json(time.count() / 1000);
}

// Lists the attempts: for each one its instance, times, outcome and whether any part of an answer arrived.
nlohmann::json attempts_json(const std::vector<core::AttemptRecord>& attempts) {
  nlohmann::json list = nlohmann::json::array();
  for (const core::AttemptRecord& attempt : attempts) {
    list.push_back({{"box", attempt.instance},
                    {"prefill", attempt.prefill},
                    {"begun_ms", milliseconds(attempt.begun)},
                    {"written_ms", milliseconds(attempt.written)},
                    {"ended_ms", milliseconds(attempt.ended)},
                    {"end", label(attempt.outcome)},
                    {"answered", attempt.answered},
                    {"answer_end", label(attempt.answer_end)}});
  }
  return list;
}

bool ended_without_answer(Result result) {
  return result == Result::refused || result == Result::failed || result == Result::broken;
}

}  // namespace

core::Conductor::Observer request_log(std::vector<std::string> classes, std::vector<std::string> tenants) {
  return [classes = std::move(classes), tenants = std::move(tenants)](const core::RequestRecord& record) {
    const eiderarch::RequestArrived& arrival = record.client_request.facts;
    std::string tenant = record.client_request.payload->tenant;
    if (tenant.empty() && arrival.tenant < tenants.size()) tenant = tenants[arrival.tenant];
    const bool known_class = arrival.request_class < classes.size();
    log::write("request", label(record.result), [&]() -> nlohmann::json {
      nlohmann::json fields = {
          {"request_id", record.client_request.payload->id},
          {"tenant", tenant.empty() ? nlohmann::json(arrival.tenant) : nlohmann::json(tenant)},
          {"class", known_class ? classes[arrival.request_class] : "?"},
          {"box", record.instance},
          {"attempts", record.attempts},
          {"may_have_run", record.ending.may_have_run},
          {"prompt_tokens", arrival.prompt_tokens},
          {"first_ms", milliseconds(record.first)},
          {"total_ms", milliseconds(record.total)},
          {"trail", attempts_json(record.trail)}};
      if (ended_without_answer(record.result)) fields["why"] = label(record.ending.cause);
      return fields;
    });
  };
}

}  // namespace bankmux::app
