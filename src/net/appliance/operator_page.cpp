#include "net/appliance/operator_page.hpp"

#include <nlohmann/json.hpp>
#include <string_view>

namespace bankmux::net {

using nlohmann::json;

namespace {

const char* word(eiderarch::EngineState state) {
  switch (state) {
    case eiderarch::EngineState::live:
      return "up";
    case eiderarch::EngineState::draining:
      return "drain";
    case eiderarch::EngineState::gone:
      break;
  }
  return "down";
}

}  // namespace

OperatorPage::OperatorPage(const core::Conductor& conductor, const core::Scheduler& scheduler,
                           BoxWatch& boxes, const config::Appliance& appliance)
    : conductor_(conductor),
      scheduler_(scheduler),
      boxes_(boxes),
      appliance_(appliance),
      started_(scheduler.now()) {}

Standing OperatorPage::standing() const {
  const std::size_t serving = boxes_.serving();
  if (serving == 0) return {Standing::State::down, 0};
  if (drained_ || ending_) return {Standing::State::drain, 0};
  const double boxes = double(serving) / double(appliance_.boxes.size());
  const double room = 1.0 - double(conductor_.open_requests()) / double(conductor_.most_requests());
  return {Standing::State::up, int(100.0 * boxes * room + 0.5)};
}

std::string OperatorPage::status() const {
  const core::Figures& f = conductor_.figures();
  const Standing standing = this->standing();
  std::string line = agent_line(standing);
  line.pop_back();
  json out = {{"name", appliance_.name},
              {"standing", line},
              {"uptime_s", double((scheduler_.now() - started_).count()) / 1e6},
              {"requests",
               {{"open", conductor_.open_requests()},
                {"most", conductor_.most_requests()},
                {"taken", f.taken},
                {"served", f.served},
                {"refused", f.refused},
                {"failed", f.failed},
                {"broken", f.broken},
                {"client_gone", f.gone},
                {"attempts", f.attempts}}},
              {"boxes", json::array()}};
  for (const config::Box& box : appliance_.boxes) {
    for (const auto& [engine, member] : conductor_.fleet().members()) {
      if (member.target.id != box.id) continue;
      out["boxes"].push_back({{"id", box.id},
                              {"address", box.address},
                              {"state", word(member.entry.state)},
                              {"weight", box.weight},
                              {"out", conductor_.out_at(engine)}});
    }
  }
  return out.dump();
}

void OperatorPage::handle(std::unique_ptr<Incoming> incoming) {
  const std::string path = incoming->path();
  const std::string method = incoming->method();
  if (path == "/-/status" && method == "GET") {
    return incoming->answer(200, {{"Content-Type", "application/json"}}, status());
  }
  if (path == "/-/healthy" && method == "GET") {
    const bool up = standing().state == Standing::State::up;
    return incoming->answer(up ? 200 : 503, {}, agent_line(standing()));
  }
  if (method == "POST" && (path == "/-/drain" || path == "/-/resume")) {
    drained_ = path == "/-/drain";
    return incoming->answer(204, {}, "");
  }
  constexpr std::string_view kBoxes = "/-/boxes/";
  const std::size_t slash = path.rfind('/');
  const std::string word = path.substr(slash + 1);
  if (method == "POST" && path.starts_with(kBoxes) && slash > kBoxes.size() &&
      (word == "drain" || word == "resume")) {
    const std::string id = path.substr(kBoxes.size(), slash - kBoxes.size());
    const bool known = boxes_.drain(id, word == "drain");
    return incoming->answer(known ? 204 : 404, {}, known ? "" : "no such box\n");
  }
  incoming->answer(404, {}, "no such page\n");
}

}  // namespace bankmux::net
