// Runs the simulator's protocol over one Router per instance; the routers share nothing.
#pragma once

#include <iosfwd>

namespace eiderarch::wire {

// Reads batches until the input ends; returns the exit code: 0, or 1 after malformed input.
int run_host(std::istream& in, std::ostream& out, std::ostream& err);

}  // namespace eiderarch::wire
