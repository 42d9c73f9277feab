// Discovery for the appliance: the boxes of its file, asked now and then whether they run, and what the
// operator takes out of service.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
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
  // Follows these boxes from now on. Those that were there under the same name and address keep what is known
  // of them, drains included.
  void reload(const config::Appliance& appliance);
  void subscribe() override {}
  void fetch() override { tell(); }
  // Takes a box out of service, or back; false where there is none of that name.
  bool drain(const std::string& id, bool on);
  // Where several processes share the asking. Left out: this one asks by itself.
  struct Fleet {
    std::function<bool()> asks;  // whether this process has to ask now
    std::function<std::optional<bool>(const std::string&)>
        runs;  // what another has told of a box, if it stands
    std::function<void(const std::map<std::string, bool>&)> heard;  // what this one believes, after asking
  };
  void share(Fleet fleet) { fleet_ = std::move(fleet); }
  // The boxes that operators have taken out, all of them.
  void set_out(const std::set<std::string>& ids);
  [[nodiscard]] bool has(const std::string& id) const;
  // Questions sent to boxes so far.
  [[nodiscard]] std::uint64_t asked() const { return asked_; }
  // Boxes that take new requests.
  [[nodiscard]] std::size_t serving() const;

 private:
  struct Box {
    core::Listed listed;
    bool runs = true;
    bool drained = false;
    int failures = 0;
  };
  void follow(const config::Appliance& appliance);
  void ask();
  void heard(const core::Target& target, bool runs);
  void believe(Box& box, bool runs);
  [[nodiscard]] Box* find(const std::string& id);
  void tell();

  core::Scheduler& scheduler_;
  core::Instances& instances_;
  core::Duration every_;
  News news_;
  std::vector<Box> boxes_;
  std::optional<Fleet> fleet_;
  std::uint64_t asked_ = 0;
  std::unique_ptr<core::Timer> next_;
};

}  // namespace bankmux::net
