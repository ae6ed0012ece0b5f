#include "membership/membership.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <utility>

#include "membership/gossip_codec.hpp"

namespace gateway::membership {
namespace {

using base::Millis;

constexpr int kRandomMembersPerMessage = 2;
constexpr double kSeedPingPeriods = 10;  // interval between two pings of seed addresses, in protocol periods
constexpr double kIntervalJitter = 0.25;
constexpr int kEarlySyncs = 4;                // the first syncs after the start, one protocol period apart
constexpr std::size_t kSyncsPerSeedSync = 4;  // on average, one of this many syncs goes to a seed address

std::string CheckedName(std::string name) {
  if (name.empty() || name.size() > kMaxNameBytes) {
    throw std::invalid_argument("a member's name must have 1 to 24 bytes: '" + name + "'");
  }
  return name;
}

GossipUpdate UpdateAbout(const Member& member, std::string suspector) {
  return {member.name, member.address, member.incarnation, member.status, std::move(suspector)};
}

}  // namespace

Membership::Membership(MembershipOptions options, std::string name, Address address,
                       std::uint64_t process_start, std::uint64_t seed)
    : options_(options),
      name_(CheckedName(std::move(name))),
      random_(seed),
      members_(options_, name_, address, process_start << kRefutationBits),
      local_health_(options_.max_local_health),
      failure_detector_(options_, members_, local_health_, random_, *this) {
  dissemination_.Enqueue(UpdateAbout(self(), ""));
}

void Membership::AddSeedAddress(Address address) {
  if (address != self().address) seed_addresses_.push_back(address);
}

int Membership::RetransmitLimit() const {
  return static_cast<int>(std::ceil(options_.retransmit_multiplier * LogGroupSize(members_.alive_count())));
}

// ---- Periodic work --------------------------------------------------------------------------------

void Membership::Tick(Millis now, ProtocolOutput& out) {
  if (left_) return;
  DetectPause(now);
  failure_detector_.Tick(now, out);
  if (!seed_addresses_.empty() && now >= next_seed_ping_at_) PingSeed(now, out);
  if (now >= next_sync_at_) RequestSync(now, out);
  ExpireSuspicions(now, out);
}

// Detects that this process was suspended or starved of CPU. Such a process may have missed messages, and
// must not suspect other members because of them.
void Membership::DetectPause(Millis now) {
  const Millis since_last_tick = now - last_tick_;
  if (last_tick_ >= 0 && since_last_tick > options_.protocol_period) {
    members_.DelayTimeouts(since_last_tick);
    failure_detector_.Reset();
    local_health_.SetWorst();
  }
  last_tick_ = now;
}

void Membership::PingSeed(Millis now, ProtocolOutput& out) {
  failure_detector_.SendPing(RandomSeedAddress(), "", out);
  const double periods = knows_other_members() ? kSeedPingPeriods : 1;
  next_seed_ping_at_ = now + options_.protocol_period * periods * Jitter(random_, kIntervalJitter);
}

// Requests a sync with a random member, or sometimes with a seed address. Syncs with seed addresses let the
// halves of a partitioned group find each other again after the partition.
void Membership::RequestSync(Millis now, ProtocolOutput& out) {
  const std::vector<Member*>& members = members_.in_discovery_order();
  const Address member = members[RandomIndex(random_, members.size())]->address;
  const bool with_seed =
      !seed_addresses_.empty() &&
      (!knows_other_members() || RandomIndex(random_, kSyncsPerSeedSync) == 0 || member == self().address);
  const Address partner = with_seed ? RandomSeedAddress() : member;
  if (partner != self().address) out.sync_with = partner;
  const bool early = !knows_other_members() || ++syncs_ <= kEarlySyncs;
  const Millis interval = early ? options_.protocol_period : options_.sync_interval;
  next_sync_at_ = now + interval * Jitter(random_, kIntervalJitter);
}

Address Membership::RandomSeedAddress() {
  return seed_addresses_[RandomIndex(random_, seed_addresses_.size())];
}

void Membership::ExpireSuspicions(Millis now, ProtocolOutput& out) {
  for (const GossipUpdate& dead : members_.ExpireSuspicions(now, out)) dissemination_.Enqueue(dead);
  members_.RemoveExpiredMembers(now);
}

void Membership::Leave(ProtocolOutput& out) {
  GossipUpdate leaving = UpdateAbout(self(), "");
  leaving.status = MemberStatus::kLeft;
  dissemination_.Enqueue(leaving);
  std::vector<Address> others;
  for (const auto& [name, member] : members()) {
    if (name != name_ && member.IsAlive()) others.push_back(member.address);
  }
  std::shuffle(others.begin(), others.end(), random_);
  others.resize(std::min(others.size(), static_cast<std::size_t>(RetransmitLimit())));
  for (const Address& other : others) failure_detector_.SendPing(other, "", out);
  left_ = true;
}

// ---- Updates --------------------------------------------------------------------------------------

void Membership::Merge(Millis now, const GossipUpdate& update, ProtocolOutput& out) {
  if (update.name == name_) return Refute(update);
  GossipUpdate merged = update;
  // A report of a death counts only as one suspicion, because the link of the reporting member may be faulty.
  // This member declares the reported member dead only after its own suspicion timeout.
  if (merged.status == MemberStatus::kDead) merged.status = MemberStatus::kSuspect;
  if (members_.Merge(now, merged, out)) dissemination_.Enqueue(merged);
}

// Refutes an update about this member: raises the incarnation of this member and announces it as alive.
void Membership::Refute(const GossipUpdate& update) {
  const Incarnation own = self().incarnation;
  const bool reports_alive = update.status == MemberStatus::kAlive;
  const bool is_older = update.incarnation < own || (reports_alive && update.incarnation == own);
  if (is_older || left_) return;
  // Another member could not reach this member. Probes by this member may fail for the same reason.
  if (!reports_alive) local_health_.Worsen(1);
  members_.SetOwnIncarnation(update.incarnation + 1);
  dissemination_.Enqueue(UpdateAbout(self(), ""));
}

void Membership::OnProbeFailed(Millis now, const std::string& name, ProtocolOutput& out) {
  const Member* const member = members_.Find(name);
  if (member == nullptr || !member->IsAlive()) return;
  GossipUpdate suspicion = UpdateAbout(*member, name_);
  suspicion.status = MemberStatus::kSuspect;
  Merge(now, suspicion, out);
}

std::string Membership::State() const {
  std::vector<GossipUpdate> updates;
  for (const auto& [name, member] : members()) {
    if (member.status == MemberStatus::kDead) continue;
    if (member.suspectors.empty()) updates.push_back(UpdateAbout(member, ""));
    for (const std::string& suspector : member.suspectors) updates.push_back(UpdateAbout(member, suspector));
  }
  return EncodeState(updates);
}

bool Membership::MergeState(Millis now, std::string_view state, ProtocolOutput& out) {
  const auto updates = DecodeState(state);
  if (!updates) {
    ++malformed_;
    return false;
  }
  for (const GossipUpdate& update : *updates) Merge(now, update, out);
  return true;
}

// ---- Messages -------------------------------------------------------------------------------------

void Membership::Receive(Millis now, Address from, std::string_view bytes, ProtocolOutput& out) {
  if (left_) return;
  const auto message = DecodeMessage(bytes);
  if (!message) {
    ++malformed_;
    return;
  }
  const MessageHeader& header = message->header;
  if (header.sender == name_) return;  // sent by this member or by an earlier process with its name
  Merge(now, {header.sender, from, header.sender_incarnation, MemberStatus::kAlive, ""}, out);
  for (const GossipUpdate& update : message->updates) Merge(now, update, out);
  HandleMessage(now, from, header, out);
}

void Membership::HandleMessage(Millis now, Address from, const MessageHeader& header, ProtocolOutput& out) {
  switch (header.type) {
    case MessageType::kPing: return failure_detector_.OnPing(from, header, out);
    case MessageType::kPingReq: return failure_detector_.OnPingReq(now, from, header, out);
    case MessageType::kNack: return failure_detector_.OnNack(header);
    case MessageType::kAck: break;
  }
  failure_detector_.OnAck(header, out);
  // If the sender is not known as alive, sends it a ping that states its status, so that the sender can
  // refute the status.
  const Member* const sender = members_.Find(header.sender);
  if (sender != nullptr && sender->status != MemberStatus::kAlive) {
    failure_detector_.SendPing(from, header.sender, out);
  }
}

void Membership::SendMessage(const FailureDetector::OutgoingMessage& message, ProtocolOutput& out) {
  DatagramBuilder datagram(
      {message.type, message.sequence, name_, self().incarnation, message.target, message.probe_address});
  AddUpdatesAbout(message.to, datagram);
  dissemination_.Fill(datagram, RetransmitLimit());
  AddRandomMembers(datagram);
  out.datagrams.push_back({message.to, datagram.Take()});
}

// If the recipient is not known as alive, adds the recipient's status, so that the recipient can refute it.
void Membership::AddUpdatesAbout(Address recipient, DatagramBuilder& datagram) const {
  if (members_.all_healthy()) return;
  for (const Member* member : members_.in_discovery_order()) {
    if (member->address != recipient || member->status == MemberStatus::kAlive) continue;
    datagram.Add(UpdateAbout(*member, member->suspectors.empty() ? name_ : member->suspectors.front()));
  }
}

// Uses the remaining space for updates about random members, because the recipient may have missed an update.
// Omits dead members, because old updates about them would circulate forever.
void Membership::AddRandomMembers(DatagramBuilder& datagram) {
  if (members().size() <= 1) return;
  for (int i = 0; i < kRandomMembersPerMessage; ++i) {
    const std::vector<Member*>& known = members_.in_discovery_order();
    const Member& member = *known[RandomIndex(random_, known.size())];
    if (member.status == MemberStatus::kDead) continue;
    const std::string suspector = member.suspectors.empty() ? "" : member.suspectors.front();
    if (!datagram.Add(UpdateAbout(member, suspector))) return;
  }
}

}  // namespace gateway::membership
