// Discovery for the appliance: the boxes of its file, asked now and then whether they run, and what the
// operator takes out of service.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "config/appliance.hpp"
#include "core/ports.hpp"

namespace bankmux::net {

class BoxWatch : public core::Discovery {
 public:
  using News = std::function<void(core::FleetNews)>;
  BoxWatch(core::Scheduler& scheduler, core::Instances& instances, const config::Appliance& appliance,
           News news);

  // Lists every box as running, then asks.
  void open();
  void subscribe() override {}
  void fetch() override { tell(); }
  // Takes a box out of service, or back; false where there is none of that name.
  bool drain(const std::string& id, bool on);
  // Boxes that take new requests.
  [[nodiscard]] std::size_t serving() const;

 private:
  struct Box {
    core::Listed listed;
    bool runs = true;
    bool drained = false;
    int failures = 0;
  };
  void ask();
  void heard(Box& box, bool runs);
  void tell();

  core::Scheduler& scheduler_;
  core::Instances& instances_;
  core::Duration every_;
  News news_;
  std::vector<Box> boxes_;  // never resized once built
  std::unique_ptr<core::Timer> next_;
};

}  // namespace bankmux::net
