// Hands running streams over to the conductor's next process during an upgrade, and takes over those of the
// process before.
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

class StreamHandover {
 public:
  // Starts taking over streams of the process before this one at the Unix socket `path_prefix`-streams, and
  // shares the ids of open requests with it through the file `path_prefix`-ids. What cannot be opened is
  // logged: each process then finishes its own streams as far as its time allows, or knows only its own ids.
  StreamHandover(net::Loop& loop, core::Conductor& conductor, net::InstanceClient& instances,
                 net::PlatformFront& front, net::HttpServer& clients, const std::string& path_prefix);
  StreamHandover(const StreamHandover&) = delete;
  StreamHandover& operator=(const StreamHandover&) = delete;

  // At shutdown: stops receiving and sends running streams to the process that now listens at the socket.
  void start_sending();

 private:
  void share_request_ids(const std::string& path);
  void take_over_stream(operations::HandedOverStream passed);
  void send_streams();

  net::Loop& loop_;
  core::Conductor& conductor_;
  net::InstanceClient& instances_;
  net::PlatformFront& front_;
  net::HttpServer& clients_;
  std::string path_;
  std::unique_ptr<net::StreamReceiver> receiver_;
  std::unique_ptr<net::StreamSender> sender_;
  std::unique_ptr<core::Timer> send_timer_;
};

}  // namespace bankmux::app
