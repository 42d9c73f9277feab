#include "app/console.hpp"

#include <sys/ioctl.h>
#include <termios.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <functional>
#include <optional>
#include <vector>

#include "config/address.hpp"
#include "net/loop/loop.hpp"

namespace bankmux::app {

using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr core::Duration kRefreshInterval = 1s;
constexpr int kRequestTimeoutSeconds = 2;
constexpr int kBarWidth = 20;

std::string padded(std::string text, std::size_t width) {
  text.resize(std::max(width, text.size()), ' ');
  return text;
}

std::string truncated(const std::string& text, int columns) {
  return text.substr(0, std::size_t(std::max(columns, 1)));
}

std::string bar(double fraction) {
  const int filled = int(std::lround(std::clamp(fraction, 0.0, 1.0) * kBarWidth));
  std::string text(std::size_t(kBarWidth) + 2, '.');
  text.front() = '[';
  text.back() = ']';
  std::fill_n(text.begin() + 1, filled, '#');
  return text;
}

// Switches the terminal to unbuffered input without echo and to the alternate screen; the destructor restores
// it.
class RawTerminal {
 public:
  RawTerminal() {
    tcgetattr(STDIN_FILENO, &original_);
    termios raw = original_;
    raw.c_lflag &= ~tcflag_t(ICANON | ECHO);
    tcsetattr(STDIN_FILENO, TCSANOW, &raw);
    write("\x1b[?1049h\x1b[?25l");
  }
  ~RawTerminal() {
    write("\x1b[?25h\x1b[?1049l");
    tcsetattr(STDIN_FILENO, TCSANOW, &original_);
  }
  RawTerminal(const RawTerminal&) = delete;
  RawTerminal& operator=(const RawTerminal&) = delete;

  static void write(const std::string& text) {
    std::fwrite(text.data(), 1, text.size(), stdout);
    std::fflush(stdout);
  }
  static int columns() {
    winsize size{};
    return ioctl(STDOUT_FILENO, TIOCGWINSZ, &size) == 0 && size.ws_col > 0 ? size.ws_col : 80;
  }

 private:
  termios original_{};
};

class Console {
 public:
  Console(const config::Address& at, bool once) : endpoint_(at), once_(once) {}

  int run() {
    std::function<void()> stop = [this] { loop_.stop(); };
    const net::EventPtr interrupt = loop_.on_signal(SIGINT, &stop);
    const net::EventPtr term = loop_.on_signal(SIGTERM, &stop);
    std::optional<RawTerminal> terminal;
    if (!once_) {
      terminal.emplace();
      keys_.reset(event_new(
          loop_.base(), STDIN_FILENO, EV_READ | EV_PERSIST,
          [](evutil_socket_t, short, void* self) {
            net::run_guarded("console", [self] { static_cast<Console*>(self)->read_keys(); });
          },
          this));
      event_add(keys_.get(), nullptr);
    }
    request_status();
    loop_.run();
    return exit_code_;
  }

 private:
  void send_request(evhttp_cmd_type method, const std::string& path) {
    connection_.reset(evhttp_connection_base_bufferevent_new(loop_.base(), nullptr, nullptr,
                                                             endpoint_.host.c_str(), endpoint_.port));
    evhttp_connection_set_timeout(connection_.get(), kRequestTimeoutSeconds);
    evhttp_request* request = evhttp_request_new(
        [](evhttp_request* response, void* self) {
          net::run_guarded("console", [&] { static_cast<Console*>(self)->handle_response(response); });
        },
        this);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", endpoint_.host.c_str());
    evhttp_make_request(connection_.get(), request, method, path.c_str());
  }

  void request_status() {
    send_request(EVHTTP_REQ_GET, "/-/status");
    next_request_ = loop_.at(loop_.now() + kRefreshInterval, [this] { request_status(); });
  }

  void handle_response(evhttp_request* response) {
    const int status = response == nullptr ? 0 : evhttp_request_get_response_code(response);
    if (status == 204) {
      // A drain or resume succeeded: refresh at once. Scheduled through the loop because the connection must
      // not be replaced inside its own callback.
      next_request_ = loop_.at(loop_.now(), [this] { request_status(); });
      return;
    }
    std::string text = "no answer from " + endpoint_.host + ":" + std::to_string(endpoint_.port) + "\n";
    bool valid = false;
    if (status == 200) {
      evbuffer* input = evhttp_request_get_input_buffer(response);
      std::string body(evbuffer_get_length(input), '\0');
      evbuffer_remove(input, body.data(), body.size());
      try {
        status_ = json::parse(body);
        text = render_status(status_, once_ ? 100 : RawTerminal::columns(), once_ ? -1 : selected_);
        valid = true;
      } catch (const json::exception&) {
        text = "the page there is not an appliance's\n";
      }
    }
    if (once_) {
      std::fputs(text.c_str(), valid ? stdout : stderr);
      exit_code_ = valid ? 0 : 1;
      return loop_.stop();
    }
    redraw(text);
  }

  static void redraw(const std::string& text) { RawTerminal::write("\x1b[H\x1b[J" + text); }

  void read_keys() {
    char keys[64];
    const ssize_t count = read(STDIN_FILENO, keys, sizeof keys);
    if (count <= 0) return loop_.stop();
    const std::string_view key_sequence(keys, std::size_t(count));
    const int instances = status_.contains("boxes") ? int(status_["boxes"].size()) : 0;
    if (key_sequence == "q") return loop_.stop();
    if (key_sequence == "\x1b[A" || key_sequence == "k") selected_ = std::max(selected_ - 1, 0);
    if (key_sequence == "\x1b[B" || key_sequence == "j")
      selected_ = std::min(selected_ + 1, std::max(instances - 1, 0));
    if (key_sequence == "D") return send_request(EVHTTP_REQ_POST, "/-/drain");
    if (key_sequence == "R") return send_request(EVHTTP_REQ_POST, "/-/resume");
    if ((key_sequence == "d" || key_sequence == "r") && selected_ < instances) {
      const std::string id = status_["boxes"][std::size_t(selected_)].value("id", "");
      return send_request(EVHTTP_REQ_POST, "/-/boxes/" + id + (key_sequence == "d" ? "/drain" : "/resume"));
    }
    if (instances > 0) redraw(render_status(status_, RawTerminal::columns(), selected_));
  }

  config::Address endpoint_;
  bool once_;
  net::Loop loop_;
  net::EventPtr keys_;
  std::unique_ptr<evhttp_connection, net::Deleter<evhttp_connection_free>> connection_;
  std::unique_ptr<core::Timer> next_request_;
  json status_ = json::object();
  int selected_ = 0;
  int exit_code_ = 0;
};

// Appends the idempotency ledger, the API keys and the use per tenant. Tenants are left out without API keys,
// because all requests then count as one tenant.
void append_admission(const json& status, std::vector<std::string>& lines) {
  const auto door_status = status.find("door");
  if (door_status == status.end()) return;
  const json& ledger = door_status->at("ledger");
  lines.push_back("");
  lines.push_back("ledger    " + ledger.at("entries").dump() + " of " + ledger.at("most").dump() +
                  " requests kept, " + std::to_string(ledger.at("answer_bytes").get<std::uint64_t>() / 1024) +
                  " KiB of answers");
  if (door_status->at("keys").is_null()) {
    lines.push_back("keys      none: whoever reaches the chat API may ask");
    return;
  }
  lines.push_back("keys      " + door_status->at("keys").dump() + ", turned away with an unknown one " +
                  door_status->at("unknown_keys").dump());
  lines.push_back("");
  lines.push_back("  " + padded("tenant", 18) + padded("open", 8) + padded("admitted", 10) +
                  padded("tokens", 12) + padded("limited", 9) + padded("over share", 12) + "replayed");
  for (const json& tenant : door_status->at("tenants")) {
    lines.push_back("  " + padded(truncated(tenant.at("tenant").get<std::string>(), 17), 18) +
                    padded(tenant.at("open").dump(), 8) + padded(tenant.at("admitted").dump(), 10) +
                    padded(tenant.at("tokens").dump(), 12) + padded(tenant.at("limited").dump(), 9) +
                    padded(tenant.at("over_share").dump(), 12) + tenant.at("replayed").dump());
  }
}

}  // namespace

std::string render_status(const json& status, int columns, int selected) {
  const json& requests = status.at("requests");
  const auto counter = [&requests](const char* name) {
    return std::to_string(requests.at(name).get<long long>());
  };
  std::vector<std::string> lines;
  lines.push_back(status.at("name").get<std::string>() + "   " + status.at("standing").get<std::string>() +
                  "   running " + std::to_string(status.at("uptime_s").get<long long>()) + " s");
  const double max_open = std::max(1.0, requests.at("most").get<double>());
  lines.push_back("requests  open " + counter("open") + " of " + counter("most") + " " +
                  bar(requests.at("open").get<double>() / max_open));
  lines.push_back("          taken " + counter("taken") + "  served " + counter("served") + "  refused " +
                  counter("refused") + "  failed " + counter("failed") + "  broken " + counter("broken") +
                  "  client gone " + counter("client_gone") + "  attempts " + counter("attempts"));
  lines.push_back("          lost streams that went on " + counter("continued") + "  saved " +
                  counter("saved") + "  end added " + counter("end_added") + "  given up for silence " +
                  counter("suspected"));
  lines.push_back("");
  lines.push_back("  " + padded("box", 18) + padded("address", 23) + padded("state", 8) +
                  padded("weight", 8) + "out");
  const json& instances = status.at("boxes");
  long long max_in_flight = 1;
  for (const json& instance : instances)
    max_in_flight = std::max(max_in_flight, instance.at("out").get<long long>());
  for (std::size_t i = 0; i < instances.size(); ++i) {
    const json& instance = instances[i];
    char weight[16];
    std::snprintf(weight, sizeof weight, "%.2f", instance.at("weight").get<double>());
    const auto in_flight = instance.at("out").get<long long>();
    lines.push_back((int(i) == selected ? "> " : "  ") + padded(instance.at("id").get<std::string>(), 18) +
                    padded(instance.at("address").get<std::string>(), 23) +
                    padded(instance.at("state").get<std::string>(), 8) + padded(weight, 8) +
                    padded(std::to_string(in_flight), 5) + bar(double(in_flight) / double(max_in_flight)));
  }
  append_admission(status, lines);
  if (selected >= 0) {
    lines.push_back("");
    lines.push_back("up/down select   d drain box   r resume box   D drain all   R resume all   q quit");
  }
  std::string text;
  for (const std::string& line : lines) text += truncated(line, columns) + "\n";
  return text;
}

int console(const std::string& address, bool once) {
  const auto at = config::Address::parse(address);
  if (!at) {
    std::fprintf(stderr, "bankmux: '--connect' is not an IPv4 address and port: '%s'\n", address.c_str());
    return 2;
  }
  return Console(*at, once || isatty(STDOUT_FILENO) == 0 || isatty(STDIN_FILENO) == 0).run();
}

}  // namespace bankmux::app
