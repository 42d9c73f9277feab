#include "app/operations.hpp"

#include <chrono>
#include <utility>

#include "log/log.hpp"

namespace bankmux::app {

using namespace std::chrono_literals;

namespace {

// Metrics requests and commands arrive every second or two. An idle connection keeps its slot until another
// connection needs it.
constexpr std::size_t kMaxConnections = 24;
constexpr std::size_t kMaxHeldBytes = 256 * 1024;  // of all connections together; no command has a body
constexpr core::Duration kPollInterval = 100ms;  // upper bound until a change by another process takes effect
// The platform's front layer keeps sending for 0.2 s after a negative readiness answer, and clients keep
// sending for as long as their connections are open.
constexpr core::Duration kIdleCloseDelay = 500ms;
// Age from which a connection without a request counts as idle; readiness checks send theirs at once.
constexpr core::Duration kIdleThreshold = 1s;

}  // namespace

PlatformManagement::PlatformManagement(net::Loop& loop, core::Conductor& conductor, net::PlatformFront& front,
                                       const config::Config& config, const std::string& folder)
    : loop_(loop),
      conductor_(conductor),
      front_(front),
      maintenance_file_(folder + "/bankmux-" + config.name + "-out"),
      page_(conductor, config.classes,
            {[this] { return client_server_ != nullptr && !draining_since_ && !shutting_down_; },
             [this](bool on) { drain(on); },
             [this](const std::string& id, bool out_of_rotation) { return maintain(id, out_of_rotation); }}),
      server_(loop, config.mgmt,
              [this](std::unique_ptr<net::IncomingRequest> incoming) { page_.handle(std::move(incoming)); },
              {.connections = kMaxConnections, .held_bytes = kMaxHeldBytes, .single_error_status = true}) {
  server_.close_after_responses();  // one call per connection
  load_file();
  poll();
}

void PlatformManagement::drain(bool on) {
  if (on == draining_since_.has_value()) return;
  log::write("drain",
             on ? "draining: no new clients are accepted until resume" : "resumed: accepting clients");
  draining_since_ = on ? std::optional(loop_.now()) : std::nullopt;
  front_.set_ready(!on);
  if (client_server_ != nullptr) client_server_->close_after_responses(on);
}

// Writes the file before answering, because another process of this conductor may already be the serving one.
bool PlatformManagement::maintain(const std::string& id, bool out_of_rotation) {
  operations::Ids updated;
  const bool written =
      maintenance_file_.update([&](const std::string& current) -> std::optional<std::string> {
        const auto ids = current.empty() ? operations::Ids{} : operations::decode(current);
        if (!ids) return std::nullopt;
        updated = *ids;
        if (out_of_rotation ? updated.size() >= operations::kMaxIds : !updated.contains(id)) return current;
        out_of_rotation ? void(updated.insert(id)) : void(updated.erase(id));
        return operations::encode(updated);
      });
  log::write("maintenance", id + (out_of_rotation ? " taken out of rotation" : " put back into rotation") +
                                (written ? "" : ": cannot write the maintenance file"));
  if (!written || (out_of_rotation && !updated.contains(id))) return false;
  conductor_.set_maintenance(std::move(updated));
  return true;
}

void PlatformManagement::load_file() {
  const std::optional<std::string> text = maintenance_file_.read();
  if (text && text->empty()) return;
  const auto ids = text ? operations::decode(*text) : std::nullopt;
  // An unreadable file changes nothing: instances in maintenance stay out of rotation.
  if (!ids) return log::write("maintenance", "cannot read the maintenance file; keeping the current state");
  conductor_.set_maintenance(*ids);
}

void PlatformManagement::poll() {
  if (maintenance_file_.changed()) load_file();
  if (draining_since_ && client_server_ != nullptr && loop_.now() - *draining_since_ >= kIdleCloseDelay) {
    client_server_->close_idle(kIdleThreshold);
  }
  poll_timer_ = loop_.at(loop_.now() + kPollInterval, [this] { poll(); });
}

}  // namespace bankmux::app
