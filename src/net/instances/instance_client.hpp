// Implements core::Instances over HTTP: attempts, claims of decode instances, releases and probes.
#pragma once

#include <list>
#include <memory>
#include <string>

#include "core/ports.hpp"
#include "net/http/payload.hpp"
#include "net/instances/instance_pool.hpp"

namespace bankmux::net {

// platform: the platform's instances, which hold KV caches and take claims. openai: instances with the
// OpenAI-style API, of which only the public parts are used.
enum class Dialect { platform, openai };

class InstanceClient : public core::Instances {
 public:
  InstanceClient(Loop& loop, PoolLimits limits, Dialect dialect);
  ~InstanceClient() override;

  std::unique_ptr<core::Attempt> start(const core::Target& target, const core::PayloadPtr& payload,
                                       core::Time not_after, core::ConnectionTerms terms,
                                       std::function<bool()> may_write, core::AttemptEvents& events) override;
  // Continues an attempt that another process handed over within its stream; takes ownership of the
  // descriptor. Null if the state is malformed.
  std::unique_ptr<core::Attempt> take_over(const std::string& address, const core::HandoverState& passed,
                                           core::AttemptEvents& events);
  void reserve(const core::Target& target, const core::PayloadPtr& payload, std::function<bool()> may_write,
               std::function<void(core::ReservationAnswer)> done) override;
  void release(const core::Target& target, const core::PayloadPtr& payload, core::ConnectionTerms terms,
               std::function<bool()> may_write, std::function<void(bool)> done) override;
  void probe(const core::Target& target, std::function<bool()> may_write,
             std::function<void(const core::AttemptResult&)> done) override;
  void drop_connections(const core::Target& target) override;

  [[nodiscard]] std::size_t connections() const { return pool_.open(); }

 private:
  class Call;
  void call(const core::Target& target, std::string request, core::ConnectionTerms terms,
            std::function<bool()> may_write, std::function<void(const Call&, bool complete)> done);

  Loop& loop_;
  InstancePool pool_;
  Dialect dialect_;
  std::list<std::unique_ptr<Call>> calls_;  // outstanding claims, releases and probes
};

}  // namespace bankmux::net
