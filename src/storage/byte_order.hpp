// Writes integers to byte strings, and reads them, in little-endian order.
#ifndef GATEWAY_STORAGE_BYTE_ORDER_HPP_
#define GATEWAY_STORAGE_BYTE_ORDER_HPP_

#include <cstddef>
#include <string>
#include <string_view>

namespace gateway::storage {

template <typename Number>
void AppendLittleEndian(std::string& bytes, Number number) {
  for (std::size_t i = 0; i < sizeof number; ++i) bytes += static_cast<char>(number >> (8 * i) & 0xff);
}

// Reads a number that starts at `offset`. All bytes of the number must lie within `bytes`.
template <typename Number>
Number ReadLittleEndian(std::string_view bytes, std::size_t offset) {
  Number number = 0;
  for (std::size_t i = 0; i < sizeof number; ++i) {
    const auto byte = static_cast<unsigned char>(bytes[offset + i]);
    number |= static_cast<Number>(static_cast<Number>(byte) << (8 * i));
  }
  return number;
}

}  // namespace gateway::storage

#endif  // GATEWAY_STORAGE_BYTE_ORDER_HPP_
