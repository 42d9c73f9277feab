// A small file that the processes of one conductor share during an upgrade. Replaced whole by rename, so that
// a reader sees the old text or the new one; changed under a lock, so that no process's change is lost.
#pragma once

#include <functional>
#include <optional>
#include <string>

namespace bankmux::app {

class SharedFile {
 public:
  explicit SharedFile(std::string path) : path_(std::move(path)) {}

  // Its text; empty where there is no file yet, nothing where it cannot be read or is longer than may be.
  [[nodiscard]] std::optional<std::string> read() const;
  // Whether it was replaced since this was last asked (or since the start).
  [[nodiscard]] bool changed();
  // Reads, has `change` make the new text, and writes it; false where the lock is held for too long, `change`
  // gives nothing, or the disk refuses: the file is then as it was.
  [[nodiscard]] bool update(
      const std::function<std::optional<std::string>(const std::string& before)>& change);

 private:
  std::string path_;
  std::pair<unsigned long, long> seen_{0, 0};  // inode and time of change
};

}  // namespace bankmux::app
