// A platform conductor with a management address, and its next process in an upgrade.
#pragma once

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <thread>

#include "platform_fixture.hpp"

namespace integration {

// A platform conductor with a management address, optionally on a passed listening socket.
struct ManagedConductor {
  explicit ManagedConductor(const std::vector<Platform::Instance>& known, bool passed = false)
      : socket(passed ? listening_socket(listen) : -1), platform(known, site_settings(), environment()) {
    REQUIRE(Program::listens(mgmt));
  }
  ~ManagedConductor() {
    if (socket >= 0) close(socket);
    std::filesystem::remove_all(directory);
  }
  std::map<std::string, std::string> environment() {
    REQUIRE(mkdtemp(directory) != nullptr);
    std::map<std::string, std::string> all{
        {"PROXY_MGMT", mgmt}, {"PROXY_LISTEN", listen}, {"TMPDIR", directory}};
    if (socket >= 0) all["PROXY_PASSED_SOCKET"] = std::to_string(socket);
    return all;
  }
  static std::string call(const std::string& at, const std::string& line, const std::string& headers = "") {
    const auto wire = TestConnection::to(at);
    if (wire == nullptr) return "";
    wire->send(line + " HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n");
    return wire->receive_all();  // the server closes the connection after one request
  }
  int status(const std::string& line) { return std::atoi(call(mgmt, line).substr(9, 3).c_str()); }
  long metric(const std::string& name) {
    const std::string text = call(mgmt, "GET /-/metrics");
    const std::size_t at = text.find("svc." + name + "=");
    return at == std::string::npos ? -1 : std::atol(text.c_str() + at + name.size() + 5);
  }
  std::string ask(const std::string& txn) { return platform.ask(client_request(txn, "consulta", 5000, 100)); }

  std::string listen = unique_address(), mgmt = unique_address();
  char directory[32] = "/tmp/bankmux-ops-XXXXXX";
  int socket;
  Platform platform;
};

// A request without "Connection: close".
inline std::string keep_alive_request(const std::string& txn) {
  std::string text = client_request(txn, "ajuste", 5000, 100);
  const std::string close = "Connection: close\r\n";
  return text.erase(text.find(close), close.size());
}

// Starts the next process and waits until it is ready.
inline std::unique_ptr<Program> next_version(const ManagedConductor& conductor, const std::string& second) {
  auto next = conductor.platform.start({{"PROXY_MGMT", second}});
  REQUIRE(Program::listens(second));
  for (int i = 0; i < 300 && !ManagedConductor::call(second, "GET /-/ready").starts_with("HTTP/1.1 200");
       ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return next;
}

}  // namespace integration
