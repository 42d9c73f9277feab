#include "app/log.hpp"

#include <chrono>
#include <cstdio>
#include <map>

namespace bankmux::app {

namespace {

constexpr int kLinesPerSecond = 20;  // for each topic; a storm of failures must not cost the loop its time

struct Quota {
  std::chrono::steady_clock::time_point since{};
  int lines = 0;
  int dropped = 0;
};

}  // namespace

void log(const char* topic, const std::string& text) {
  static std::map<std::string, Quota> quotas;  // topics are literals, so there are few
  Quota& quota = quotas[topic];
  const auto now = std::chrono::steady_clock::now();
  if (now - quota.since >= std::chrono::seconds(1)) {
    if (quota.dropped > 0) std::fprintf(stderr, "%s: %d more lines\n", topic, quota.dropped);
    quota = {now, 0, 0};
  }
  if (++quota.lines > kLinesPerSecond) {
    ++quota.dropped;
    return;
  }
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  const double seconds = std::chrono::duration<double>(wall).count();
  std::fprintf(stderr, "%.3f %s: %s\n", seconds, topic, text.c_str());
}

}  // namespace bankmux::app
