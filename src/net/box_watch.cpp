#include "net/box_watch.hpp"

#include <algorithm>

#include "codec.hpp"

namespace bankmux::net {

using eiderarch::EngineState;

namespace {

constexpr int kFailuresToGone = 2;  // one lost call alone takes nothing out of service

}  // namespace

BoxWatch::BoxWatch(core::Scheduler& scheduler, core::Instances& instances, const config::Appliance& appliance,
                   News news)
    : scheduler_(scheduler), instances_(instances), every_(appliance.check_every), news_(std::move(news)) {
  for (const config::Box& box : appliance.boxes) {
    core::Listed listed;
    listed.id = box.id;
    listed.address = box.address;
    listed.entry.engine = eiderarch::wire::key_of(box.id);
    listed.entry.rating = box.weight;
    boxes_.push_back({std::move(listed)});
  }
}

void BoxWatch::open() {
  tell();
  ask();
}

void BoxWatch::ask() {
  for (Box& box : boxes_) {
    const core::Target target{box.listed.entry.engine, box.listed.id, box.listed.address};
    instances_.probe(target, [this, &box](const core::AttemptResult& result) {
      heard(box, result.verdict != core::Verdict::broken);
    });
  }
  next_ = scheduler_.at(scheduler_.now() + every_, [this] { ask(); });
}

void BoxWatch::heard(Box& box, bool runs) {
  box.failures = runs ? 0 : box.failures + 1;
  const bool now_runs = box.failures < kFailuresToGone;
  if (now_runs == box.runs) return;
  box.runs = now_runs;
  // It may have started anew meanwhile, and is treated as cold.
  if (now_runs) box.listed.entry.started = scheduler_.now();
  tell();
}

bool BoxWatch::drain(const std::string& id, bool on) {
  const auto box = std::ranges::find(boxes_, id, [](const Box& b) { return b.listed.id; });
  if (box == boxes_.end()) return false;
  box->drained = on;
  tell();
  return true;
}

std::size_t BoxWatch::serving() const {
  return std::size_t(std::ranges::count_if(boxes_, [](const Box& b) { return b.runs && !b.drained; }));
}

void BoxWatch::tell() {
  core::FleetNews news{eiderarch::ListScope::complete, {}};
  for (Box& box : boxes_) {
    box.listed.entry.state = !box.runs     ? EngineState::gone
                             : box.drained ? EngineState::draining
                                           : EngineState::live;
    news.entries.push_back(box.listed);
  }
  news_(std::move(news));
}

}  // namespace bankmux::net
