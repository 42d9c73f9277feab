// The files that hold a coordination store, one after another, of which one is in use. A process that is
// suspended within a write keeps the lock of the file in use. Another process may then seal that file: the
// contents go on in a copy, which is the next file, and no commit to the sealed file counts any more.
//
// Why no commit is lost: a process looks for the seal after each commit, and the contents are copied after
// the seal. A commit that is missing in the copy was thus followed by a look that found the seal.
#pragma once

#include <string>

namespace bankmux::coordination {

class StoreFiles {
 public:
  // `path`: the first file. Later ones have the same name and a number, and a seal is an empty file beside
  // the one that it seals.
  explicit StoreFiles(std::string path) : path_(std::move(path)) {}

  // Name of the file that this process uses.
  [[nodiscard]] std::string current() const { return file(number_); }
  // Whether a process has sealed the current file. Throws std::runtime_error if that cannot be told.
  [[nodiscard]] bool is_sealed() const;
  // Whether the process that holds the write lock of the current file is suspended. False if that cannot be
  // told.
  [[nodiscard]] bool is_locked_by_suspended_process() const;
  // Seals the current file for all processes. Throws std::runtime_error if the seal cannot be written.
  void seal() const;
  // Moves on to the file in use, if the current one is sealed. Makes the copy if no process has done so yet.
  // Throws std::runtime_error, also while the sealed file cannot be read.
  void advance();

 private:
  [[nodiscard]] std::string file(unsigned number) const;
  [[nodiscard]] std::string seal_of(unsigned number) const { return file(number) + ".sealed"; }
  void copy_to_next() const;
  void remove_previous() const;

  std::string path_;
  unsigned number_ = 0;
};

}  // namespace bankmux::coordination
