// The OpenAI-style chat API between clients and this conductor.
#pragma once

#include <memory>
#include <string>

#include "config/appliance.hpp"
#include "core/conductor.hpp"
#include "net/http/http_server.hpp"
#include "net/openai/errors.hpp"

namespace bankmux::net {

class OpenAiFront {
 public:
  // `healthy` says whether a balancer may send here. `appliance` may change while this lives.
  OpenAiFront(core::Conductor& conductor, core::Scheduler& scheduler, const config::Appliance& appliance,
              std::function<bool()> healthy);

  void handle(std::unique_ptr<Incoming> incoming);
  // For the server that this front stands behind.
  [[nodiscard]] ServerHooks hooks();

 private:
  enum class Endpoint { chat, completions, responses };
  struct Call;

  void post(std::unique_ptr<Incoming> incoming, Endpoint endpoint, Headers common);
  // The body expanded and checked, as it goes to a box; throws RequestError.
  [[nodiscard]] Call read(Incoming& incoming, Endpoint endpoint, const std::string& id) const;
  // `common`: the headers of every answer to this request.
  static void answer(Incoming& incoming, const Headers& common, int status, std::string_view body,
                     const Headers& more = {});
  static void turn_away(Incoming& incoming, const Headers& common, const openai::RequestError& problem,
                        const Headers& more = {});
  [[nodiscard]] Headers common(const Incoming& incoming);
  [[nodiscard]] std::string own_id();
  void models(Incoming& incoming, const Headers& common, const std::string& path) const;
  static void options(Incoming& incoming, const Headers& common, const std::string& allowed);

  core::Conductor& conductor_;
  core::Scheduler& scheduler_;
  const config::Appliance& appliance_;
  std::function<bool()> healthy_;
  std::string start_;  // with the count below, names requests
  std::uint64_t count_ = 0;
};

}  // namespace bankmux::net
