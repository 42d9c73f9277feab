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

nlohmann::json ms(core::Duration time) {
  return time.count() < 0 ? nlohmann::json() : nlohmann::json(time.count() / 1000);
}

}  // namespace

core::Conductor::Observer request_log(std::vector<std::string> classes, std::vector<std::string> tenants) {
  return [classes = std::move(classes), tenants = std::move(tenants)](const core::RequestRecord& record) {
    const eiderarch::RequestArrived& facts = record.ask.facts;
    std::string tenant = record.ask.payload->tenant;
    if (tenant.empty() && facts.tenant < tenants.size()) tenant = tenants[facts.tenant];
    const bool known = facts.request_class < classes.size();
    log::write("request", word(record.result), [&]() -> nlohmann::json {
      return {{"request_id", record.ask.payload->id},
              {"tenant", tenant.empty() ? nlohmann::json(facts.tenant) : nlohmann::json(tenant)},
              {"class", known ? classes[facts.request_class] : "?"},
              {"box", record.box},
              {"attempts", record.attempts},
              {"may_have_run", record.ending.may_have_run},
              {"prompt_tokens", facts.prompt_tokens},
              {"first_ms", ms(record.first)},
              {"total_ms", ms(record.total)}};
    });
  };
}

}  // namespace bankmux::app
