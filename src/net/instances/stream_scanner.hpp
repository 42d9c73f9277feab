// Looks at a stream of events as it passes, for what the core wants to know of it. Changes nothing.
#pragma once

#include <string>
#include <string_view>

#include "core/ports.hpp"

namespace bankmux::net {

class StreamScanner {
 public:
  void feed(std::string_view bytes);
  [[nodiscard]] core::Tokens found() const { return found_; }
  [[nodiscard]] const eiderarch::LoadReport& report() const { return report_; }
  // An error event came by: the answer is not whole, however its stream ends.
  [[nodiscard]] bool failed() const { return failed_; }

 private:
  void line();
  std::string line_;
  bool skip_ = false;
  bool failed_ = false;
  core::Tokens found_ = 0;
  eiderarch::LoadReport report_;
};

// The count of kept tokens in a body like {"cached_tokens":4096} or in a usage object; 0 where there is none.
core::Tokens cached_tokens(std::string_view json);

}  // namespace bankmux::net
