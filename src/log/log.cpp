#include "log/log.hpp"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

namespace bankmux::log {

namespace {

constexpr int kMaxLinesPerSecond = 20;  // per topic; a burst of failures must not slow down the loop

struct RateLimit {
  std::chrono::steady_clock::time_point window_start{};
  int lines = 0;
  int dropped = 0;
};

// The pattern closes the JSON object that the message continues. Only one thread logs, so the sink is
// unlocked.
spdlog::logger& sink() {
  static const std::shared_ptr<spdlog::logger> kLogger = [] {
    auto made =
        std::make_shared<spdlog::logger>("bankmux", std::make_shared<spdlog::sinks::stderr_sink_st>());
    made->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})", spdlog::pattern_time_type::utc);
    made->flush_on(spdlog::level::info);
    return made;
  }();
  return *kLogger;
}

std::string quoted(const std::string& text) {
  return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void write_line(const char* topic, const std::string& text, const std::string& more) {
  sink().log(spdlog::level::info, "\"topic\":" + quoted(topic) + ",\"text\":" + quoted(text) + more);
}

bool within_rate_limit(const char* topic) {
  static std::map<std::string, RateLimit> limits;  // topics are string literals, so the map stays small
  RateLimit& limit = limits[topic];
  const auto now = std::chrono::steady_clock::now();
  if (now - limit.window_start >= std::chrono::seconds(1)) {
    if (limit.dropped > 0) write_line(topic, "lines left out", ",\"count\":" + std::to_string(limit.dropped));
    limit = {now, 0, 0};
  }
  if (++limit.lines <= kMaxLinesPerSecond) return true;
  ++limit.dropped;
  return false;
}

}  // namespace

void write(const char* topic, const std::string& text) {
  if (within_rate_limit(topic)) write_line(topic, text, "");
}

void write(const char* topic, const std::string& text, const std::function<nlohmann::json()>& fields) {
  if (!within_rate_limit(topic)) return;
  std::string more = fields().dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  more.pop_back();  // the pattern closes the object
  more.front() = ',';
  write_line(topic, text, more.size() > 1 ? more : "");
}

}  // namespace bankmux::log
