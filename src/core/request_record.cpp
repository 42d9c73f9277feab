#include "core/request_record.hpp"

namespace bankmux::core {

void RequestCounters::count_end(std::uint32_t request_class, RequestRecord::Result result) {
  if (request_class >= by_class.size()) return;
  ClassCounters& figures = by_class[request_class];
  switch (result) {
    case RequestRecord::Result::served:
      ++figures.served;
      break;
    case RequestRecord::Result::refused:
      ++figures.refused;
      break;
    case RequestRecord::Result::failed:
    case RequestRecord::Result::broken:
    case RequestRecord::Result::rejected:
      ++figures.failed;
      break;
    case RequestRecord::Result::gone:
    case RequestRecord::Result::passed_on:
      break;
  }
}

}  // namespace bankmux::core
