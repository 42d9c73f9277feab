#include "log/log.hpp"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

namespace bankmux::log {

namespace {

constexpr int kLinesPerSecond = 20;  // for each topic; a storm of failures must not cost the loop its time

struct Quota {
  std::chrono::steady_clock::time_point since{};
  int lines = 0;
  int dropped = 0;
};

// The pattern closes the object that the message continues. One thread writes, so the sink takes no lock.
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

void line(const char* topic, const std::string& text, const std::string& more) {
  sink().log(spdlog::level::info, "\"topic\":" + quoted(topic) + ",\"text\":" + quoted(text) + more);
}

bool allowed(const char* topic) {
  static std::map<std::string, Quota> quotas;  // topics are literals, so there are few
  Quota& quota = quotas[topic];
  const auto now = std::chrono::steady_clock::now();
  if (now - quota.since >= std::chrono::seconds(1)) {
    if (quota.dropped > 0) line(topic, "lines left out", ",\"count\":" + std::to_string(quota.dropped));
    quota = {now, 0, 0};
  }
  if (++quota.lines <= kLinesPerSecond) return true;
  ++quota.dropped;
  return false;
}

}  // namespace

void write(const char* topic, const std::string& text) {
  if (allowed(topic)) line(topic, text, "");
}

void write(const char* topic, const std::string& text, const std::function<nlohmann::json()>& fields) {
  if (!allowed(topic)) return;
  std::string more = fields().dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  more.pop_back();  // the pattern closes the object
  more.front() = ',';
  line(topic, text, more.size() > 1 ? more : "");
}

}  // namespace bankmux::log
