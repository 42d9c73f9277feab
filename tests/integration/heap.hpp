// The memory that this process has allocated, for tests of its bounds.
#pragma once

#include <malloc.h>

#include <cstddef>

#ifdef __SANITIZE_ADDRESS__
// Declared here, because GCC does not install the header for all machines.
extern "C" std::size_t __sanitizer_get_current_allocated_bytes();
#endif

namespace integration {

// In bytes.
inline std::size_t heap_bytes() {
#ifdef __SANITIZE_ADDRESS__
  return __sanitizer_get_current_allocated_bytes();
#else
  const auto heap = mallinfo2();
  return heap.uordblks + heap.hblkhd;
#endif
}

}  // namespace integration
