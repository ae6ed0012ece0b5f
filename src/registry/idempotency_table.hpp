// Table of results by idempotency key. A repeated request gets the stored result and is not executed again.
#ifndef GATEWAY_REGISTRY_IDEMPOTENCY_TABLE_HPP_
#define GATEWAY_REGISTRY_IDEMPOTENCY_TABLE_HPP_

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include "registry/byte_codec.hpp"
#include "registry/member.hpp"

namespace gateway::registry {

// Retains the newest `capacity` keys. If the table is full, an insertion drops the oldest key.
class IdempotencyTable {
 public:
  struct Entry {
    std::string request;  // action and member, to detect a key that is reused for another request
    Revision revision = 0;
  };

  explicit IdempotencyTable(std::size_t capacity) : capacity_(capacity) {}

  // Returns null if the key is unknown. The pointer is valid until the next Insert().
  const Entry* Find(const std::string& key) const;
  // Adds an entry. The table must not contain `key` yet.
  void Insert(const std::string& key, Entry entry);

  void WriteTo(ByteWriter& writer) const;
  // Adds all entries that WriteTo() wrote. Stops if the reader fails.
  void ReadFrom(ByteReader& reader);

 private:
  std::size_t capacity_;
  std::unordered_map<std::string, Entry> entries_;
  std::deque<std::string> keys_;  // oldest first
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_IDEMPOTENCY_TABLE_HPP_
