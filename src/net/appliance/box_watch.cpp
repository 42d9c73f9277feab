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
  next_ = scheduler_.at(scheduler_.now() + every_, [this] { ask(); });
  if (fleet_ && !fleet_->asks()) {
    for (Box& box : boxes_) {
      if (const auto runs = fleet_->runs(box.listed.id)) believe(box, *runs);
    }
    return;
  }
  if (fleet_ && fleet_->heard) {
    std::map<std::string, bool> all;  // by the answers of the round before
    for (const Box& box : boxes_) all[box.listed.id] = box.runs;
    fleet_->heard(all);
  }
  for (const Box& box : boxes_) {
    ++asked_;
    const core::Target target{box.listed.entry.engine, box.listed.id, box.listed.address};
    const auto may_write = [] { return true; };
    instances_.probe(target, may_write, [this, target](const core::AttemptResult& result) {
      heard(target, result.verdict != core::Verdict::broken);
    });
  }
}

void BoxWatch::heard(const core::Target& target, bool runs) {
  Box* const found = find(target.id);
  // A reload may have taken it from the list, or moved it, since it was asked.
  if (found == nullptr || found->listed.address != target.address) return;
  Box& box = *found;
  box.failures = runs ? 0 : box.failures + 1;
  believe(box, box.failures < kFailuresToGone);
}

void BoxWatch::believe(Box& box, bool runs) {
  if (runs == box.runs) return;
  box.runs = runs;
  if (!runs) box.failures = kFailuresToGone;
  // It may have started anew meanwhile, and is treated as cold.
  if (runs) box.listed.entry.started = scheduler_.now();
  tell();
}

void BoxWatch::set_out(const std::set<std::string>& ids) {
  bool changed = false;
  for (Box& box : boxes_) {
    const bool out = ids.contains(box.listed.id);
    changed |= std::exchange(box.drained, out) != out;
  }
  if (changed) tell();
}

bool BoxWatch::has(const std::string& id) const {
  return std::ranges::any_of(boxes_, [&id](const Box& box) { return box.listed.id == id; });
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
