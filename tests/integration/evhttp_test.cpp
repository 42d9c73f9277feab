// Properties of evhttp that rule it out for HttpServer and InstancePool, which use bufferevents instead.
// These tests fail if a later libevent changes them.
#include <catch2/catch.hpp>
#include <chrono>

#include "net/http/http_server.hpp"
#include "net/loop/loop.hpp"
#include "peers.hpp"

using namespace bankmux;
using namespace integration;
using namespace std::chrono_literals;

namespace {

void run_for(net::Loop& loop, core::Duration time) {
  const auto end = loop.at(loop.now() + time, [&loop] { loop.stop(); });
  loop.run();
}

using ClientPtr = std::unique_ptr<evhttp_connection, net::Deleter<evhttp_connection_free>>;

struct Results {
  int answers = 0;  // callbacks with a response
  std::vector<evhttp_request_error> errors;
};

ClientPtr client(net::Loop& loop, int port) {
  return ClientPtr(evhttp_connection_base_bufferevent_new(loop.base(), nullptr, nullptr, "127.0.0.1",
                                                          static_cast<std::uint16_t>(port)));
}

void post(evhttp_connection* connection, Results& results, std::size_t bytes) {
  evhttp_request* request = evhttp_request_new(
      [](evhttp_request* answer, void* self) {
        if (answer != nullptr && evhttp_request_get_response_code(answer) != 0)
          ++static_cast<Results*>(self)->answers;
      },
      &results);
  evhttp_request_set_error_cb(request, [](evhttp_request_error error, void* self) {
    static_cast<Results*>(self)->errors.push_back(error);
  });
  evhttp_add_header(evhttp_request_get_output_headers(request), "Host", "x");
  const std::string body(bytes, 'x');
  evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
  evhttp_make_request(connection, request, EVHTTP_REQ_POST, "/");
}

}  // namespace

TEST_CASE("evhttp's server does not notice that a client has closed while its response is pending") {
  net::Loop loop;
  const std::unique_ptr<evhttp, net::Deleter<evhttp_free>> http(evhttp_new(loop.base()));
  static bool taken, closed;
  taken = closed = false;
  evhttp_set_gencb(
      http.get(),
      [](evhttp_request* request, void*) {
        taken = true;
        evhttp_connection_set_closecb(
            evhttp_request_get_connection(request), [](evhttp_connection*, void*) { closed = true; },
            nullptr);
      },
      nullptr);
  const std::string address = unique_address();
  const std::size_t colon = address.find(':');
  REQUIRE(evhttp_bind_socket(http.get(), address.substr(0, colon).c_str(),
                             static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))) == 0);
  const auto wire = TestConnection::to(address);
  wire->send("GET / HTTP/1.1\r\n\r\n");
  run_for(loop, 100ms);
  REQUIRE(taken);
  wire->close();
  run_for(loop, 300ms);
  CHECK_FALSE(closed);
}

TEST_CASE("HttpServer notices at once that a client has closed") {
  net::Loop loop;
  std::unique_ptr<net::IncomingRequest> pending;
  bool gone = false;
  const std::string address = unique_address();
  net::HttpServer server(
      loop, address,
      [&](std::unique_ptr<net::IncomingRequest> incoming) {
        pending = std::move(incoming);
        pending->on_disconnect([&] {
          gone = true;
          loop.stop();
        });
      },
      net::ServerLimits{});
  const auto wire = TestConnection::to(address);
  wire->send("GET / HTTP/1.1\r\n\r\n");
  run_for(loop, 100ms);
  REQUIRE(pending != nullptr);
  wire->close();
  run_for(loop, 5s);
  CHECK(gone);
  CHECK(server.connections() == 0);
}

TEST_CASE("evhttp's client reports the same error for a request never sent and one that may have run") {
  net::Loop loop;
  Results unwritten, written;
  ScriptedServer stuck(
      [](TestConnection& wire) {
        std::this_thread::sleep_for(100ms);
        wire.reset();
      },
      4096);
  ScriptedServer read([](TestConnection& wire) {
    wire.receive();
    wire.reset();
  });
  const ClientPtr one = client(loop, stuck.port()), two = client(loop, read.port());
  post(one.get(), unwritten, 8 * 1024 * 1024);
  post(two.get(), written, 10);
  run_for(loop, 600ms);
  REQUIRE(unwritten.errors.size() == 1);
  CHECK(unwritten.errors == written.errors);
}
