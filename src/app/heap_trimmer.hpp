// Returns freed memory to the system, so that the process does not stay as large as all its buffers have ever
// been together.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "core/ports.hpp"

namespace bankmux::app {

// The allocator returns freed small blocks only from the end of its heap, where a single block in use keeps
// all the others. This trims the whole heap while the process is large and growing.
class HeapTrimmer {
 public:
  // What is measured and trimmed; replaced in tests.
  struct Heap {
    std::function<std::size_t()> resident_bytes;  // of the whole process
    std::function<void()> trim;
  };

  // `memory_bytes`: that the process may have. Sets up the allocator, and is therefore to be created before
  // the first large allocation.
  HeapTrimmer(core::Scheduler& scheduler, std::size_t memory_bytes);
  HeapTrimmer(core::Scheduler& scheduler, std::size_t memory_bytes, Heap heap);
  HeapTrimmer(const HeapTrimmer&) = delete;
  HeapTrimmer& operator=(const HeapTrimmer&) = delete;

 private:
  void check();

  core::Scheduler& scheduler_;
  std::size_t min_resident_bytes_;  // below it nothing is trimmed
  std::size_t min_growth_bytes_;    // since the last check or trim, below which nothing is trimmed
  Heap heap_;
  std::size_t last_resident_bytes_ = 0;  // the least since the last trim
  std::unique_ptr<core::Timer> next_check_;
};

}  // namespace bankmux::app
