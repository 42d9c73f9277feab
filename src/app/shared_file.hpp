// A small file that the processes of one conductor share during an upgrade. It is replaced atomically by
// rename, so that a reader sees either the old text or the new one, and changed under a lock, so that no
// process's change is lost.
#pragma once

#include <functional>
#include <optional>
#include <string>

namespace bankmux::app {

class SharedFile {
 public:
  explicit SharedFile(std::string path) : path_(std::move(path)) {}

  // Returns the file's text, "" if there is no file yet, nullopt if it cannot be read or is longer than 1
  // MiB.
  [[nodiscard]] std::optional<std::string> read() const;
  // Returns whether the file was replaced since the last call (or, at the first call, whether it exists).
  [[nodiscard]] bool changed();
  // Replaces the text by what `change` returns for it. Returns false and leaves the file unchanged if the
  // lock is not free within 20 ms, `change` returns nullopt, or reading or writing fails.
  [[nodiscard]] bool update(
      const std::function<std::optional<std::string>(const std::string& before)>& change);

 private:
  std::string path_;
  std::pair<unsigned long, long> last_version_{0, 0};  // inode and change time in nanoseconds
};

}  // namespace bankmux::app
