#include "app/serve.hpp"

#include <chrono>
#include <csignal>
#include <memory>

#include "app/log.hpp"
#include "core/conductor.hpp"
#include "net/discovery_watch.hpp"
#include "net/http_server.hpp"
#include "net/instance_client.hpp"
#include "net/platform_front.hpp"

namespace bankmux::app {

using namespace std::chrono_literals;

namespace {

constexpr core::Duration kAccepting = 500ms;          // after SIGTERM: the front layer notices late
constexpr core::Duration kWatchEnd = 20ms;            // how often it is looked whether all is answered
constexpr std::size_t kOwnSockets = 64;               // loop, log, discovery, listener and some to spare
constexpr std::size_t kBytesPerRequest = 300 * 1024;  // the largest body and what goes with it

class Server {
 public:
  explicit Server(const config::Config& config)
      : config_(config),
        instances_(loop_, pool_limits()),
        discovery_(loop_, config_, [this](core::FleetNews news) { conductor_.news(std::move(news)); }),
        conductor_(core_settings(), loop_, instances_, discovery_,
                   [](const char* topic, const std::string& text) { log(topic, text); }),
        front_(conductor_, loop_, config_.classes),
        server_(
            loop_, config_.listen,
            [this](std::unique_ptr<net::Incoming> incoming) { front_.handle(std::move(incoming)); },
            sockets() * 45 / 100) {}

  int run() {
    std::signal(SIGPIPE, SIG_IGN);
    std::function<void()> wind_down = [this] { begin_end(); };
    const net::EventPtr term = loop_.on_signal(SIGTERM, &wind_down);
    const net::EventPtr interrupt = loop_.on_signal(SIGINT, &wind_down);
    conductor_.news(config_.known);  // the known list serves until discovery does
    discovery_.open();
    log("start", config_.name + " serves at " + config_.listen);
    loop_.run();
    const core::Figures& f = conductor_.figures();
    log("stop", "taken " + std::to_string(f.taken) + ", served " + std::to_string(f.served) + ", refused " +
                    std::to_string(f.refused) + ", failed " + std::to_string(f.failed) + ", broken " +
                    std::to_string(f.broken) + ", gone " + std::to_string(f.gone));
    return 0;
  }

 private:
  [[nodiscard]] std::size_t sockets() const {
    return config_.sockets > 2 * kOwnSockets ? config_.sockets - kOwnSockets : kOwnSockets;
  }
  [[nodiscard]] net::PoolLimits pool_limits() const {
    return {config_.connect_timeout, config_.idle_timeout * 4 / 5, sockets() / 2};
  }
  [[nodiscard]] core::ConductorSettings core_settings() const {
    core::ConductorSettings s;
    s.module = config_.module;
    s.max_requests =
        std::min(sockets() * 45 / 100, config_.memory_mb * 1024 * 1024 * 6 / 10 / kBytesPerRequest);
    return s;
  }

  // Accepts for a while yet, closes what is idle, answers what was taken, ends.
  void begin_end() {
    if (ending_) return loop_.stop();  // a second signal means now
    ending_ = true;
    front_.set_ready(false);
    server_.wind_down();
    timer_ = loop_.at(loop_.now() + kAccepting, [this] {
      server_.stop_listening();
      watch_end();
    });
  }

  void watch_end() {
    server_.close_idle();
    if (conductor_.open_requests() == 0 && !conductor_.releasing() && server_.connections() == 0)
      return loop_.stop();
    timer_ = loop_.at(loop_.now() + kWatchEnd, [this] { watch_end(); });
  }

  config::Config config_;
  net::Loop loop_;
  net::InstanceClient instances_;
  net::DiscoveryWatch discovery_;
  core::Conductor conductor_;
  net::PlatformFront front_;
  net::HttpServer server_;
  std::unique_ptr<core::Timer> timer_;
  bool ending_ = false;
};

}  // namespace

int serve(const config::Config& config) { return Server(config).run(); }

}  // namespace bankmux::app
