// A new version takes over under load: streams that run go on in the process that follows.
#pragma once

#include <memory>
#include <string>

#include "core/conductor.hpp"
#include "net/handover/stream_socket.hpp"
#include "net/http/http_server.hpp"
#include "net/instances/instance_client.hpp"
#include "net/loop/loop.hpp"
#include "net/platform/platform_front.hpp"

namespace bankmux::app {

class Succession {
 public:
  // From now on streams of the process before this one are taken over; `path` names where. Where that can't
  // be listened at, the log says so and each process finishes its own, as far as it has time.
  Succession(net::Loop& loop, core::Conductor& conductor, net::InstanceClient& instances,
             net::PlatformFront& front, net::HttpServer& clients, std::string path);
  Succession(const Succession&) = delete;
  Succession& operator=(const Succession&) = delete;

  // This process has been told to end: from now on its streams go to the one that listens there now.
  void ending();

 private:
  void take(operations::PassedStream passed);
  void pass();

  net::Loop& loop_;
  core::Conductor& conductor_;
  net::InstanceClient& instances_;
  net::PlatformFront& front_;
  net::HttpServer& clients_;
  std::string path_;
  std::unique_ptr<net::StreamReceiver> receiver_;
  std::unique_ptr<net::StreamSender> sender_;
  std::unique_ptr<core::Timer> next_;
};

}  // namespace bankmux::app
