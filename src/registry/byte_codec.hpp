// Encodes and decodes numbers and strings. Numbers are little-endian. The length of a string precedes the
// string and has four bytes.
#ifndef GATEWAY_REGISTRY_BYTE_CODEC_HPP_
#define GATEWAY_REGISTRY_BYTE_CODEC_HPP_

#include <bit>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace gateway::registry {

inline constexpr int kStringLengthBytes = 4;

class ByteWriter {
 public:
  void WriteUnsigned(std::uint64_t value, int bytes = 8) {
    for (int i = 0; i < bytes; ++i) bytes_.push_back(static_cast<char>(value >> (8 * i)));
  }
  void WriteSigned(std::int64_t value) { WriteUnsigned(static_cast<std::uint64_t>(value)); }
  void WriteDouble(double value) { WriteUnsigned(std::bit_cast<std::uint64_t>(value)); }
  void WriteString(std::string_view text) {
    WriteUnsigned(text.size(), kStringLengthBytes);
    bytes_ += text;
  }
  // Returns all bytes written. The writer must not be used afterwards.
  std::string Take() { return std::move(bytes_); }

 private:
  std::string bytes_;
};

// A read past the end returns zero or an empty string. After such a read, ok() returns false.
class ByteReader {
 public:
  // `bytes` must outlive the reader.
  explicit ByteReader(std::string_view bytes) : remaining_(bytes) {}

  std::uint64_t ReadUnsigned(int bytes = 8) {
    if (remaining_.size() < static_cast<std::size_t>(bytes)) return Fail();
    std::uint64_t value = 0;
    for (int i = 0; i < bytes; ++i) {
      const auto byte = static_cast<unsigned char>(remaining_[static_cast<std::size_t>(i)]);
      value |= std::uint64_t{byte} << (8 * i);
    }
    remaining_.remove_prefix(static_cast<std::size_t>(bytes));
    return value;
  }
  std::int64_t ReadSigned() { return static_cast<std::int64_t>(ReadUnsigned()); }
  double ReadDouble() { return std::bit_cast<double>(ReadUnsigned()); }
  std::string ReadString() {
    const std::uint64_t size = ReadUnsigned(kStringLengthBytes);
    if (remaining_.size() < size) {
      Fail();
      return {};
    }
    std::string text(remaining_.substr(0, size));
    remaining_.remove_prefix(size);
    return text;
  }
  bool ok() const { return ok_; }
  // Returns whether all bytes were read and no read went past the end.
  bool done() const { return ok_ && remaining_.empty(); }

 private:
  std::uint64_t Fail() {
    ok_ = false;
    remaining_ = {};
    return 0;
  }

  std::string_view remaining_;
  bool ok_ = true;
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_BYTE_CODEC_HPP_
