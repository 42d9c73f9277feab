// Ids of open requests, reserved among processes. Locks of two objects conflict within a process as between
// two.
#include "net/platform/open_request_ids.hpp"

#include <catch2/catch.hpp>
#include <optional>

#include "integration/peers.hpp"

using bankmux::net::OpenRequestIds;
using bankmux::net::RequestIdLocks;

namespace {

// The ids of several processes that share a file. Destroying one ends its process.
struct Processes {
  std::string file = integration::temporary_file("");
  std::optional<OpenRequestIds> first = sharing(), second = sharing(), third = sharing();

  [[nodiscard]] std::optional<OpenRequestIds> sharing() const {
    std::optional<OpenRequestIds> ids(std::in_place);
    ids->share_with_processes(RequestIdLocks(file), {});
    return ids;
  }
};

}  // namespace

// Guards against a request that runs in two processes at once during an upgrade.
TEST_CASE("Open ids: an id is reserved in one process at a time, until its request or its process ends") {
  Processes all;
  CHECK(all.first->reserve("a"));
  CHECK_FALSE(all.first->reserve("a"));
  CHECK_FALSE(all.second->reserve("a"));
  CHECK(all.second->reserve("b"));
  CHECK_FALSE(all.first->reserve("b"));
  all.first->release("a");
  CHECK(all.second->reserve("a"));
  CHECK(all.first->reserve("c"));
  all.first.reset();
  CHECK(all.second->reserve("c"));
}

// Guards against a gap between the release of a handed-over stream's id and its reservation in the next
// process.
TEST_CASE("Open ids: the id of a stream that is handed over is reserved at every moment") {
  Processes all;
  REQUIRE(all.first->reserve("a"));
  all.first->offer("a");
  CHECK_FALSE(all.third->reserve("a"));
  CHECK_FALSE(all.first->reserve("a"));
  CHECK(all.second->take_over("a"));
  CHECK_FALSE(all.second->take_over("a"));
  CHECK_FALSE(all.third->reserve("a"));
  all.first.reset();
  CHECK_FALSE(all.third->reserve("a"));
  CHECK_FALSE(all.second->reserve("a"));
  all.second->release("a");
  CHECK(all.third->reserve("a"));
}

// Guards against a second copy that a client sends before the message about the first has been read.
TEST_CASE("Open ids: a stream whose process has ended is taken over before its id can be reserved anew") {
  Processes all;
  OpenRequestIds next;
  bool message_waits = true;
  next.share_with_processes(RequestIdLocks(all.file), [&] {
    if (std::exchange(message_waits, false)) CHECK(next.take_over("a"));
  });
  REQUIRE(all.first->reserve("a"));
  all.first->offer("a");
  all.first.reset();
  CHECK_FALSE(next.reserve("a"));
  CHECK_FALSE(all.second->reserve("a"));
  next.release("a");
  CHECK(next.reserve("a"));
}

TEST_CASE("Open ids: a file that cannot be opened is an error, and without one a process knows its own ids") {
  CHECK_THROWS_AS(RequestIdLocks("/no/such/folder/ids"), std::runtime_error);
  OpenRequestIds alone;
  CHECK(alone.reserve("a"));
  CHECK_FALSE(alone.reserve("a"));
  alone.release("a");
  CHECK(alone.reserve("a"));
}
