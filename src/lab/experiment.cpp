#include "lab/experiment.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

#include "base/spelling.hpp"

namespace gateway::lab {
namespace {

using base::kAboveZero;
using base::kNotNegative;
using base::kShare;
using base::TomlTable;

constexpr double kMs = 1000;
constexpr int kMostGateways = 200;  // each has an address of its own in the run's block of 254
constexpr int kMostPeers = 100;
constexpr int kMostHosts = 600;

const std::vector<std::pair<std::string, FaultKind>> kFaults{{"kill", FaultKind::kKill},
                                                             {"stop", FaultKind::kStop},
                                                             {"term", FaultKind::kTerm},
                                                             {"replace", FaultKind::kReplace},
                                                             {"list_down", FaultKind::kListDown},
                                                             {"list_kill", FaultKind::kListKill},
                                                             {"list_stop", FaultKind::kListStop},
                                                             {"list_full", FaultKind::kListFull},
                                                             {"list_cut", FaultKind::kListCut},
                                                             {"list_truncate", FaultKind::kListTruncate},
                                                             {"member_cut", FaultKind::kMemberCut},
                                                             {"zone_cut", FaultKind::kZoneCut},
                                                             {"cut", FaultKind::kCut},
                                                             {"reset", FaultKind::kReset},
                                                             {"slow_host", FaultKind::kSlow},
                                                             {"failing_host", FaultKind::kFail},
                                                             {"mute_host", FaultKind::kMute},
                                                             {"kill_host", FaultKind::kHostKill},
                                                             {"vanish_host", FaultKind::kHostVanish},
                                                             {"drain_host", FaultKind::kHostDrain},
                                                             {"delay", FaultKind::kDelay},
                                                             {"peers", FaultKind::kPeers},
                                                             {"peer_cut", FaultKind::kPeerCut},
                                                             {"burst", FaultKind::kBurst}};

HostKind ReadHost(TomlTable& t, const std::vector<std::string>& zones) {
  HostKind k;
  k.name = t.Text("kind", k.name);
  k.count = t.Integer("count", 1, 1, kMostHosts);
  if (t.Has("zone")) k.zone = t.OneOf("zone", "", zones);
  k.cores = t.Number("cores", k.cores, {0.01, 1024});
  k.speed = t.Number("speed", k.speed, {0.001, 1000});
  k.slots = t.Integer("slots", k.slots, 1, 1 << 20);
  k.waiting = t.Integer("waiting", k.waiting, 0, 1 << 20);
  k.thrash = t.Number("thrash", k.thrash, kShare);
  k.handshake_ms = t.Number("handshake_ms", k.handshake_ms, kNotNegative);
  k.connections = t.Integer("connections", k.connections, 1, 1 << 20);
  k.idle_ms = t.Number("idle_ms", k.idle_ms, {100, 1e9});
  k.errors = t.Number("errors", k.errors, kShare);
  k.silent = t.Number("silent", k.silent, kShare);
  t.RejectUnknownKeys();
  return k;
}

ClassSpec ReadClass(TomlTable& t) {
  ClassSpec c;
  c.name = t.Text("name");
  c.share = t.Number("share", c.share, kAboveZero);
  c.work = t.Number("work_ms", c.work, kAboveZero);
  c.aim = t.Number("aim_ms", c.aim, kAboveZero);
  c.deadline = t.Number("deadline_ms", c.deadline, kAboveZero);
  if (c.deadline < c.aim) t.Fail("deadline_ms", "is before aim_ms");
  c.worth = t.Number("worth", c.worth, kAboveZero);
  c.late_worth = t.Number("late_worth", c.late_worth, kShare);
  c.repeatable = t.Flag("repeatable", c.repeatable);
  t.RejectUnknownKeys();
  return c;
}

// "2", "0-4" and any of these with commas, below `count`.
std::vector<int> ReadNumbers(TomlTable& t, const std::string& key, int count) {
  std::vector<int> numbers;
  const std::string text = t.Text(key);
  std::size_t at = 0;
  while (at < text.size()) {
    std::size_t end = text.find(',', at);
    if (end == std::string::npos) end = text.size();
    const std::string part = text.substr(at, end - at);
    int first = 0, last = 0, used = 0;
    const int got = std::sscanf(part.c_str(), "%d-%d%n", &first, &last, &used);
    if (got == 1 && std::sscanf(part.c_str(), "%d%n", &first, &used) == 1) last = first;
    if (got < 1 || used != static_cast<int>(part.size())) t.Fail(key, "'" + part + "' is not N or N-M");
    if (first < 0 || last < first || last >= count) {
      t.Fail(key, fmt::format("'{}' is not within 0 to {}", part, count - 1));
    }
    for (int i = first; i <= last; ++i) numbers.push_back(i);
    at = end + 1;
  }
  if (numbers.empty()) t.Fail(key, "names none");
  return numbers;
}

Fault ReadFault(TomlTable& t, const Experiment& e) {
  Fault f;
  std::vector<std::string> words;
  words.reserve(std::size(kFaults));
  for (const auto& [word, kind] : kFaults) words.push_back(word);
  if (!t.Has("what")) t.Fail("what", "missing");
  const std::string what = t.OneOf("what", "", words);
  f.kind =
      std::find_if(kFaults.begin(), kFaults.end(), [&](const auto& k) { return k.first == what; })->second;
  f.at = t.Number("at_s", {0, e.traffic.seconds / kMs}) * kMs;
  f.lasts = t.Seconds("for_s", 0, kNotNegative);
  f.text = what;
  switch (f.kind) {
    case FaultKind::kCut:
    case FaultKind::kReset: f.hosts = ReadNumbers(t, "host", e.HostCount()); [[fallthrough]];
    case FaultKind::kKill:
    case FaultKind::kStop:
    case FaultKind::kTerm:
    case FaultKind::kReplace:
    case FaultKind::kPeers:
    case FaultKind::kPeerCut:
    case FaultKind::kListCut:
    case FaultKind::kDelay:
      f.gateways = ReadNumbers(t, "gateway", e.fleet.gateways);
      f.text += " gateway " + t.Text("gateway");
      break;
    case FaultKind::kSlow:
    case FaultKind::kFail:
    case FaultKind::kMute:
    case FaultKind::kHostKill:
    case FaultKind::kHostDrain:
    case FaultKind::kHostVanish:
    case FaultKind::kMemberCut:
      f.hosts = ReadNumbers(t, "host", e.HostCount());
      f.text += " host " + t.Text("host");
      break;
    case FaultKind::kZoneCut:
      if (!t.Has("zone")) t.Fail("zone", "missing");
      f.zone = t.OneOf("zone", "", e.fleet.zones);
      f.text += " " + f.zone;
      break;
    case FaultKind::kListDown:
    case FaultKind::kListKill:
    case FaultKind::kListStop:
    case FaultKind::kListFull:
    case FaultKind::kListTruncate:
    case FaultKind::kBurst: break;
  }
  if (f.kind == FaultKind::kSlow || f.kind == FaultKind::kDelay || f.kind == FaultKind::kBurst) {
    f.size = t.Number("size", kAboveZero);
    f.text += fmt::format(" x{:g}", f.size);
    if (f.kind == FaultKind::kDelay) f.jitter = t.Number("jitter_ms", 0, kNotNegative);
  } else if (f.kind == FaultKind::kCut) {
    const std::string way = t.OneOf("way", "both", {"both", "there", "back"});
    f.there = way != "back";
    f.back = way != "there";
    if (way != "both") f.text += " " + way;
  } else if (f.kind == FaultKind::kPeers) {
    f.weather = {t.Number("loss", 0, kShare), t.Number("repeat", 0, kShare), t.Number("reorder", 0, kShare),
                 t.Number("delay_ms", 0, kNotNegative)};
  } else if (f.kind == FaultKind::kPeerCut) {
    f.peers = ReadNumbers(t, "peer", e.fleet.gateways);
    f.text += " from " + t.Text("peer");
  } else if (f.kind == FaultKind::kFail || f.kind == FaultKind::kListTruncate) {
    f.size = t.Number("size", kShare);
  }
  const bool own_list = f.kind >= FaultKind::kListKill && f.kind <= FaultKind::kMemberCut;
  if (own_list && !e.fleet.registry) t.Fail("what", "needs registry = true in [fleet]");
  if (f.kind == FaultKind::kListDown && e.fleet.registry) t.Fail("what", "is of the stand-in; use list_kill");
  if (f.kind == FaultKind::kListKill && f.lasts <= 0) t.Fail("for_s", "missing: when it is started again");
  if ((f.kind == FaultKind::kPeers || f.kind == FaultKind::kPeerCut) && !e.fleet.peers) {
    t.Fail("what", "needs peers = true in [fleet]");
  }
  t.RejectUnknownKeys();
  return f;
}

Bound ReadBound(TomlTable& t, const std::vector<std::string>& variants) {
  Bound b;
  b.figure = t.Text("figure");
  if (!IsFigure(b.figure)) {
    const std::string near = base::NearestWord(b.figure, FigureNames());
    t.Fail("figure",
           fmt::format("no figure '{}'{}", b.figure,
                       near.empty() ? "; known: " + fmt::format("{}", fmt::join(FigureNames(), ", "))
                                    : ", did you mean '" + near + "'?"));
  }
  b.of = t.OneOf("of", b.of, variants);
  if (t.Has("over")) b.over = t.OneOf("over", "", variants);
  if (t.Has("least")) b.least = t.Number("least");
  if (t.Has("most")) b.most = t.Number("most");
  if (!b.least && !b.most) t.Fail("figure", "needs 'least' or 'most'");
  b.speed = t.Flag("speed", false);
  t.RejectUnknownKeys();
  return b;
}

Experiment Read(TomlTable t) {
  Experiment e;
  e.name = t.Text("name");
  if (e.name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-_.") != std::string::npos ||
      e.name.empty()) {
    t.Fail("name", "must be of the letters a-z, 0-9, '-', '_' and '.'");
  }
  e.about = t.Text("about", "");
  e.ends_within = t.Seconds("ends_within_s", e.ends_within, {1, 7200});
  e.most_late = t.Number("most_late_ms", e.most_late, kAboveZero);
  if (auto f = t.Table("fleet")) {
    e.fleet.gateways = f->Integer("gateways", e.fleet.gateways, 1, kMostGateways);
    if (f->Has("zones")) e.fleet.zones = f->TextList("zones");
    if (e.fleet.zones.empty()) f->Fail("zones", "names none");
    e.fleet.list_delay = f->Number("list_delay_ms", e.fleet.list_delay, kNotNegative);
    e.fleet.front_notices = f->Number("front_notices_ms", e.fleet.front_notices, kNotNegative);
    e.fleet.drain_grace = f->Number("drain_grace_ms", e.fleet.drain_grace, kAboveZero);
    e.fleet.max_attempts = f->Integer("max_attempts", e.fleet.max_attempts, 1, 10);
    e.fleet.sockets = f->Integer("sockets", e.fleet.sockets, 64, 1 << 20);
    e.fleet.memory_mb = f->Integer("memory_mb", e.fleet.memory_mb, 16, 1 << 20);
    e.fleet.retry_after = f->Flag("retry_after", e.fleet.retry_after);
    e.fleet.file_kb = f->Integer("file_kb", e.fleet.file_kb, 0, 1 << 30);
    e.fleet.slow_sync = f->Number("slow_sync_ms", e.fleet.slow_sync, {0, 60000});
    e.fleet.state = f->Flag("state", e.fleet.state);
    e.fleet.registry = f->Flag("registry", e.fleet.registry);
    e.fleet.lease_term = f->Seconds("lease_term_s", e.fleet.lease_term, {0.5, 3600});
    e.fleet.lease_grace = f->Seconds("lease_grace_s", e.fleet.lease_grace, kNotNegative);
    e.fleet.peers = f->Flag("peers", e.fleet.peers);
    if (e.fleet.peers && e.fleet.gateways > kMostPeers) {
      f->Fail("peers", fmt::format("takes a socket for each pair: {} gateways at most", kMostPeers));
    }
    e.fleet.ready_within = f->Seconds("ready_within_s", e.fleet.ready_within, {0.1, 600});
    f->RejectUnknownKeys();
  }
  for (TomlTable& host : t.Tables("hosts")) e.hosts.push_back(ReadHost(host, e.fleet.zones));
  if (e.hosts.empty()) t.Fail("hosts", "at least one [[hosts]] is needed");
  if (e.HostCount() > kMostHosts) t.Fail("hosts", fmt::format("more than {} in all", kMostHosts));
  if (auto c = t.Table("cold_start")) {
    e.cold.from = c->Number("from", e.cold.from, {0.01, 1});
    e.cold.warm_after = c->Seconds("warm_after_s", e.cold.warm_after, kNotNegative);
    e.cold.fall_multiple = c->Number("fall_multiple", e.cold.fall_multiple, kAboveZero);
    e.cold.fall_window = c->Seconds("fall_window_s", e.cold.fall_window, kAboveZero);
    c->RejectUnknownKeys();
  }
  for (TomlTable& c : t.Tables("classes")) e.classes.push_back(ReadClass(c));
  if (e.classes.empty()) t.Fail("classes", "at least one [[classes]] is needed");
  auto traffic = t.Table("traffic");
  if (!traffic) t.Fail("traffic", "missing");
  Traffic& f = e.traffic;
  if (traffic->Has("load") == traffic->Has("rate")) traffic->Fail("rate", "give one of 'rate' and 'load'");
  f.rate = traffic->Has("load") ? traffic->Number("load", kAboveZero) * e.Capacity()
                                : traffic->Number("rate", kAboveZero);
  f.seconds = traffic->Number("seconds", {0.1, 7200}) * kMs;
  f.warm_up = traffic->Seconds("warm_up_s", f.warm_up, {0, f.seconds / kMs});
  f.bursty = traffic->OneOf("arrivals", "poisson", {"poisson", "bursty"}) == "bursty";
  f.burst_factor = traffic->Number("burst_factor", f.burst_factor, {1, 100});
  f.burst_length = traffic->Number("burst_ms", f.burst_length, kAboveZero);
  f.tenants = traffic->NumberTable("tenants");
  f.skew = traffic->Number("skew", f.skew, {0, 100});
  f.retries = traffic->Integer("retries", f.retries, 0, 20);
  f.backoff = traffic->Number("backoff_ms", f.backoff, kNotNegative);
  f.patience = traffic->Number("patience", f.patience, {0.05, 1});
  traffic->RejectUnknownKeys();
  for (TomlTable& fault : t.Tables("faults")) e.faults.push_back(ReadFault(fault, e));
  std::stable_sort(e.faults.begin(), e.faults.end(),
                   [](const Fault& a, const Fault& b) { return a.at < b.at; });
  const std::vector<std::string> known{"random", "round_robin", "least_inflight",
                                       "direct", "no_fault",    "no_state"};
  e.baselines = t.TextList("baselines");
  for (const std::string& name : e.baselines) {
    if (std::find(known.begin(), known.end(), name) == known.end()) {
      t.Fail("baselines", fmt::format("'{}' is none of {}", name, fmt::join(known, ", ")));
    }
  }
  std::vector<std::string> variants = e.baselines;
  variants.insert(variants.end(), {"gateway", "earlier"});
  for (TomlTable& bound : t.Tables("bounds")) e.bounds.push_back(ReadBound(bound, variants));
  t.RejectUnknownKeys();
  return e;
}

}  // namespace

Experiment Experiment::WithoutFaults() const {
  Experiment calm = *this;
  std::erase_if(calm.faults, [](const Fault& fault) { return fault.kind != FaultKind::kBurst; });
  return calm;
}

int Experiment::HostCount() const {
  int count = 0;
  for (const HostKind& kind : hosts) count += kind.count;
  return count;
}

double Experiment::Capacity() const {
  double work = 0, shares = 0, power = 0;
  for (const ClassSpec& c : classes) {
    work += c.share * c.work;
    shares += c.share;
  }
  for (const HostKind& kind : hosts) power += kind.count * kind.cores * kind.speed;
  return work > 0 ? power * 1000 * shares / work : 0;
}

Experiment ReadExperiment(const std::string& path) { return Read(TomlTable::FromFile(path)); }

Experiment ParseExperiment(std::string_view text, const std::string& name) {
  return Read(TomlTable::FromText(text, name));
}

}  // namespace gateway::lab
