// Numbers and texts in a row of bytes, for records: little-endian, texts behind their length.
#ifndef GATEWAY_REGISTRY_BYTES_HPP_
#define GATEWAY_REGISTRY_BYTES_HPP_

#include <bit>
#include <cstdint>
#include <string>
#include <string_view>

namespace gateway::registry {

class Writer {
 public:
  void Number(std::uint64_t value, int bytes = 8) {
    for (int i = 0; i < bytes; ++i) out_.push_back(static_cast<char>(value >> (8 * i)));
  }
  void Signed(std::int64_t value) { Number(static_cast<std::uint64_t>(value)); }
  void Real(double value) { Number(std::bit_cast<std::uint64_t>(value)); }
  void Text(std::string_view text) {
    Number(text.size(), 4);
    out_ += text;
  }
  std::string Take() { return std::move(out_); }

 private:
  std::string out_;
};

// Past the end, or past a text's, everything is zero and empty, and ok() says so.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : left_(bytes) {}
  std::uint64_t Number(int bytes = 8) {
    if (left_.size() < static_cast<std::size_t>(bytes)) return Fail();
    std::uint64_t value = 0;
    for (int i = 0; i < bytes; ++i) {
      value |= std::uint64_t{static_cast<unsigned char>(left_[static_cast<std::size_t>(i)])} << (8 * i);
    }
    left_.remove_prefix(static_cast<std::size_t>(bytes));
    return value;
  }
  std::int64_t Signed() { return static_cast<std::int64_t>(Number()); }
  double Real() { return std::bit_cast<double>(Number()); }
  std::string Text() {
    const std::uint64_t size = Number(4);
    if (left_.size() < size) return Fail(), std::string();
    std::string text(left_.substr(0, size));
    left_.remove_prefix(size);
    return text;
  }
  bool ok() const { return ok_; }
  bool done() const { return ok_ && left_.empty(); }

 private:
  std::uint64_t Fail() {
    ok_ = false;
    left_ = {};
    return 0;
  }
  std::string_view left_;
  bool ok_ = true;
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_BYTES_HPP_
