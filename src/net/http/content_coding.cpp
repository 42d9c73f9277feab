#include "net/http/content_coding.hpp"

#include <zlib.h>
#include <zstd.h>

#include <algorithm>
#include <array>
#include <memory>

#include "net/http/message_parser.hpp"

namespace bankmux::net {

namespace {

constexpr std::size_t kPiece = 64 * 1024;
constexpr int kAnyZlibHeader = 15 + 32;  // window bits; 32 tells gzip from zlib by the header
constexpr int kRawDeflate = -15;
constexpr unsigned kMostZstdWindow =
    23;  // log2 of bytes: 8 MiB, what decoders must take; a frame may ask for more

// Takes a piece of what was expanded; false once it is too much.
class Sink {
 public:
  Sink(std::size_t coded, std::size_t most)
      : most_(std::min(most, std::max(coded * kMostExpansion, kPiece))) {}
  bool take(const char* bytes, std::size_t size) {
    if (body.size() + size > most_) return false;
    body.append(bytes, size);
    return true;
  }
  std::string body;

 private:
  std::size_t most_;
};

Expanded inflated(std::string_view coded, std::size_t most, int window_bits) {
  z_stream stream{};
  if (inflateInit2(&stream, window_bits) != Z_OK) return {Coding::broken, {}};
  const std::unique_ptr<z_stream, int (*)(z_stream*)> owner(&stream, inflateEnd);
  stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(coded.data()));
  stream.avail_in = static_cast<uInt>(coded.size());
  Sink sink(coded.size(), most);
  std::array<char, kPiece> piece;
  for (int result = Z_OK; result != Z_STREAM_END;) {
    stream.next_out = reinterpret_cast<Bytef*>(piece.data());
    stream.avail_out = piece.size();
    result = inflate(&stream, Z_NO_FLUSH);
    const std::size_t got = piece.size() - stream.avail_out;
    if (result != Z_OK && result != Z_STREAM_END) return {Coding::broken, {}};  // ends too early, too
    if (!sink.take(piece.data(), got)) return {Coding::too_large, {}};
    if (result == Z_OK && got == 0 && stream.avail_in == 0) return {Coding::broken, {}};
  }
  // Something behind the end would be read by some and not by others.
  if (stream.avail_in > 0) return {Coding::broken, {}};
  return {Coding::done, std::move(sink.body)};
}

Expanded unzstd(std::string_view coded, std::size_t most) {
  const std::unique_ptr<ZSTD_DCtx, size_t (*)(ZSTD_DCtx*)> context(ZSTD_createDCtx(), ZSTD_freeDCtx);
  if (!context || ZSTD_isError(ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, kMostZstdWindow))) {
    return {Coding::broken, {}};
  }
  Sink sink(coded.size(), most);
  std::array<char, kPiece> piece;
  ZSTD_inBuffer in{coded.data(), coded.size(), 0};
  std::size_t left = 1;  // 0: the frame has ended
  while (left != 0) {
    ZSTD_outBuffer out{piece.data(), piece.size(), 0};
    left = ZSTD_decompressStream(context.get(), &out, &in);
    if (ZSTD_isError(left)) return {Coding::broken, {}};
    if (!sink.take(piece.data(), out.pos)) return {Coding::too_large, {}};
    if (left != 0 && out.pos == 0 && in.pos == in.size) return {Coding::broken, {}};
  }
  if (in.pos != in.size) return {Coding::broken, {}};
  return {Coding::done, std::move(sink.body)};
}

}  // namespace

bool known_coding(std::string_view coding) {
  return coding.empty() ||
         std::ranges::any_of(
             std::initializer_list<const char*>{"identity", "gzip", "x-gzip", "deflate", "zstd"},
             [coding](const char* known) { return same_name(coding, known); });
}

Expanded expand(std::string_view coding, std::string body, std::size_t most) {
  if (coding.empty() || same_name(coding, "identity")) {
    if (body.size() > most) return {Coding::too_large, {}};
    return {Coding::done, std::move(body)};
  }
  if (same_name(coding, "gzip") || same_name(coding, "x-gzip")) return inflated(body, most, kAnyZlibHeader);
  if (same_name(coding, "deflate")) {
    // The standard means zlib's form; some senders leave its header out.
    Expanded result = inflated(body, most, kAnyZlibHeader);
    return result.coding == Coding::broken ? inflated(body, most, kRawDeflate) : result;
  }
  if (same_name(coding, "zstd")) return unzstd(body, most);
  return {Coding::unknown, {}};
}

}  // namespace bankmux::net
