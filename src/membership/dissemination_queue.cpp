#include "membership/dissemination_queue.hpp"

#include <cstddef>
#include <utility>

namespace gateway::membership {
namespace {

constexpr std::size_t kMaxEntries = 4096;

}  // namespace

void DisseminationQueue::Enqueue(const GossipUpdate& update) {
  if (!names_.insert(update.name).second) {
    std::erase_if(entries_, [&](const Entry& entry) { return entry.update.name == update.name; });
  }
  entries_.push_front({update, 0});
  if (entries_.size() <= kMaxEntries) return;
  names_.erase(entries_.back().update.name);
  entries_.pop_back();
}

void DisseminationQueue::Fill(DatagramBuilder& datagram, int retransmit_limit) {
  for (std::size_t remaining = entries_.size(); remaining > 0; --remaining) {
    if (!datagram.Add(entries_.front().update)) return;
    Entry entry = std::move(entries_.front());
    entries_.pop_front();
    ++entry.transmissions;
    if (entry.transmissions < retransmit_limit) {
      entries_.push_back(std::move(entry));
    } else {
      names_.erase(entry.update.name);
    }
  }
}

}  // namespace gateway::membership
