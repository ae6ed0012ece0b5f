// Gossip updates that are still to be sent: they ride on the datagrams of probes.
#ifndef GATEWAY_MEMBERSHIP_DISSEMINATION_QUEUE_HPP_
#define GATEWAY_MEMBERSHIP_DISSEMINATION_QUEUE_HPP_

#include <deque>
#include <string>
#include <unordered_set>

#include "membership/gossip_codec.hpp"
#include "membership/member.hpp"

namespace gateway::membership {

// Holds one update a member, and 4,096 at most: the oldest is dropped first. Not thread-safe.
class DisseminationQueue {
 public:
  // Puts the update first, in place of an earlier one about the same member.
  void Enqueue(const GossipUpdate& update);
  // Adds the next updates that fit. Each is sent `retransmit_limit` times before it is dropped.
  void Fill(DatagramBuilder& datagram, int retransmit_limit);

 private:
  struct Entry {
    GossipUpdate update;
    int transmissions = 0;
  };

  std::deque<Entry> entries_;
  std::unordered_set<std::string> names_;  // of the members that they are about
};

}  // namespace gateway::membership

#endif  // GATEWAY_MEMBERSHIP_DISSEMINATION_QUEUE_HPP_
