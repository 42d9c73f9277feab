// The core's Instances over HTTP: attempts, places, releases and probes.
#pragma once

#include <list>
#include <memory>
#include <string>

#include "core/ports.hpp"
#include "net/http/payload.hpp"
#include "net/instances/instance_pool.hpp"

namespace bankmux::net {

// The platform's instances, with their states and places; or boxes that speak the OpenAI-style API, public
// parts of it alone.
enum class Dialect { platform, openai };

class InstanceClient : public core::Instances {
 public:
  InstanceClient(Loop& loop, PoolLimits limits, Dialect dialect);
  ~InstanceClient() override;

  std::unique_ptr<core::Attempt> start(const core::Target& target, const core::PayloadPtr& payload,
                                       core::Time not_after, core::ConnectionTerms terms,
                                       std::function<bool()> may_write, core::AttemptEvents& events) override;
  // Goes on with an attempt in the middle of its stream, as another process passed it on; takes the
  // descriptor. Null where the state can't be read.
  std::unique_ptr<core::Attempt> take_over(const std::string& address, const core::Passed& passed,
                                           core::AttemptEvents& events);
  void claim(const core::Target& target, const core::PayloadPtr& payload, std::function<bool()> may_write,
             std::function<void(core::ClaimAnswer)> done) override;
  void release(const core::Target& target, const core::PayloadPtr& payload, core::ConnectionTerms terms,
               std::function<bool()> may_write, std::function<void(bool)> done) override;
  void probe(const core::Target& target, std::function<bool()> may_write,
             std::function<void(const core::AttemptResult&)> done) override;
  void forget(const core::Target& target) override;

  [[nodiscard]] std::size_t connections() const { return pool_.open(); }

 private:
  class Call;
  void call(const core::Target& target, std::string request, core::ConnectionTerms terms,
            std::function<bool()> may_write, std::function<void(const Call&, bool whole)> done);

  Loop& loop_;
  InstancePool pool_;
  Dialect dialect_;
  std::list<std::unique_ptr<Call>> calls_;  // claims, releases and probes that are out
};

}  // namespace bankmux::net
