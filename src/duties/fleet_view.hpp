// What a fleet on one store tells of its boxes: the prober's report and the operators' words, as text and
// back, and whether a report may still stand for asking oneself. Pure.
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

constexpr std::string_view kProber = "prober";      // asks each box on behalf of all
constexpr std::string_view kReportName = "report";  // under its name, what it heard
constexpr std::string_view kOutPrefix = "out/";     // boxes that operators have taken out, for all
constexpr std::size_t kMostBoxes = 4096;            // in one report

struct Report {
  std::uint64_t number = 0;          // grows with each report of one owner
  std::map<std::string, bool> runs;  // by box: whether it answered, to the prober's best knowledge
};

std::string encode(const Report& report);
// Nothing where it is not what encode() writes.
std::optional<Report> decode_report(std::string_view text);

// A report counts from when this member first saw it: clocks of other machines play no part.
class FleetView {
 public:
  // `fresh_for`: as long as a report stands for asking oneself.
  explicit FleetView(Time fresh_for) : fresh_for_(fresh_for) {}

  // What the store holds of the prober's report, by the revision of its last write. True where it is news.
  bool heard(Time now, std::uint64_t revision, std::string_view text);
  // Whether this member has to ask the boxes itself: it owns the duty, or nobody has told of late.
  [[nodiscard]] bool asks(Time now, bool owner) const;
  // Of a fresh report; nothing where it does not tell of that box.
  [[nodiscard]] std::optional<bool> runs(Time now, const std::string& box) const;
  [[nodiscard]] std::optional<Time> age(Time now) const;

 private:
  Time fresh_for_;
  std::uint64_t revision_ = 0;
  std::optional<Time> at_;
  Report report_;
};

}  // namespace bankmux::duties
