// Queue of gossip updates that are piggybacked on the datagrams of probes.
#ifndef GATEWAY_MEMBERSHIP_DISSEMINATION_QUEUE_HPP_
#define GATEWAY_MEMBERSHIP_DISSEMINATION_QUEUE_HPP_

#include <deque>
#include <string>
#include <unordered_set>

#include "membership/gossip_codec.hpp"
#include "membership/member.hpp"

namespace gateway::membership {

// Holds at most one update per member and at most 4,096 updates. If the queue is full, drops the update at
// its end. Not thread-safe.
class DisseminationQueue {
 public:
  // Adds the update at the front. Replaces an earlier update about the same member.
  void Enqueue(const GossipUpdate& update);
  // Adds as many updates to the datagram as fit, from the front of the queue. Drops each update after
  // `retransmit_limit` transmissions.
  void Fill(DatagramBuilder& datagram, int retransmit_limit);

 private:
  struct Entry {
    GossipUpdate update;
    int transmissions = 0;
  };

  std::deque<Entry> entries_;
  std::unordered_set<std::string> names_;  // members that have an entry
};

}  // namespace gateway::membership

#endif  // GATEWAY_MEMBERSHIP_DISSEMINATION_QUEUE_HPP_
