#include "net/platform/management_handler.hpp"

#include <string_view>

#include "operations/maintenance.hpp"

namespace bankmux::net {

namespace {

constexpr std::string_view kInstances = "/-/instances/";

void add(std::string& text, const std::string& name, std::uint64_t value) {
  text += "svc." + name + '=' + std::to_string(value) + '\n';
}

}  // namespace

std::string ManagementHandler::metrics() const {
  const core::RequestCounters& figures = conductor_.figures();
  std::string text;
  for (std::size_t i = 0; i < classes_.size() && i < figures.by_class.size(); ++i) {
    add(text, "fulfilled." + classes_[i], figures.by_class[i].served);
    add(text, "throttled." + classes_[i], figures.by_class[i].refused);
    add(text, "faulted." + classes_[i], figures.by_class[i].failed);
  }
  add(text, "relayed", figures.written);
  add(text, "open_requests", conductor_.open_requests());
  add(text, "registry_entries", conductor_.listed());
  add(text, "out_of_rotation", conductor_.out_of_rotation());
  const core::ReleaseCounters& releases = conductor_.release_figures();
  add(text, "held_overdue", figures.held_overdue);
  add(text, "releases.begun", releases.begun);
  add(text, "releases.answered", releases.answered);
  add(text, "releases.answered_by_any", releases.answered_by_any);
  add(text, "releases.tries_failed", releases.tries_failed);
  add(text, "releases.abandoned", releases.abandoned);
  return text;
}

void ManagementHandler::instance_call(IncomingRequest& incoming, const std::string& path) const {
  const std::size_t slash = path.rfind('/');
  const std::string command = path.substr(slash + 1);
  if (slash <= kInstances.size() || (command != "disable" && command != "enable")) {
    return incoming.answer(404, {}, "no such page\n");
  }
  if (incoming.method() != "POST") return incoming.answer(405, {{"Allow", "POST"}}, "POST only\n");
  const std::string id = path.substr(kInstances.size(), slash - kInstances.size());
  if (!operations::is_valid_id(id)) return incoming.answer(400, {}, "not an instance's id\n");
  if (!conductor_.fleet().knows(id)) return incoming.answer(404, {}, "no instance has that id\n");
  if (!actions_.maintain(id, command == "disable")) {
    return incoming.answer(503, {}, "could not be written down; nothing has changed\n");
  }
  incoming.answer(200, {}, command == "disable" ? "out of rotation\n" : "may serve again\n");
}

void ManagementHandler::handle(std::unique_ptr<IncomingRequest> incoming) const {
  const std::string path = incoming->path();
  if (path.starts_with(kInstances)) return instance_call(*incoming, path);
  const bool is_command = path == "/-/drain" || path == "/-/resume";
  if (!is_command && path != "/-/ready" && path != "/-/metrics") {
    return incoming->answer(404, {}, "no such page\n");
  }
  const std::string method = is_command ? "POST" : "GET";
  if (incoming->method() != method) {
    return incoming->answer(405, {{"Allow", method}}, method + " only\n");
  }
  if (path == "/-/ready") {
    const bool ready = actions_.ready();
    return incoming->answer(ready ? 200 : 503, {}, ready ? "ready\n" : "takes no clients\n");
  }
  if (path == "/-/metrics") return incoming->answer(200, {{"Content-Type", "text/plain"}}, metrics());
  actions_.drain(path == "/-/drain");
  incoming->answer(200, {}, path == "/-/drain" ? "draining\n" : "takes clients\n");
}

}  // namespace bankmux::net
