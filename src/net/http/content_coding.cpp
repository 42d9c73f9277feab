#include "net/http/content_coding.hpp"

#include <zlib.h>
#include <zstd.h>

#include <algorithm>
#include <array>
#include <memory>

#include "net/http/message_parser.hpp"

namespace bankmux::net {

namespace {

constexpr std::size_t kBufferBytes = 64 * 1024;
// Values of windowBits for zlib; adding 32 detects gzip or zlib by the header.
constexpr int kZlibOrGzipWindowBits = 15 + 32;
constexpr int kRawDeflateWindowBits = -15;
// log2 of bytes: 8 MiB, the size that every decoder must support. A frame may ask for more.
constexpr unsigned kMaxZstdWindowLog = 23;

// Output buffer that rejects data beyond its limit.
class BoundedOutput {
 public:
  BoundedOutput(std::size_t encoded, std::size_t max_size)
      : max_size_(std::min(max_size, std::max(encoded * kMaxExpansionRatio, kBufferBytes))) {}
  bool write(const char* bytes, std::size_t size) {
    if (body.size() + size > max_size_) return false;
    body.append(bytes, size);
    return true;
  }
  std::string body;

 private:
  std::size_t max_size_;
};

DecodedBody inflate_body(std::string_view encoded, std::size_t max_size, int window_bits) {
  z_stream stream{};
  if (inflateInit2(&stream, window_bits) != Z_OK) return {DecodeResult::broken, {}};
  const std::unique_ptr<z_stream, int (*)(z_stream*)> owner(&stream, inflateEnd);
  stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(encoded.data()));
  stream.avail_in = static_cast<uInt>(encoded.size());
  BoundedOutput output(encoded.size(), max_size);
  std::array<char, kBufferBytes> buffer;
  for (int result = Z_OK; result != Z_STREAM_END;) {
    stream.next_out = reinterpret_cast<Bytef*>(buffer.data());
    stream.avail_out = buffer.size();
    result = inflate(&stream, Z_NO_FLUSH);
    const std::size_t produced = buffer.size() - stream.avail_out;
    if (result != Z_OK && result != Z_STREAM_END)
      return {DecodeResult::broken, {}};  // includes truncated input
    if (!output.write(buffer.data(), produced)) return {DecodeResult::too_large, {}};
    if (result == Z_OK && produced == 0 && stream.avail_in == 0) return {DecodeResult::broken, {}};
  }
  // Some recipients would read data behind the end of the stream and others would not.
  if (stream.avail_in > 0) return {DecodeResult::broken, {}};
  return {DecodeResult::done, std::move(output.body)};
}

DecodedBody decompress_zstd(std::string_view encoded, std::size_t max_size) {
  const std::unique_ptr<ZSTD_DCtx, size_t (*)(ZSTD_DCtx*)> context(ZSTD_createDCtx(), ZSTD_freeDCtx);
  if (!context ||
      ZSTD_isError(ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, kMaxZstdWindowLog))) {
    return {DecodeResult::broken, {}};
  }
  BoundedOutput output(encoded.size(), max_size);
  std::array<char, kBufferBytes> buffer;
  ZSTD_inBuffer in{encoded.data(), encoded.size(), 0};
  std::size_t remaining = 1;  // 0 at the end of the frame
  while (remaining != 0) {
    ZSTD_outBuffer out{buffer.data(), buffer.size(), 0};
    remaining = ZSTD_decompressStream(context.get(), &out, &in);
    if (ZSTD_isError(remaining)) return {DecodeResult::broken, {}};
    if (!output.write(buffer.data(), out.pos)) return {DecodeResult::too_large, {}};
    if (remaining != 0 && out.pos == 0 && in.pos == in.size) return {DecodeResult::broken, {}};
  }
  if (in.pos != in.size) return {DecodeResult::broken, {}};
  return {DecodeResult::done, std::move(output.body)};
}

}  // namespace

bool is_supported_coding(std::string_view coding) {
  return coding.empty() ||
         std::ranges::any_of(
             std::initializer_list<const char*>{"identity", "gzip", "x-gzip", "deflate", "zstd"},
             [coding](const char* known) { return same_name(coding, known); });
}

DecodedBody decode_body(std::string_view coding, std::string body, std::size_t max_size) {
  if (coding.empty() || same_name(coding, "identity")) {
    if (body.size() > max_size) return {DecodeResult::too_large, {}};
    return {DecodeResult::done, std::move(body)};
  }
  if (same_name(coding, "gzip") || same_name(coding, "x-gzip"))
    return inflate_body(body, max_size, kZlibOrGzipWindowBits);
  if (same_name(coding, "deflate")) {
    // The standard means the zlib format; some senders omit its header.
    DecodedBody result = inflate_body(body, max_size, kZlibOrGzipWindowBits);
    return result.coding == DecodeResult::broken ? inflate_body(body, max_size, kRawDeflateWindowBits)
                                                 : result;
  }
  if (same_name(coding, "zstd")) return decompress_zstd(body, max_size);
  return {DecodeResult::unknown, {}};
}

}  // namespace bankmux::net
