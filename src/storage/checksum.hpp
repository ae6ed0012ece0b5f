// Checksum used in all files of a store.
#ifndef GATEWAY_STORAGE_CHECKSUM_HPP_
#define GATEWAY_STORAGE_CHECKSUM_HPP_

#include <cstdint>
#include <string_view>

namespace gateway::storage {

// CRC-32C (Castagnoli).
std::uint32_t Crc32c(std::string_view bytes);

}  // namespace gateway::storage

#endif  // GATEWAY_STORAGE_CHECKSUM_HPP_
