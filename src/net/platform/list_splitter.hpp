// Splits the byte stream of a watch into JSON objects, which may span several lines. Pure.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace bankmux::net {

class ListSplitter {
 public:
  // Passes on each complete object, and each line that cannot belong to one, which the parser then rejects.
  void feed(std::string_view bytes, const std::function<void(const std::string&)>& object);
  void clear();
  // Size of the incomplete object so far.
  [[nodiscard]] std::size_t pending_bytes() const { return text_.size(); }

 private:
  std::string text_;
  int depth_ = 0;
  bool within_string_ = false, escaped_ = false, at_line_start_ = true;
};

}  // namespace bankmux::net
