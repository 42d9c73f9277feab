// Ids of open requests, reserved among processes. Locks of two objects conflict within a process as between
// two.
#include "net/platform/open_request_ids.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <optional>
#include <stdexcept>

#include "integration/peers.hpp"

using bankmux::net::ExecutedIdTable;
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

TEST_CASE(
    "Executed ids: what a process has noted is known to all that share the file, and to their successors") {
  const std::string path = integration::temporary_file("");
  std::optional<ExecutedIdTable> first(std::in_place), second(std::in_place);
  first->add("before sharing is known here alone");
  first->share(path);
  second->share(path);
  first->add("a");
  second->add("b");
  CHECK(first->contains("b"));
  CHECK(second->contains("a"));
  CHECK(first->contains("before sharing is known here alone"));
  first->remove("a");
  CHECK_FALSE(second->contains("a"));
  CHECK_FALSE(second->contains("c"));
  first.reset();
  second.reset();
  ExecutedIdTable successor;
  CHECK_FALSE(successor.contains("b"));
  successor.share(path);
  CHECK(successor.contains("b"));
}

TEST_CASE("Executed ids: under ever new ids the table keeps its size, and the latest ids are known") {
  constexpr int kIds = 200'000, kLatest = 10'000;
  ExecutedIdTable table;
  const auto id = [](int i) { return "id-" + std::to_string(i); };
  for (int i = 0; i < kIds; ++i) table.add(id(i));
  int known = 0, unknown = 0;
  for (int i = kIds - kLatest; i < kIds; ++i) known += table.contains(id(i)) ? 1 : 0;
  for (int i = kIds; i < kIds + kLatest; ++i) unknown += table.contains(id(i)) ? 0 : 1;
  CHECK(known == kLatest);
  CHECK(unknown == kLatest);
  CHECK_FALSE(table.contains(id(0)));
}

TEST_CASE("Executed ids: a file that cannot be shared is refused, and the process knows its own ids") {
  ExecutedIdTable table;
  CHECK_THROWS_AS(table.share(integration::temporary_file("no table")), std::runtime_error);
  CHECK_THROWS_AS(table.share("/nonexistent/table"), std::runtime_error);
  table.add("a");
  CHECK(table.contains("a"));
}

TEST_CASE("Executed ids: a process that was stopped within an update does not hold up the others") {
  const std::string path = integration::temporary_file("");
  ExecutedIdTable table;
  table.share(path);
  const int stopped = open(path.c_str(), O_RDWR | O_CLOEXEC);
  struct flock all {};
  all.l_type = F_WRLCK;
  all.l_whence = SEEK_SET;
  REQUIRE(fcntl(stopped, F_OFD_SETLK, &all) == 0);
  table.add("a");
  ExecutedIdTable other;
  other.share(path);
  CHECK(other.contains("a"));
  close(stopped);
}

TEST_CASE("Executed ids: a full or failing disk leaves each process its own ids") {
  const std::string path = integration::temporary_file("");
  ExecutedIdTable table;
  table.share(path);
  REQUIRE(truncate(path.c_str(), 0) == 0);  // every read comes short
  table.add("a");
  CHECK(table.contains("a"));
  CHECK_FALSE(table.contains("b"));
}
