#include "membership/failure_detector.hpp"

#include <algorithm>
#include <utility>

namespace gateway::membership {
namespace {

using base::Millis;

constexpr double kPeriodJitter = 0.05;
// If a helper has received no ack after this fraction of the probe timeout, it sends a nack to the requester.
constexpr double kNackDelayFraction = 0.8;
constexpr double kRelayedProbeLifetimePeriods = 2;
constexpr int kMaxRoundsPerProbe = 2;

}  // namespace

FailureDetector::FailureDetector(const MembershipOptions& options, const MemberTable& members,
                                 LocalHealth& local_health, RandomEngine& random, Delegate& delegate)
    : options_(options),
      members_(members),
      local_health_(local_health),
      random_(random),
      delegate_(delegate) {}

void FailureDetector::Tick(Millis now, ProtocolOutput& out) {
  TickRelayedProbes(now, out);
  if (probe_ && !probe_->indirect && now >= probe_->direct_deadline) SendPingReqs(out);
  if (probe_ && now >= probe_->deadline) FailProbe(now, out);
  if (!probe_ && now >= next_probe_at_) StartProbe(now, out);
}

void FailureDetector::Reset() {
  probe_.reset();
  relayed_.clear();
}

void FailureDetector::SendPing(Address to, const std::string& target, ProtocolOutput& out) {
  delegate_.SendMessage({to, MessageType::kPing, ++last_sequence_, target, {}}, out);
}

// ---- Probes by this member ------------------------------------------------------------------------

void FailureDetector::StartProbe(Millis now, ProtocolOutput& out) {
  const int health_multiplier = local_health_.multiplier();
  next_probe_at_ = now + options_.protocol_period * health_multiplier * Jitter(random_, kPeriodJitter);
  const Member* const target = NextProbeTarget();
  if (target == nullptr) return;
  Probe probe;
  probe.name = target->name;
  probe.address = target->address;
  probe.sequence = ++last_sequence_;
  probe.direct_deadline = now + options_.probe_timeout * health_multiplier;
  probe.deadline = now + options_.protocol_period * health_multiplier;
  probe_ = probe;
  delegate_.SendMessage({probe.address, MessageType::kPing, probe.sequence, probe.name, {}}, out);
}

// Returns the next member to probe, or null if no other member is alive. Each round contains all alive
// members in a new random order. Thus at most two rounds pass between two probes of a member.
const Member* FailureDetector::NextProbeTarget() {
  for (int rounds = 0; rounds < kMaxRoundsPerProbe;) {
    if (round_.empty()) {
      ++rounds;
      StartRound();
      if (round_.empty()) return nullptr;
    }
    const std::string name = std::move(round_.back());
    round_.pop_back();
    const Member* const member = members_.Find(name);
    if (member != nullptr && member->IsAlive()) return member;
  }
  return nullptr;
}

void FailureDetector::StartRound() {
  const std::string& own_name = members_.self().name;
  for (const auto& [name, member] : members_.members()) {
    if (name != own_name && member.IsAlive()) round_.push_back(name);
  }
  std::shuffle(round_.begin(), round_.end(), random_);
}

void FailureDetector::SendPingReqs(ProtocolOutput& out) {
  probe_->indirect = true;
  const std::string& own_name = members_.self().name;
  std::vector<const Member*> helpers;
  for (const auto& [name, member] : members_.members()) {
    const bool is_helper = name != own_name && name != probe_->name;
    if (is_helper && member.status == MemberStatus::kAlive) helpers.push_back(&member);
  }
  for (int i = 0; i < options_.indirect_probes && !helpers.empty(); ++i) {
    std::swap(helpers[RandomIndex(random_, helpers.size())], helpers.back());
    delegate_.SendMessage(
        {helpers.back()->address, MessageType::kPingReq, probe_->sequence, probe_->name, probe_->address},
        out);
    ++probe_->missing_nacks;
    helpers.pop_back();
  }
}

// Ends the probe as failed. If a helper has sent neither an ack nor a nack, or if no ping-req was sent before
// the deadline, the cause is probably this member or its link. Then the local health of this member gets
// worse.
void FailureDetector::FailProbe(Millis now, ProtocolOutput& out) {
  if (probe_->missing_nacks > 0) {
    local_health_.Worsen(probe_->missing_nacks);
  } else if (!probe_->indirect) {
    local_health_.Worsen(1);
  }
  const std::string name = probe_->name;
  probe_.reset();
  delegate_.OnProbeFailed(now, name, out);
}

void FailureDetector::OnNack(const MessageHeader& nack) {
  if (probe_ && probe_->sequence == nack.sequence && probe_->missing_nacks > 0) --probe_->missing_nacks;
}

void FailureDetector::OnAck(const MessageHeader& ack, ProtocolOutput& out) {
  if (probe_ && probe_->sequence == ack.sequence) {
    probe_.reset();
    local_health_.Improve();
    return;
  }
  const auto found = relayed_.find(ack.sequence);
  if (found == relayed_.end()) return;
  const RelayedProbe& relayed = found->second;
  delegate_.SendMessage({relayed.requester, MessageType::kAck, relayed.requester_sequence, "", {}}, out);
  relayed_.erase(found);
}

// ---- Probes by other members ----------------------------------------------------------------------

void FailureDetector::OnPing(Address from, const MessageHeader& ping, ProtocolOutput& out) {
  const bool is_for_this_member = ping.target.empty() || ping.target == members_.self().name;
  if (is_for_this_member) delegate_.SendMessage({from, MessageType::kAck, ping.sequence, "", {}}, out);
}

void FailureDetector::OnPingReq(Millis now, Address from, const MessageHeader& request, ProtocolOutput& out) {
  const std::uint32_t sequence = ++last_sequence_;
  RelayedProbe relayed;
  relayed.requester = from;
  relayed.requester_sequence = request.sequence;
  relayed.nack_at = now + kNackDelayFraction * options_.probe_timeout;
  relayed.expires_at = now + kRelayedProbeLifetimePeriods * options_.protocol_period;
  relayed_[sequence] = relayed;
  delegate_.SendMessage({request.probe_address, MessageType::kPing, sequence, request.target, {}}, out);
}

void FailureDetector::TickRelayedProbes(Millis now, ProtocolOutput& out) {
  for (auto entry = relayed_.begin(); entry != relayed_.end();) {
    RelayedProbe& relayed = entry->second;
    if (!relayed.nack_sent && now >= relayed.nack_at) {
      relayed.nack_sent = true;
      delegate_.SendMessage({relayed.requester, MessageType::kNack, relayed.requester_sequence, "", {}}, out);
    }
    entry = now >= relayed.expires_at ? relayed_.erase(entry) : std::next(entry);
  }
}

}  // namespace gateway::membership
