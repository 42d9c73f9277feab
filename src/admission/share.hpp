// Decides whether a tenant may take one more slot of a table that all tenants share. Dynamic thresholds
// (Choudhury and Hahne, "Dynamic Queue Length Thresholds for Shared-Memory Packet Switches", IEEE/ACM Trans.
// Networking 6(2), 1998): beyond its even share a tenant holds at most `kFreeSlotFactor` times the number of
// free slots, so that a slot always remains for a tenant below its share.
#pragma once

#include <cstddef>

namespace bankmux::admission {

// A single tenant holds at most three quarters of the table; two tenants together at most six sevenths.
constexpr std::size_t kFreeSlotFactor = 3;

struct SharedTable {
  std::size_t capacity = 0;  // slots in total; 0: not limited
  std::size_t used = 0;      // slots held by all tenants
  std::size_t tenants = 0;   // tenants that hold a slot, including the one that asks
};

// `own`: slots that the asking tenant holds. The even share is computed for one tenant more than there are,
// which leaves room for the next new tenant.
[[nodiscard]] constexpr bool may_take_slot(std::size_t own, const SharedTable& table) {
  if (table.capacity == 0) return true;
  if (table.used >= table.capacity) return false;
  return own < table.capacity / (table.tenants + 1) || own < kFreeSlotFactor * (table.capacity - table.used);
}

}  // namespace bankmux::admission
