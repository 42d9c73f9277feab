// Health reports on instances that a fleet shares through its coordination store: encoding and decoding of
// the prober's report, and the decision whether it is recent enough to replace this member's own checks.
// Performs no I/O.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace bankmux::duties {

using Time = std::chrono::microseconds;

constexpr std::string_view kProber = "prober";      // the duty of checking every instance for the whole fleet
constexpr std::string_view kReportName = "report";  // name of the stored report of the prober
constexpr std::string_view kOutPrefix = "out/";     // instances that operators have drained fleet-wide
constexpr std::size_t kMostBoxes = 4096;            // most instances in one report

struct HealthReport {
  std::uint64_t number = 0;             // increases with each report of one owner
  std::map<std::string, bool> running;  // by instance: whether it answered, as far as the prober knows
};

std::string encode(const HealthReport& report);
// Returns nothing if the text is not in the format of encode().
std::optional<HealthReport> decode_report(std::string_view text);

// The latest report, as seen by one member. Its age counts from when this member first saw it, so that clocks
// of other machines do not matter.
class SharedHealthView {
 public:
  // `max_age`: how long a report replaces this member's own checks.
  explicit SharedHealthView(Time max_age) : max_age_(max_age) {}

  // Takes the stored report and the revision of its last write. Returns true if it was newer and valid.
  bool update(Time now, std::uint64_t revision, std::string_view text);
  // Whether this member has to check the instances itself: it owns the duty, or there is no recent report.
  [[nodiscard]] bool must_check(Time now, bool owner) const;
  // Whether an instance answered, by a recent report; nothing if the report does not contain the instance.
  [[nodiscard]] std::optional<bool> is_running(Time now, const std::string& instance) const;
  // Time since this member first saw the latest report.
  [[nodiscard]] std::optional<Time> age(Time now) const;

 private:
  Time max_age_;
  std::uint64_t revision_ = 0;
  std::optional<Time> received_at_;
  HealthReport report_;
};

}  // namespace bankmux::duties
