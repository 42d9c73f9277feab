// The latest ids of requests that may have been executed, in a table of fixed size that the processes of one
// conductor may share through a file. Ids are kept as hashes; a bucket that is full forgets its oldest one.
// The file outlives its processes, however they end, but not a loss of power.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/handover/stream_socket.hpp"

namespace bankmux::net {

class ExecutedIdTable {
 public:
  static constexpr std::size_t kBucketIds = 32;
  static constexpr std::size_t kBuckets = 1024;

  // Shares the table with all processes that open the same path, and creates the file if there is none.
  // Throws std::runtime_error if the file cannot be opened, allocated or has another size.
  void share(const std::string& path);

  // Remembers an id.
  void add(std::string_view id);
  // Forgets an id, because its request has proved not to have been executed.
  void remove(std::string_view id);
  [[nodiscard]] bool contains(std::string_view id) const;

 private:
  // Hashes of ids, the latest one first; 0 is an empty entry.
  using Bucket = std::array<std::uint64_t, kBucketIds>;
  enum class Change { add, remove };

  static void apply(Change change, std::uint64_t hash, Bucket& bucket);
  void update(Change change, std::string_view id);
  // Nullopt if the file cannot be read, which is logged.
  [[nodiscard]] std::optional<Bucket> read(std::size_t index) const;
  void update_file(Change change, std::uint64_t hash, std::size_t index) const;

  // The ids of this process, which hold whether or not the file can be read and written.
  std::vector<Bucket> own_ = std::vector<Bucket>(kBuckets);
  std::optional<Descriptor> file_;
};

}  // namespace bankmux::net
