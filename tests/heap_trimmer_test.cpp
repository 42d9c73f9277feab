// When freed memory is returned to the system.
#include "app/heap_trimmer.hpp"

#include <catch2/catch.hpp>
#include <chrono>

#include "fake_time.hpp"

using namespace bankmux;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMegabyte = 1024 * 1024;

// A process of 32 MB, whose blocks in use and freed ones are both resident until the heap is trimmed.
struct FakeProcess {
  std::size_t in_use = 6 * kMegabyte, freed = 0;
  int trims = 0;
  test::FakeTime time;
  app::HeapTrimmer trimmer{time,
                           32 * kMegabyte,
                           {[this] { return in_use + freed; },
                            [this] {
                              freed = 0;
                              ++trims;
                            }}};

  void free(std::size_t bytes) {
    in_use -= bytes;
    freed += bytes;
  }
};

}  // namespace

// Guards against a process over its limit whose small blocks were freed and whose large ones came after them.
TEST_CASE("Heap: freed blocks of a large process are returned before it grows any further") {
  FakeProcess process;
  for (int i = 0; i < 10; ++i) {
    process.in_use = 18 * kMegabyte;
    process.time.advance(100ms);
    process.free(10 * kMegabyte);
    process.in_use += 5 * kMegabyte;  // in large blocks, which come from elsewhere
    process.time.advance(20ms);
    CHECK(process.freed == 0);
  }
}

TEST_CASE("Heap: a process that is large and does not grow is not trimmed again and again") {
  FakeProcess process;
  process.in_use = 24 * kMegabyte;
  process.time.advance(10s);
  CHECK(process.trims == 1);
  process.in_use = 17 * kMegabyte;
  process.time.advance(1s);
  process.in_use = 20 * kMegabyte;
  process.time.advance(10s);
  CHECK(process.trims == 2);
}

TEST_CASE("Heap: a process of usual size keeps what it has freed") {
  FakeProcess process;
  process.free(5 * kMegabyte);
  process.in_use += 8 * kMegabyte;
  process.time.advance(10s);
  CHECK(process.trims == 0);
}
