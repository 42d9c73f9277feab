#include "app/operations.hpp"

#include <chrono>
#include <utility>

#include "log/log.hpp"

namespace bankmux::app {

using namespace std::chrono_literals;

namespace {

// Figures and calls come every second or two; callers that say nothing hold a place until it is needed.
constexpr std::size_t kConnections = 24;
constexpr std::size_t kBodies = 256 * 1024;   // of all; no call has one
constexpr core::Duration kLookEvery = 100ms;  // a change by another process counts within this
// The front goes on sending for 0.2 s after it has heard no, clients for as long as their connections are
// open.
constexpr core::Duration kCloseIdleAfter = 500ms;
// Of a new connection that brings no request: what asks for readiness does so at once.
constexpr core::Duration kSilent = 1s;

}  // namespace

Operations::Operations(net::Loop& loop, core::Conductor& conductor, net::PlatformFront& front,
                       const config::Config& config, const std::string& folder)
    : loop_(loop),
      conductor_(conductor),
      front_(front),
      file_(folder + "/bankmux-" + config.name + "-out"),
      page_(conductor, config.classes,
            {[this] { return clients_ != nullptr && !draining_ && !ending_; }, [this](bool on) { drain(on); },
             [this](const std::string& id, bool out) { return maintain(id, out); }}),
      server_(loop, config.mgmt,
              [this](std::unique_ptr<net::Incoming> incoming) { page_.handle(std::move(incoming)); },
              {.connections = kConnections, .body_bytes = kBodies, .one_fault = true}) {
  server_.wind_down();  // one call per connection
  read_file();
  look();
}

void Operations::drain(bool on) {
  if (on == draining_.has_value()) return;
  log::write("drain", on ? "taking no new clients until resumed" : "taking clients again");
  draining_ = on ? std::optional(loop_.now()) : std::nullopt;
  front_.set_ready(!on);
  if (clients_ != nullptr) clients_->wind_down(on);
}

// The file first: another process of this conductor may be the one that serves by the time of the yes.
bool Operations::maintain(const std::string& id, bool out) {
  operations::Ids now;
  const bool written = file_.update([&](const std::string& before) -> std::optional<std::string> {
    const auto ids = before.empty() ? operations::Ids{} : operations::decode(before);
    if (!ids) return std::nullopt;
    now = *ids;
    if (out ? now.size() >= operations::kMostOut : !now.contains(id)) return before;
    out ? void(now.insert(id)) : void(now.erase(id));
    return operations::encode(now);
  });
  log::write("maintenance", id + (out ? " out" : " back") + (written ? "" : ": could not be written down"));
  if (!written || (out && !now.contains(id))) return false;
  conductor_.maintain(std::move(now));
  return true;
}

void Operations::read_file() {
  const std::optional<std::string> text = file_.read();
  if (text && text->empty()) return;
  const auto ids = text ? operations::decode(*text) : std::nullopt;
  // What cannot be read says nothing: whatever is out stays out.
  if (!ids) return log::write("maintenance", "the file of what is out cannot be read; nothing has changed");
  conductor_.maintain(*ids);
}

void Operations::look() {
  if (file_.changed()) read_file();
  if (draining_ && clients_ != nullptr && loop_.now() - *draining_ >= kCloseIdleAfter) {
    clients_->close_idle(kSilent);
  }
  next_ = loop_.at(loop_.now() + kLookEvery, [this] { look(); });
}

}  // namespace bankmux::app
