#include "app/heap_trimmer.hpp"

#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <utility>

namespace bankmux::app {

using namespace std::chrono_literals;

namespace {

// Blocks from this size on are returned to the system as they are freed. Twice what a connection reads at
// once.
constexpr int kLargeBlockBytes = 32 * 1024;
constexpr core::Duration kCheckInterval = 100ms;
constexpr core::Duration kCheckIntervalWhenLarge = 20ms;
// Shares of the process's memory.
constexpr std::size_t kLargeDivisor = 2;    // above this share of it the process counts as large
constexpr std::size_t kGrowthDivisor = 32;  // growth by this share of it is worth a trim

std::size_t resident_bytes_of_process() {
  long total_pages = 0, resident_pages = 0;
  const std::unique_ptr<FILE, int (*)(FILE*)> file(std::fopen("/proc/self/statm", "re"), &std::fclose);
  if (file == nullptr || std::fscanf(file.get(), "%ld %ld", &total_pages, &resident_pages) != 2) return 0;
  return std::size_t(resident_pages) * std::size_t(sysconf(_SC_PAGESIZE));
}

HeapTrimmer::Heap heap_of_process() {
  // By default the allocator raises both limits once a large block has been freed.
  mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
  mallopt(M_TRIM_THRESHOLD, 2 * kLargeBlockBytes);
  return {resident_bytes_of_process, [] { malloc_trim(0); }};
}

}  // namespace

HeapTrimmer::HeapTrimmer(core::Scheduler& scheduler, std::size_t memory_bytes)
    : HeapTrimmer(scheduler, memory_bytes, heap_of_process()) {}

HeapTrimmer::HeapTrimmer(core::Scheduler& scheduler, std::size_t memory_bytes, Heap heap)
    : scheduler_(scheduler),
      min_resident_bytes_(memory_bytes / kLargeDivisor),
      min_growth_bytes_(memory_bytes / kGrowthDivisor),
      heap_(std::move(heap)) {
  check();
}

// A process that is large and does not grow is not trimmed again: all it holds may be in use.
void HeapTrimmer::check() {
  const std::size_t resident_bytes = heap_.resident_bytes();
  const bool is_large = resident_bytes > min_resident_bytes_;
  if (is_large && resident_bytes >= last_resident_bytes_ + min_growth_bytes_) {
    heap_.trim();
    last_resident_bytes_ = heap_.resident_bytes();
  } else {
    last_resident_bytes_ = std::min(last_resident_bytes_, resident_bytes);
  }
  const core::Duration interval = is_large ? kCheckIntervalWhenLarge : kCheckInterval;
  next_check_ = scheduler_.at(scheduler_.now() + interval, [this] { check(); });
}

}  // namespace bankmux::app
