// Keeps a watch on discovery open, a streamed response with the list of instances and its changes, and passes
// each update on. After a failure or a timeout it reopens the watch from the last valid version, with backoff
// (backoff.hpp).
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>

#include "config/config.hpp"
#include "net/loop/loop.hpp"
#include "net/platform/backoff.hpp"
#include "net/platform/list_splitter.hpp"

namespace bankmux::net {

class DiscoveryWatch : public core::Discovery {
 public:
  using UpdateHandler = std::function<void(core::FleetUpdate)>;
  DiscoveryWatch(Loop& loop, const config::Config& config, UpdateHandler on_update);
  ~DiscoveryWatch() override;

  // Opens the watch, replacing any earlier one.
  void open();
  // Longest delay before an agent's change arrives here: a call made while it was silent must time out first.
  [[nodiscard]] static core::Duration max_update_delay();
  // Switches to another discovery address and requests its whole list. The old list stays in use until then.
  void move(const std::string& address);
  void subscribe() override {}  // the watch is always open
  void fetch() override;

 private:
  void on_data(evhttp_request* request);
  // Sets the limit on what evhttp collects of the answer before it passes it on.
  void allow_next_chunk();
  // Handles all that has arrived; whether a line has ended, or become too long, by it.
  bool read_lines(evbuffer* input);
  void on_line(const std::string& text);
  void schedule_reopen(core::Duration wait);
  void reopen_after_malformed();
  void on_closed(evhttp_request* answer);
  // `refused`: discovery answered the call with an error status.
  void on_failure(bool refused = false);

  Loop& loop_;
  const config::Config& config_;
  std::string address_;
  UpdateHandler on_update_;
  std::uint64_t version_;
  bool full_list_needed_ = false;  // request the whole list rather than the changes
  bool line_received_ = false;     // the current watch has received a line, possibly empty
  int failures_ = 0;               // consecutive calls that brought no line
  // Discovery is a service of limited capacity shared by many conductors: it has refused a call, or each list
  // must be requested. Until then it is assumed to be an agent on this machine.
  bool shared_service_;
  Backoff shared_backoff_;
  std::mt19937_64 random_;
  std::unique_ptr<evhttp_connection, Deleter<evhttp_connection_free>> connection_;
  std::size_t received_bytes_ = 0;  // of the current watch's body
  bool line_too_long_ = false;      // the rest of the current watch is discarded
  ListSplitter splitter_;
  std::unique_ptr<core::Timer> reopen_timer_, response_timeout_;
};

}  // namespace bankmux::net
