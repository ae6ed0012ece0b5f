#include "storage/checksum.hpp"

#include <boost/crc.hpp>

namespace gateway::storage {
namespace {

constexpr std::uint32_t kCastagnoliPolynomial = 0x1EDC6F41;
constexpr std::uint32_t kAllOnes = 0xFFFFFFFF;

}  // namespace

std::uint32_t Crc32c(std::string_view bytes) {
  boost::crc_optimal<32, kCastagnoliPolynomial, kAllOnes, kAllOnes, true, true> crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

}  // namespace gateway::storage
