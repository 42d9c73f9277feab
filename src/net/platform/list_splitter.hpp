// Cuts what a watch brings into its JSON objects, one a line or spread over several. Pure.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace bankmux::net {

class ListSplitter {
 public:
  // Hands on each object that is whole by now, and each line that can't belong to one, for the reader to
  // refuse.
  void feed(std::string_view bytes, const std::function<void(const std::string&)>& object);
  void clear();
  // Bytes of an object whose end has not come.
  [[nodiscard]] std::size_t open() const { return text_.size(); }

 private:
  std::string text_;
  int depth_ = 0;
  bool within_string_ = false, escaped_ = false, line_begins_ = true;
};

}  // namespace bankmux::net
