// Keeps a watch on discovery open and hands its news on. The watch that breaks or falls silent is opened
// anew, from the last version that was understood, after a wait that grows while calls fail (backoff.hpp).
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
  using News = std::function<void(core::FleetNews)>;
  DiscoveryWatch(Loop& loop, const config::Config& config, News news);
  ~DiscoveryWatch() override;

  void open();
  // By how much what an agent has may come late here: it was silent, and a call from then has to be given up.
  [[nodiscard]] static core::Duration most_late();
  // Leaves the present address for this one and takes its whole list; the old list serves until it is there.
  void move(const std::string& address);
  void subscribe() override {}  // the watch is always open
  void fetch() override;

 private:
  void read(evhttp_request* request);
  void line(const std::string& text);
  void again(core::Duration wait);
  void ended(evhttp_request* answer);
  // `refused`: discovery has answered the call, with an error.
  void failed(bool refused = false);

  Loop& loop_;
  const config::Config& config_;
  std::string address_;
  News news_;
  std::uint64_t version_;
  bool whole_ = false;  // ask for the whole list
  bool heard_ = false;  // the watch now open has brought a line, if only an empty one
  int failures_ = 0;    // calls in a row that brought none
  // It has refused a call, or must be asked for each list: one service of bounded capacity for many
  // conductors. Until then it is taken for an agent on this machine.
  bool shared_;
  Backoff backoff_shared_;
  std::mt19937_64 draw_;
  std::unique_ptr<evhttp_connection, Freed<evhttp_connection_free>> connection_;
  ListSplitter pending_;
  std::unique_ptr<core::Timer> retry_, silent_;
};

}  // namespace bankmux::net
