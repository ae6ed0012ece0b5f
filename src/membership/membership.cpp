#include "membership/membership.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <tuple>

namespace gateway::membership {
namespace {

constexpr char kVersion = 1;
constexpr int kCountBits = 16;     // of an incarnation, for refutations
constexpr int kStrangers = 2;      // members named in spare room of each message, whoever they are
constexpr double kSeedEvery = 10;  // periods from one look at a seed to the next; each, where nobody is known
constexpr double kNackAfter = 0.8;  // of the time-out that a helper gives its own probe
constexpr int kFirstSyncs = 4;      // soon after the start, one after the other
constexpr std::size_t kMostRumours = 4096;

template <typename Number>
void Put(std::string& to, Number value, int bytes) {
  for (int i = 0; i < bytes; ++i)
    to.push_back(static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * i)));
}

// Nothing past the end.
std::optional<std::uint64_t> Take(std::string_view& from, std::size_t bytes) {
  if (from.size() < bytes) return std::nullopt;
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < bytes; ++i)
    value |= std::uint64_t{static_cast<unsigned char>(from[i])} << (8 * i);
  from.remove_prefix(bytes);
  return value;
}

void PutName(std::string& to, const std::string& name) {
  Put(to, name.size(), 1);
  to += name;
}

std::optional<std::string> TakeName(std::string_view& from) {
  const auto size = Take(from, 1);
  if (!size || *size > kMostName || from.size() < *size) return std::nullopt;
  std::string name(from.substr(0, *size));
  from.remove_prefix(*size);
  return name;
}

void PutAddress(std::string& to, const Address& address) {
  Put(to, address.ip, 4);
  Put(to, address.port, 2);
}

std::optional<Address> TakeAddress(std::string_view& from) {
  const auto ip = Take(from, 4), port = Take(from, 2);
  if (!ip || !port) return std::nullopt;
  return Address{static_cast<std::uint32_t>(*ip), static_cast<std::uint16_t>(*port)};
}

}  // namespace

Membership::Membership(MembershipOptions options, std::string name, Address address, std::uint64_t started,
                       std::uint64_t seed)
    : options_(options), name_(std::move(name)), random_(seed) {
  if (name_.empty() || name_.size() > kMostName) {
    throw std::invalid_argument("a member's name must have 1 to 24 bytes: '" + name_ + "'");
  }
  Member& self = members_[name_];
  self.name = name_;
  self.address = address;
  self.incarnation = started << kCountBits;
  order_.push_back(&self);
  Spread({name_, address, self.incarnation, Status::kAlive, ""});
}

void Membership::Seed(Address address) {
  if (address != self().address) seeds_.push_back(address);
}

double Membership::LogMembers() const { return std::max(1.0, std::log10(static_cast<double>(alive_) + 1)); }
int Membership::MostRepeats() const { return static_cast<int>(std::ceil(options_.repeats * LogMembers())); }
void Membership::Health(int change) { health_ = std::clamp(health_ + change, 0, options_.worst_health); }

Millis Membership::SuspicionOf(const Member& member) const {
  const Millis least = options_.suspicion * LogMembers() * options_.period;
  const Millis most = options_.patience * least;
  const double confirmed = std::max(0.0, static_cast<double>(member.accusers.size()) - 1);
  return std::max(least,
                  most - (most - least) * std::log(confirmed + 1) / std::log(options_.confirmations + 1.0));
}

// ---- What is known, and how news change it ------------------------------------------------------

void Membership::Spread(const Update& update) {
  if (!rumoured_.insert(update.name).second) {
    std::erase_if(rumours_, [&](const Rumour& r) { return r.update.name == update.name; });
  }
  rumours_.push_front({update, 0});
  if (rumours_.size() <= kMostRumours) return;
  rumoured_.erase(rumours_.back().update.name);
  rumours_.pop_back();
}

void Membership::Set(Millis now, Member& member, const Update& update, Output& out) {
  const bool fresh = member.incarnation == 0;
  const bool changed = fresh || member.status != update.status;
  if (fresh) order_.push_back(&member);
  alive_ += (update.status <= Status::kSuspect) - (!fresh && member.status <= Status::kSuspect);
  ill_ += (update.status != Status::kAlive) - (!fresh && member.status != Status::kAlive);
  if (member.incarnation != update.incarnation || member.status != update.status) member.accusers.clear();
  member.address = update.address;
  member.incarnation = update.incarnation;
  if (changed) member.since = now;
  member.status = update.status;
  if (changed && !(fresh && update.status > Status::kSuspect)) {
    out.news.push_back({member.name, member.status, member.incarnation});
  }
}

// A word is newer by its incarnation, then by its status, then by its address, so that any order gives the
// same.
void Membership::Hear(Millis now, const Update& heard, Output& out) {
  Update update = heard;
  if (update.name == name_) {
    Member& own = members_.at(name_);
    const bool alive = update.status == Status::kAlive;
    if (update.incarnation < own.incarnation || left_ || (alive && update.incarnation == own.incarnation))
      return;
    if (!alive) Health(+1);  // others could not reach it: its own doubts may have the same cause
    own.incarnation = update.incarnation + 1;
    return Spread({name_, own.address, own.incarnation, Status::kAlive, ""});
  }
  // That another holds it for dead is one more suspicion: the fault may be that one's link. Each waits
  // itself.
  if (update.status == Status::kDead) update.status = Status::kSuspect;
  Member& known = members_[update.name];
  known.name = update.name;
  const auto rank = [](Incarnation incarnation, Status status, Address address) {
    return std::tuple(incarnation, status, address);
  };
  const auto old = rank(known.incarnation, known.status, known.address);
  const bool newer = rank(update.incarnation, update.status, update.address) > old;
  if (newer) Set(now, known, update, out);
  bool accused = false;
  if (update.status == Status::kSuspect && known.status == Status::kSuspect &&
      update.incarnation == known.incarnation && !update.accuser.empty()) {
    // The least names of all that were heard, so that this, too, is the same in any order.
    auto& accusers = known.accusers;
    const auto at = std::ranges::lower_bound(accusers, update.accuser);
    const auto most = static_cast<std::size_t>(options_.confirmations) + 1;
    if ((at == accusers.end() || *at != update.accuser) &&
        (accusers.size() < most || update.accuser < accusers.back())) {
      accusers.insert(at, update.accuser);
      if (accusers.size() > most) accusers.pop_back();
      accused = true;
    }
  }
  if (newer || accused) Spread(update);
}

void Membership::Accuse(Millis now, const std::string& name, Output& out) {
  const auto found = members_.find(name);
  if (found == members_.end() || found->second.status > Status::kSuspect) return;
  const Member& m = found->second;
  Hear(now, {name, m.address, m.incarnation, Status::kSuspect, name_}, out);
}

void Membership::ExpireSuspects(Millis now, Output& out) {
  if (ill_ == 0) return;
  for (auto at = members_.begin(); at != members_.end();) {
    Member& m = at->second;
    if (m.status == Status::kSuspect && now - m.since >= SuspicionOf(m)) {
      const Update dead{m.name, m.address, m.incarnation, Status::kDead, name_};
      Set(now, m, dead, out);
      Spread(dead);
    }
    const bool forgotten = m.status >= Status::kDead && now - m.since > options_.forget && m.name != name_;
    if (forgotten) {
      std::erase(order_, &m);
      --ill_;
    }
    at = forgotten ? members_.erase(at) : std::next(at);
  }
}

// ---- Probes ---------------------------------------------------------------------------------------

void Membership::Tick(Millis now, Output& out) {
  if (left_) return;
  // Stopped or starved: nobody else is to blame for what it missed.
  if (last_tick_ >= 0 && now - last_tick_ > options_.period) {
    const Millis away = now - last_tick_;
    for (auto& [name, m] : members_) m.since += away;
    probe_.reset();
    relays_.clear();
    health_ = options_.worst_health;
  }
  last_tick_ = now;
  for (auto at = relays_.begin(); at != relays_.end();) {
    Relay& relay = at->second;
    if (!relay.nacked && now >= relay.nack_at) {
      relay.nacked = true;
      Send(relay.asker, Kind::kNack, relay.asked, {}, nullptr, out);
    }
    at = now >= relay.until ? relays_.erase(at) : std::next(at);
  }
  if (probe_ && !probe_->asked_helpers && now >= probe_->direct_until) {
    probe_->asked_helpers = true;
    std::vector<const Member*> helpers;
    for (const auto& [name, m] : members_) {
      if (name != name_ && name != probe_->name && m.status == Status::kAlive) helpers.push_back(&m);
    }
    for (int i = 0; i < options_.helpers && !helpers.empty(); ++i) {
      std::swap(helpers[random_() % helpers.size()], helpers.back());
      Send(helpers.back()->address, Kind::kPingReq, probe_->sequence, probe_->address, &probe_->name, out);
      ++probe_->nacks_due;
      helpers.pop_back();
    }
  }
  if (probe_ && now >= probe_->until) EndProbe(now, out);
  if (!probe_ && now >= next_probe_) BeginProbe(now, out);
  if (!seeds_.empty() && now >= next_seed_) {
    Send(seeds_[random_() % seeds_.size()], Kind::kPing, ++sequence_, {}, nullptr, out);
    next_seed_ = now + options_.period * (alive_ > 1 ? kSeedEvery : 1) * (0.75 + 0.5 * Draw());
  }
  if (now >= next_sync_) {
    // Anyone, and now and then a seed: halves of a fleet that was cut meet again by it.
    const Address any = order_[random_() % order_.size()]->address;
    const bool seed = !seeds_.empty() && (alive_ <= 1 || random_() % 4 == 0 || any == self().address);
    const Address with = seed ? seeds_[random_() % seeds_.size()] : any;
    if (with != self().address) out.sync = with;
    next_sync_ = now + (alive_ > 1 && ++syncs_ > kFirstSyncs ? options_.sync : options_.period) *
                           (0.75 + 0.5 * Draw());
  }
  ExpireSuspects(now, out);
}

double Membership::Draw() { return static_cast<double>(random_() >> 11) / 9007199254740992.0; }

// Each member once a round, in a new order each time: nobody waits longer than two rounds.
void Membership::BeginProbe(Millis now, Output& out) {
  const Millis stretch = health_ + 1;
  next_probe_ = now + options_.period * stretch * (0.95 + 0.1 * Draw());
  for (int rounds = 0; rounds < 2;) {
    if (round_.empty()) {
      ++rounds;
      for (const auto& [name, m] : members_) {
        if (name != name_ && m.status <= Status::kSuspect) round_.push_back(name);
      }
      std::shuffle(round_.begin(), round_.end(), random_);
      if (round_.empty()) return;
    }
    const std::string name = std::move(round_.back());
    round_.pop_back();
    const auto found = members_.find(name);
    if (found == members_.end() || found->second.status > Status::kSuspect) continue;
    probe_ = Probe{name, found->second.address, ++sequence_, now + options_.timeout * stretch,
                   now + options_.period * stretch};
    return Send(probe_->address, Kind::kPing, probe_->sequence, {}, &name, out);
  }
}

// No answer by any way.
void Membership::EndProbe(Millis now, Output& out) {
  // Helpers that did not even say that they got none: the fault is near.
  Health(probe_->nacks_due > 0 ? probe_->nacks_due : probe_->asked_helpers ? 0 : 1);
  const std::string name = probe_->name;
  probe_.reset();
  Accuse(now, name, out);
}

// ---- Messages -------------------------------------------------------------------------------------

std::string Membership::Write(const Update& update) {
  std::string bytes;
  Put(bytes, static_cast<int>(update.status), 1);
  PutName(bytes, update.name);
  PutAddress(bytes, update.address);
  Put(bytes, update.incarnation, 8);
  PutName(bytes, update.accuser);
  return bytes;
}

std::optional<Membership::Update> Membership::Read(std::string_view& bytes) {
  const auto status = Take(bytes, 1);
  const auto name = TakeName(bytes);
  const auto address = TakeAddress(bytes);
  const auto incarnation = Take(bytes, 8);
  const auto accuser = TakeName(bytes);
  if (!status || !name || !address || !incarnation || !accuser || name->empty() || *incarnation == 0 ||
      *status > 3) {
    return std::nullopt;
  }
  return Update{*name, *address, *incarnation, static_cast<Status>(*status), *accuser};
}

// `about`: of a request to probe, whom. `target`: for whom a probe is; null: whoever is there.
void Membership::Send(Address to, Kind kind, std::uint32_t sequence, Address about, const std::string* target,
                      Output& out) {
  std::string bytes;
  bytes.push_back(kVersion);
  Put(bytes, static_cast<int>(kind), 1);
  Put(bytes, sequence, 4);
  PutName(bytes, name_);
  Put(bytes, self().incarnation, 8);
  PutName(bytes, target != nullptr ? *target : "");
  PutAddress(bytes, about);
  const auto add = [&](const Update& update) {
    const std::string text = Write(update);
    if (bytes.size() + text.size() > kMostDatagram) return false;
    bytes += text;
    return true;
  };
  // Whoever is held to be ill is told so first, and can refute it.
  for (std::size_t i = 0; ill_ > 0 && i < order_.size(); ++i) {
    const Member& m = *order_[i];
    if (m.address != to || m.status == Status::kAlive) continue;
    add({m.name, m.address, m.incarnation, m.status, m.accusers.empty() ? name_ : m.accusers.front()});
  }
  for (std::size_t left = rumours_.size(); left > 0; --left) {
    if (!add(rumours_.front().update)) break;
    Rumour rumour = std::move(rumours_.front());
    rumours_.pop_front();
    if (++rumour.sent < MostRepeats()) {
      rumours_.push_back(std::move(rumour));
    } else {
      rumoured_.erase(rumour.update.name);
    }
  }
  // Spare room: for what rumours missed.
  for (int i = 0; i < kStrangers && members_.size() > 1; ++i) {
    const Member& m = *order_[random_() % order_.size()];
    if (m.status == Status::kDead) continue;  // old accusations would go round for ever
    if (!add({m.name, m.address, m.incarnation, m.status, m.accusers.empty() ? "" : m.accusers.front()}))
      break;
  }
  out.send.push_back({to, std::move(bytes)});
}

void Membership::Receive(Millis now, Address from, std::string_view bytes, Output& out) {
  if (left_) return;
  const auto version = Take(bytes, 1), kind = Take(bytes, 1), sequence = Take(bytes, 4);
  const auto sender = TakeName(bytes);
  const auto incarnation = Take(bytes, 8);
  const auto target = TakeName(bytes);
  const auto about = TakeAddress(bytes);
  std::vector<Update> updates;
  bool good = version && *version == kVersion && kind && *kind >= 1 && *kind <= 4 && sequence && sender &&
              !sender->empty() && incarnation && *incarnation != 0 && target && about;
  while (good && !bytes.empty()) {
    const auto update = Read(bytes);
    good = update.has_value();
    if (update) updates.push_back(*update);
  }
  if (!good) return void(++malformed_);  // all or nothing: half a message is nobody's word
  if (*sender == name_) return;          // an earlier process of this name, or an echo
  Hear(now, {*sender, from, *incarnation, Status::kAlive, ""}, out);
  for (const Update& update : updates) Hear(now, update, out);
  const auto number = static_cast<std::uint32_t>(*sequence);
  switch (static_cast<Kind>(*kind)) {
    case Kind::kPing:
      if (target->empty() || *target == name_) Send(from, Kind::kAck, number, {}, nullptr, out);
      return;
    case Kind::kPingReq: {
      const std::uint32_t own = ++sequence_;
      relays_[own] = {from, number, now + kNackAfter * options_.timeout, false, now + 2 * options_.period};
      return Send(*about, Kind::kPing, own, {}, &*target, out);
    }
    case Kind::kAck: {
      if (probe_ && probe_->sequence == number) {
        probe_.reset();
        Health(-1);
      } else if (const auto relay = relays_.find(number); relay != relays_.end()) {
        Send(relay->second.asker, Kind::kAck, relay->second.asked, {}, nullptr, out);
        relays_.erase(relay);
      }
      // It lives, and is held to be dead: it has to hear of it.
      const auto held = members_.find(*sender);
      if (held != members_.end() && held->second.status != Status::kAlive) {
        Send(from, Kind::kPing, ++sequence_, {}, &*sender, out);
      }
      return;
    }
    case Kind::kNack:
      if (probe_ && probe_->sequence == number && probe_->nacks_due > 0) --probe_->nacks_due;
      return;
  }
}

void Membership::Leave(Millis, Output& out) {
  Member& own = members_.at(name_);
  Spread({name_, own.address, own.incarnation, Status::kLeft, ""});
  std::vector<Address> others;
  for (const auto& [name, m] : members_) {
    if (name != name_ && m.status <= Status::kSuspect) others.push_back(m.address);
  }
  std::shuffle(others.begin(), others.end(), random_);
  others.resize(std::min(others.size(), static_cast<std::size_t>(MostRepeats())));
  for (const Address& to : others) Send(to, Kind::kPing, ++sequence_, {}, nullptr, out);
  left_ = true;
}

std::string Membership::State() const {
  std::string bytes(1, kVersion);
  for (const auto& [name, m] : members_) {
    if (m.status == Status::kDead) continue;
    if (m.accusers.empty()) bytes += Write({name, m.address, m.incarnation, m.status, ""});
    for (const std::string& accuser : m.accusers)
      bytes += Write({name, m.address, m.incarnation, m.status, accuser});
  }
  return bytes;
}

bool Membership::Merge(Millis now, std::string_view state, Output& out) {
  if (state.empty() || state.front() != kVersion) return ++malformed_, false;
  state.remove_prefix(1);
  std::vector<Update> updates;
  while (!state.empty()) {
    const auto update = Read(state);
    if (!update) return ++malformed_, false;
    updates.push_back(*update);
  }
  for (const Update& update : updates) Hear(now, update, out);
  return true;
}

}  // namespace gateway::membership
