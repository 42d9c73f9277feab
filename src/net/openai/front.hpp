// The OpenAI-compatible chat API: validates requests, applies admission control, and hands them to the
// conductor.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "admission/admission_control.hpp"
#include "config/appliance.hpp"
#include "core/conductor.hpp"
#include "net/http/http_server.hpp"
#include "net/openai/errors.hpp"
#include "net/openai/json_reader.hpp"

namespace bankmux::net {

class OpenAiFront {
 public:
  // `json_limits`: of a request's body. `healthy`: whether a load balancer in front may send requests here.
  // The contents of `appliance` may change during the lifetime of this object.
  OpenAiFront(core::Conductor& conductor, core::Scheduler& scheduler,
              admission::AdmissionControl& admission_control, const config::Appliance& appliance,
              const openai::JsonLimits& json_limits, std::function<bool()> healthy);

  void handle(std::unique_ptr<IncomingRequest> incoming);
  // For the HTTP server that calls handle().
  [[nodiscard]] ServerHooks hooks();

 private:
  enum class Endpoint { chat, completions, responses };
  struct PreparedRequest;

  void post(std::unique_ptr<IncomingRequest> incoming, Endpoint endpoint, Headers common,
            const admission::Caller& caller);
  // Decompresses, validates and translates the body for an instance; throws RequestError.
  [[nodiscard]] PreparedRequest prepare(IncomingRequest& incoming, Endpoint endpoint,
                                        const std::string& id) const;
  // `common`: the headers of every answer to this request. `wait`: time after which a retry may help, if that
  // does not follow from the status.
  static void answer(IncomingRequest& incoming, const Headers& common, int status, std::string_view body,
                     const Headers& more = {}, std::optional<core::Duration> wait = {});
  static void reject(IncomingRequest& incoming, const Headers& common, const openai::RequestError& problem,
                     const Headers& more = {}, std::optional<core::Duration> wait = {});
  [[nodiscard]] Headers common(const IncomingRequest& incoming);
  [[nodiscard]] std::string new_request_id();
  // Authenticates the client; nullopt if the request was rejected and answered.
  std::optional<admission::Caller> identify(IncomingRequest& incoming, const Headers& common);
  // Applies admission control; nullopt if the request has been answered.
  std::optional<admission::Ticket> admit(IncomingRequest& incoming, Headers& common,
                                         const PreparedRequest& prepared, const admission::Caller& caller);
  void models(IncomingRequest& incoming, const Headers& common, const std::string& path,
              const admission::Caller& caller) const;
  static void options(IncomingRequest& incoming, const Headers& common, const std::string& allowed);

  core::Conductor& conductor_;
  core::Scheduler& scheduler_;
  admission::AdmissionControl& admission_control_;
  const config::Appliance& appliance_;
  openai::JsonLimits json_limits_;
  std::function<bool()> healthy_;
  std::string id_prefix_;  // request ids are this prefix and a counter
  std::uint64_t id_count_ = 0;
};

}  // namespace bankmux::net
