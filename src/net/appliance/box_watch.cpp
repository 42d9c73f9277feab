#include "net/appliance/box_watch.hpp"

#include <algorithm>
#include <utility>

#include "codec.hpp"

namespace bankmux::net {

using eiderarch::EngineState;

namespace {

constexpr int kFailuresToGone = 2;  // one lost call alone takes nothing out of service

}  // namespace

BoxWatch::BoxWatch(core::Scheduler& scheduler, core::Instances& instances, const config::Appliance& appliance,
                   News news)
    : scheduler_(scheduler), instances_(instances), every_(appliance.check_every), news_(std::move(news)) {
  follow(appliance);
}

void BoxWatch::follow(const config::Appliance& appliance) {
  const std::vector<Box> before = std::exchange(boxes_, {});
  every_ = appliance.check_every;
  for (const config::Box& box : appliance.boxes) {
    Box now;
    const auto old = std::ranges::find_if(before, [&box](const Box& other) {
      return other.listed.id == box.id && other.listed.address == box.address;
    });
    if (old != before.end()) now = *old;
    now.listed.id = box.id;
    now.listed.address = box.address;
    now.listed.entry.engine = eiderarch::wire::key_of(box.id);
    now.listed.entry.rating = box.weight;
    // Another process under a name that is known: it is cold, and keeps nothing.
    const bool moved = old == before.end() && std::ranges::any_of(before, [&box](const Box& other) {
                         return other.listed.id == box.id;
                       });
    if (moved) now.listed.entry.started = scheduler_.now();
    boxes_.push_back(std::move(now));
  }
}

void BoxWatch::reload(const config::Appliance& appliance) {
  follow(appliance);
  open();
}

void BoxWatch::open() {
  tell();
  ask();
}

void BoxWatch::ask() {
  for (const Box& box : boxes_) {
    const core::Target target{box.listed.entry.engine, box.listed.id, box.listed.address};
    instances_.probe(target, [this, target](const core::AttemptResult& result) {
      heard(target, result.verdict != core::Verdict::broken);
    });
  }
  next_ = scheduler_.at(scheduler_.now() + every_, [this] { ask(); });
}

void BoxWatch::heard(const core::Target& target, bool runs) {
  Box* const found = find(target.id);
  // A reload may have taken it from the list, or moved it, since it was asked.
  if (found == nullptr || found->listed.address != target.address) return;
  Box& box = *found;
  box.failures = runs ? 0 : box.failures + 1;
  const bool now_runs = box.failures < kFailuresToGone;
  if (now_runs == box.runs) return;
  box.runs = now_runs;
  // It may have started anew meanwhile, and is treated as cold.
  if (now_runs) box.listed.entry.started = scheduler_.now();
  tell();
}

BoxWatch::Box* BoxWatch::find(const std::string& id) {
  const auto box = std::ranges::find(boxes_, id, [](const Box& b) { return b.listed.id; });
  return box == boxes_.end() ? nullptr : &*box;
}

bool BoxWatch::drain(const std::string& id, bool on) {
  Box* const box = find(id);
  if (box == nullptr) return false;
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
