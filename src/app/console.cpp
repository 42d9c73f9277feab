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

constexpr core::Duration kDrawEvery = 1s;
constexpr int kPatienceSeconds = 2;
constexpr int kBar = 20;

std::string padded(std::string text, std::size_t width) {
  text.resize(std::max(width, text.size()), ' ');
  return text;
}

std::string cut(const std::string& text, int columns) {
  return text.substr(0, std::size_t(std::max(columns, 1)));
}

std::string bar(double part) {
  const int full = int(std::lround(std::clamp(part, 0.0, 1.0) * kBar));
  std::string text(std::size_t(kBar) + 2, '.');
  text.front() = '[';
  text.back() = ']';
  std::fill_n(text.begin() + 1, full, '#');
  return text;
}

// Keys come one by one and unseen; the terminal is as before once this is gone.
class RawTerminal {
 public:
  RawTerminal() {
    tcgetattr(STDIN_FILENO, &before_);
    termios raw = before_;
    raw.c_lflag &= ~tcflag_t(ICANON | ECHO);
    tcsetattr(STDIN_FILENO, TCSANOW, &raw);
    write("\x1b[?1049h\x1b[?25l");
  }
  ~RawTerminal() {
    write("\x1b[?25h\x1b[?1049l");
    tcsetattr(STDIN_FILENO, TCSANOW, &before_);
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
  termios before_{};
};

class Console {
 public:
  Console(const config::Address& at, bool once) : at_(at), once_(once) {}

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
            net::guarded("console", [self] { static_cast<Console*>(self)->read_keys(); });
          },
          this));
      event_add(keys_.get(), nullptr);
    }
    ask();
    loop_.run();
    return code_;
  }

 private:
  void call(evhttp_cmd_type method, const std::string& path) {
    connection_.reset(
        evhttp_connection_base_bufferevent_new(loop_.base(), nullptr, nullptr, at_.host.c_str(), at_.port));
    evhttp_connection_set_timeout(connection_.get(), kPatienceSeconds);
    evhttp_request* request = evhttp_request_new(
        [](evhttp_request* answer, void* self) {
          net::guarded("console", [&] { static_cast<Console*>(self)->answered(answer); });
        },
        this);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", at_.host.c_str());
    evhttp_make_request(connection_.get(), request, method, path.c_str());
  }

  void ask() {
    call(EVHTTP_REQ_GET, "/-/status");
    next_ = loop_.at(loop_.now() + kDrawEvery, [this] { ask(); });
  }

  void answered(evhttp_request* answer) {
    const int status = answer == nullptr ? 0 : evhttp_request_get_response_code(answer);
    if (status == 204) {
      // Asked at once whether the word has been taken; from the loop, for this connection is calling.
      next_ = loop_.at(loop_.now(), [this] { ask(); });
      return;
    }
    std::string text = "no answer from " + at_.host + ":" + std::to_string(at_.port) + "\n";
    bool well = false;
    if (status == 200) {
      evbuffer* input = evhttp_request_get_input_buffer(answer);
      std::string body(evbuffer_get_length(input), '\0');
      evbuffer_remove(input, body.data(), body.size());
      try {
        status_ = json::parse(body);
        text = draw(status_, once_ ? 100 : RawTerminal::columns(), once_ ? -1 : selected_);
        well = true;
      } catch (const json::exception&) {
        text = "the page there is not an appliance's\n";
      }
    }
    if (once_) {
      std::fputs(text.c_str(), well ? stdout : stderr);
      code_ = well ? 0 : 1;
      return loop_.stop();
    }
    show(text);
  }

  static void show(const std::string& text) { RawTerminal::write("\x1b[H\x1b[J" + text); }

  void read_keys() {
    char keys[64];
    const ssize_t got = read(STDIN_FILENO, keys, sizeof keys);
    if (got <= 0) return loop_.stop();
    const std::string_view typed(keys, std::size_t(got));
    const int boxes = status_.contains("boxes") ? int(status_["boxes"].size()) : 0;
    if (typed == "q") return loop_.stop();
    if (typed == "\x1b[A" || typed == "k") selected_ = std::max(selected_ - 1, 0);
    if (typed == "\x1b[B" || typed == "j") selected_ = std::min(selected_ + 1, std::max(boxes - 1, 0));
    if (typed == "D") return call(EVHTTP_REQ_POST, "/-/drain");
    if (typed == "R") return call(EVHTTP_REQ_POST, "/-/resume");
    if ((typed == "d" || typed == "r") && selected_ < boxes) {
      const std::string id = status_["boxes"][std::size_t(selected_)].value("id", "");
      return call(EVHTTP_REQ_POST, "/-/boxes/" + id + (typed == "d" ? "/drain" : "/resume"));
    }
    if (boxes > 0) show(draw(status_, RawTerminal::columns(), selected_));
  }

  config::Address at_;
  bool once_;
  net::Loop loop_;
  net::EventPtr keys_;
  std::unique_ptr<evhttp_connection, net::Freed<evhttp_connection_free>> connection_;
  std::unique_ptr<core::Timer> next_;
  json status_ = json::object();
  int selected_ = 0;
  int code_ = 0;
};

// Who asks, and what is kept of it; an appliance without keys has one tenant, which says nothing.
void draw_door(const json& status, std::vector<std::string>& lines) {
  const auto door = status.find("door");
  if (door == status.end()) return;
  const json& ledger = door->at("ledger");
  lines.push_back("");
  lines.push_back("ledger    " + ledger.at("entries").dump() + " of " + ledger.at("most").dump() +
                  " requests kept, " + std::to_string(ledger.at("answer_bytes").get<std::uint64_t>() / 1024) +
                  " KiB of answers");
  if (door->at("keys").is_null()) {
    lines.push_back("keys      none: whoever reaches the chat API may ask");
    return;
  }
  lines.push_back("keys      " + door->at("keys").dump() + ", turned away with an unknown one " +
                  door->at("unknown_keys").dump());
  lines.push_back("");
  lines.push_back("  " + padded("tenant", 18) + padded("open", 8) + padded("admitted", 10) +
                  padded("tokens", 12) + padded("limited", 9) + padded("over share", 12) + "replayed");
  for (const json& tenant : door->at("tenants")) {
    lines.push_back("  " + padded(cut(tenant.at("tenant").get<std::string>(), 17), 18) +
                    padded(tenant.at("open").dump(), 8) + padded(tenant.at("admitted").dump(), 10) +
                    padded(tenant.at("tokens").dump(), 12) + padded(tenant.at("limited").dump(), 9) +
                    padded(tenant.at("over_share").dump(), 12) + tenant.at("replayed").dump());
  }
}

}  // namespace

std::string draw(const json& status, int columns, int selected) {
  const json& requests = status.at("requests");
  const auto figure = [&requests](const char* name) {
    return std::to_string(requests.at(name).get<long long>());
  };
  std::vector<std::string> lines;
  lines.push_back(status.at("name").get<std::string>() + "   " + status.at("standing").get<std::string>() +
                  "   running " + std::to_string(status.at("uptime_s").get<long long>()) + " s");
  const double most = std::max(1.0, requests.at("most").get<double>());
  lines.push_back("requests  open " + figure("open") + " of " + figure("most") + " " +
                  bar(requests.at("open").get<double>() / most));
  lines.push_back("          taken " + figure("taken") + "  served " + figure("served") + "  refused " +
                  figure("refused") + "  failed " + figure("failed") + "  broken " + figure("broken") +
                  "  client gone " + figure("client_gone") + "  attempts " + figure("attempts"));
  lines.push_back("          lost streams that went on " + figure("continued") + "  saved " +
                  figure("saved") + "  end added " + figure("end_added") + "  given up for silence " +
                  figure("suspected"));
  lines.push_back("");
  lines.push_back("  " + padded("box", 18) + padded("address", 23) + padded("state", 8) +
                  padded("weight", 8) + "out");
  const json& boxes = status.at("boxes");
  long long busiest = 1;
  for (const json& box : boxes) busiest = std::max(busiest, box.at("out").get<long long>());
  for (std::size_t i = 0; i < boxes.size(); ++i) {
    const json& box = boxes[i];
    char weight[16];
    std::snprintf(weight, sizeof weight, "%.2f", box.at("weight").get<double>());
    const auto out = box.at("out").get<long long>();
    lines.push_back((int(i) == selected ? "> " : "  ") + padded(box.at("id").get<std::string>(), 18) +
                    padded(box.at("address").get<std::string>(), 23) +
                    padded(box.at("state").get<std::string>(), 8) + padded(weight, 8) +
                    padded(std::to_string(out), 5) + bar(double(out) / double(busiest)));
  }
  draw_door(status, lines);
  if (selected >= 0) {
    lines.push_back("");
    lines.push_back("up/down select   d drain box   r resume box   D drain all   R resume all   q quit");
  }
  std::string text;
  for (const std::string& line : lines) text += cut(line, columns) + "\n";
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
