// The list service: its state machine against a plain reference over crashes, its leases in simulated time,
// and the service on sockets over a disk that fails.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <set>

#include "base/clock.hpp"
#include "base/http_client.hpp"
#include "registry/agent.hpp"
#include "registry/service.hpp"
#include "storage/memory_file_system.hpp"

namespace gateway::registry {
namespace {

using nlohmann::json;

// ---- The state machine against a reference ------------------------------------------------------

// The plainest list there can be: every state of every member that ever was, in order, and each answer looked
// for in it from the end.
struct Reference {
  std::vector<Member> changes;
  std::map<std::string, std::pair<std::string, Revision>> keys;
  Revision first = 0;

  const Member* Last(const std::string& id) const {
    for (auto at = changes.rbegin(); at != changes.rend(); ++at) {
      if (at->id == id) return &*at;
    }
    return nullptr;
  }
  Revision revision() const { return first + static_cast<Revision>(changes.size()); }
  std::map<std::string, Member> ListAt(Revision revision) const {
    std::map<std::string, Member> list;
    for (const Member& m : changes) {
      if (m.revision > revision) break;
      list.erase(m.id);
      if (!m.removed) list[m.id] = m;
    }
    return list;
  }

  // The code of the answer; empty if it was done.
  std::string Apply(const Command& c) {
    const std::string what = std::to_string(static_cast<int>(c.action)) + c.member.id;
    if (const auto known = keys.find(c.key); !c.key.empty() && known != keys.end()) {
      return known->second.first == what ? "" : "key_reused";
    }
    const Member* const last = Last(c.member.id);
    const bool listed = last != nullptr && !last->removed;
    Member next = listed ? *last : c.member;
    if (c.action == Action::kRegister) {
      if (last != nullptr && c.member.incarnation < last->incarnation) return "stale_incarnation";
      const bool same = last != nullptr && c.member.incarnation == last->incarnation;
      if (!listed && same && !last->expired && c.member.incarnation != 0) return "removed";
      if (listed && c.if_incarnation && *c.if_incarnation != last->incarnation) return "stale_incarnation";
      if (listed && c.if_revision && last->revision > *c.if_revision) return "changed_since";
      if (listed && same && c.member.address != last->address) return "address_conflict";
      next = c.member;
      next.held_out = last != nullptr && (listed || last->expired) && last->held_out;
      next.draining = listed && same && last->draining;
      if (listed) next.revision = last->revision;
    } else {
      if (!listed) return "unknown_member";
      if (c.if_incarnation && *c.if_incarnation != last->incarnation) return "stale_incarnation";
      if (c.if_revision && last->revision > *c.if_revision) return "changed_since";
      if (c.action == Action::kDrain && c.by_operator) next.held_out = true;
      if (c.action == Action::kDrain && !c.by_operator) next.draining = true;
      if (c.action == Action::kUndrain) next.held_out = false;
      if (c.action == Action::kSetSize) next.size = c.member.size;
      if (c.action == Action::kSuspect) next.suspect = true;
      if (c.action == Action::kTrust) next.suspect = false;
      if (c.action == Action::kRemove || c.action == Action::kExpire) next.removed = true;
      if (c.action == Action::kExpire) next.expired = true;
    }
    if (!listed || !(next == *last)) {
      next.revision = revision() + 1;
      changes.push_back(next);
    }
    if (!c.key.empty()) keys[c.key] = {what, revision()};
    return "";
  }
};

// Few ids, starts and addresses, so that commands meet.
rc::Gen<Command> AnyCommand() {
  return rc::gen::apply(
      [](int action, int id, int start, int address, int key, int conditions, int size, bool by_operator) {
        Command c;
        c.action = static_cast<Action>(action < 8 ? action : 0);
        c.member.id = "m" + std::to_string(id);
        c.by_operator = by_operator;
        if (c.action == Action::kRegister) {
          c.member.address = "10.0.0." + std::to_string(address) + ":80";
          c.member.incarnation = start;
          c.member.term = 1000;
        }
        if (c.action == Action::kRegister || c.action == Action::kSetSize) c.member.size = size;
        if (key < 4) c.key = "k" + std::to_string(key);
        if (conditions & 1) c.if_revision = 100 + size * 3;
        if (conditions & 2) c.if_incarnation = start;
        return c;
      },
      rc::gen::inRange(0, 14), rc::gen::inRange(0, 4), rc::gen::inRange(0, 3), rc::gen::inRange(1, 3),
      rc::gen::inRange(0, 40), rc::gen::weightedElement<int>({{8, 0}, {1, 1}, {2, 2}}),
      rc::gen::inRange(1, 5), rc::gen::arbitrary<bool>());
}

constexpr Revision kFirst = 100;

void RequireSame(const Catalog& catalog, const Reference& reference) {
  RC_ASSERT(catalog.revision() == reference.revision());
  RC_ASSERT(catalog.members() == reference.ListAt(reference.revision()));
}

// What a watcher at `after` is told makes of its list the list of now: in order, each member once.
void RequireDelta(const Catalog& catalog, Revision after, std::map<std::string, Member> list,
                  const std::map<std::string, Member>& now) {
  const auto changed = catalog.Since(after);
  RC_ASSERT(changed.has_value());
  std::set<std::string> named;
  Revision last = after;
  for (const Member* member : *changed) {
    RC_ASSERT(member->revision > last);
    last = member->revision;
    RC_ASSERT(named.insert(member->id).second);
    list.erase(member->id);
    if (!member->removed) list[member->id] = *member;
  }
  RC_ASSERT(list == now);
}

// Every answer is the reference's, each accepted change makes one revision, and a watcher that comes at any
// time gets just the changes. RC_PARAMS="seed=... max_success=100000" plays more or plays again.
RC_GTEST_PROP(Catalog, DoesAsTheReferenceDoes, ()) {
  const auto commands = *rc::gen::container<std::vector<Command>>(AnyCommand());
  Catalog catalog("e", kFirst);
  Reference reference;
  reference.first = kFirst;
  Revision watcher = kFirst;
  for (std::size_t i = 0; i < commands.size(); ++i) {
    const Revision before = catalog.revision();
    const Outcome outcome = catalog.Apply(commands[i]);
    RC_ASSERT(outcome.code == reference.Apply(commands[i]));
    RC_ASSERT(catalog.revision() - before == (outcome.changed ? 1 : 0));
    RequireSame(catalog, reference);
    if (i % 3 == 2) {
      RequireDelta(catalog, watcher, reference.ListAt(watcher), catalog.members());
      watcher = catalog.revision();
    }
    std::string why;
    const auto copy = Catalog::FromSnapshot(catalog.Snapshot(), {}, why);
    RC_ASSERT(copy.has_value());
    RequireSame(*copy, reference);
  }
  for (Revision after = kFirst; after <= catalog.revision(); ++after) {
    RequireDelta(catalog, after, reference.ListAt(after), catalog.members());
  }
  RC_ASSERT(!catalog.Since(catalog.revision() + 1).has_value());
}

// What a caller writes is what the service reads.
RC_GTEST_PROP(Form, ReadsWhatItWrites, ()) {
  const Command command = *AnyCommand();
  RC_PRE(command.action <= Action::kSetSize);
  const Call call = ParseCall(NameOf(command.action), ToBody(command));
  RC_ASSERT(std::holds_alternative<Command>(call));
  RC_ASSERT(std::get<Command>(call) == command);
}

// A history of bounded length: a watcher exactly at the bound gets its changes, one behind it the whole list.
RC_GTEST_PROP(Catalog, CompactsItsHistory, ()) {
  const auto commands = *rc::gen::container<std::vector<Command>>(AnyCommand());
  Catalog catalog("e", kFirst, {5, 3});
  std::map<Revision, std::map<std::string, Member>> lists{{kFirst, {}}};
  for (const Command& c : commands) {
    catalog.Apply(c);
    lists[catalog.revision()] = catalog.members();
    RC_ASSERT(catalog.history().size() <= 5u);
    RC_ASSERT(!catalog.Since(catalog.oldest() - 1).has_value());
    for (Revision after = catalog.oldest(); after <= catalog.revision(); ++after) {
      RequireDelta(catalog, after, lists.at(after), catalog.members());
    }
  }
}

// Commands over the store, committed in groups, with a snapshot now and then; the machine loses power, or the
// process dies, at any call to the disk. What was answered for is there, and what is there is a beginning of
// what was asked.
RC_GTEST_PROP(Catalog, SurvivesACrashAtAnyCall, ()) {
  const auto commands = *rc::gen::container<std::vector<Command>>(AnyCommand());
  const auto crash_at = *rc::gen::inRange<int>(0, 60);
  const auto power = *rc::gen::arbitrary<bool>();
  const auto keep = *rc::gen::inRange<int>(0, 3);
  storage::MemoryFileSystem disk;
  std::unique_ptr<storage::MemoryFileSystem> after;
  int calls = 0;
  const auto crash = [&] {
    if (!power) return after = disk.AfterProcessDeath(), void();
    after = disk.AfterPowerLoss(
        {[keep](std::size_t change) { return keep == 2 || (keep == 1 && change % 2 == 0); },
         [keep](std::string tail) { return tail.substr(0, tail.size() * keep / 2); }});
  };
  storage::FaultyFileSystem files(disk, [&](storage::FaultyFileSystem::Call, const std::string&) {
    if (++calls == crash_at + 1 && !after) crash();
    return storage::FaultyFileSystem::Verdict{};
  });
  std::size_t acknowledged = 0;
  {
    std::unique_ptr<storage::Store> log;
    storage::Examination found;
    RC_ASSERT(storage::Store::Open(files, "r", {"registry", "test", 600}, log, found).ok());
    Catalog catalog("e", kFirst);
    for (std::size_t i = 0; i < commands.size();) {
      const std::size_t group = 1 + i % 3;
      if (i % 7 == 3) RC_ASSERT(log->TakeSnapshot(kSnapshotVersion, catalog.Snapshot()).ok());
      const std::size_t end = std::min(commands.size(), i + group);
      for (std::size_t at = i; at < end; ++at) RC_ASSERT(log->Append(1, 1, ToRecord(commands[at])) == at + 1);
      RC_ASSERT(log->Commit().ok());
      for (; i < end; ++i) catalog.Apply(commands[i]);
      if (!after) acknowledged = i;
    }
    if (!after) crash();
  }
  for (int again = 0; again < 2; ++again) {  // a second recovery gives the same
    std::unique_ptr<storage::Store> log;
    storage::Examination found;
    RC_ASSERT(storage::Store::Open(*after, "r", {"registry", "test", 600}, log, found).ok());
    std::string why;
    std::size_t held = 0;
    std::optional<Catalog> catalog;
    if (found.snapshot) {
      catalog = Catalog::FromSnapshot(found.snapshot->payload, {}, why);
      RC_ASSERT(catalog.has_value());
      held = found.snapshot->sequence;
    } else {
      catalog.emplace("e", kFirst);
    }
    for (const storage::Record& record : found.records) {
      const auto command = CommandFromRecord(record.payload);
      RC_ASSERT(command.has_value());
      RC_ASSERT(*command == commands[record.sequence - 1]);
      catalog->Apply(*command);
      held = record.sequence;
    }
    RC_ASSERT(held >= acknowledged);
    Reference reference;
    reference.first = kFirst;
    for (std::size_t i = 0; i < held; ++i) reference.Apply(commands[i]);
    RequireSame(*catalog, reference);
  }
}

TEST(Catalog, ReadsNoSnapshotThatIsCutOrLonger) {
  Catalog catalog("e", kFirst);
  for (int i = 0; i < 4; ++i) {
    Command c;
    c.key = "k" + std::to_string(i);
    c.member.id = "m" + std::to_string(i % 2);
    c.member.incarnation = i;
    catalog.Apply(c);
  }
  const std::string bytes = catalog.Snapshot();
  std::string why;
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    EXPECT_FALSE(Catalog::FromSnapshot(bytes.substr(0, size), {}, why)) << size;
    EXPECT_FALSE(why.empty());
  }
  EXPECT_FALSE(Catalog::FromSnapshot(bytes + "x", {}, why));
  EXPECT_TRUE(Catalog::FromSnapshot(bytes, {}, why));
}

// ---- Leases in simulated time --------------------------------------------------------------------

// A service of its catalog and leases alone, where a tick comes every 200 ms, and members that renew.
struct LeaseWorld {
  explicit LeaseWorld(int members, LeaseOptions options = {}) : leases(options) {
    for (int i = 0; i < members; ++i) {
      Command c;
      c.member.id = "m" + std::to_string(i);
      c.member.zone = std::string(1, static_cast<char>('a' + i % 3));
      c.member.term = 10000;
      c.member.incarnation = 1;
      Apply(c);
    }
  }
  void Apply(const Command& c) {
    const Outcome outcome = catalog.Apply(c);
    if (!outcome.ok()) return leases.Failed(c);
    const Member* const member = catalog.Find(c.member.id);
    leases.Changed(member != nullptr ? *member : catalog.history().back(), now);
  }
  // Members that `renews` names do so every 3.3 s, each at its own time.
  void Run(Millis time, const std::function<bool(int)>& renews) {
    for (const Millis until = now + time; now < until;) {
      now += 200;
      for (int i = 0; i < 200; ++i) {
        const std::string id = "m" + std::to_string(i);
        if (!catalog.Find(id) || !renews(i) || static_cast<int>(now / 200 + i) % 16 != 0) continue;
        if (leases.Renew(id, 1, now) == Leases::Renewal::kLifted) {
          Command c;
          c.action = Action::kTrust;
          c.member.id = id;
          Apply(c);
        }
      }
      for (const Command& c : leases.Tick(now)) Apply(c);
      if (!leases.holds().empty()) ++held_ticks;
    }
  }
  int Suspects() const {
    int count = 0;
    for (const auto& [id, member] : catalog.members()) count += member.suspect;
    return count;
  }
  Catalog catalog{"e", kFirst};
  Leases leases;
  Millis now = 0;
  int held_ticks = 0;
};

TEST(Leases, RemoveTheFewThatDiedWithinTermGraceAndATick) {
  LeaseWorld world(60);
  const auto dead = [](int i) { return i == 4 || i == 20 || i == 51; };
  world.Run(20000, [](int) { return true; });
  world.Run(10200, [&](int i) { return !dead(i); });
  EXPECT_EQ(world.catalog.members().size(), 60u);
  EXPECT_EQ(world.Suspects(), 3);
  world.Run(5200, [&](int i) { return !dead(i); });
  EXPECT_EQ(world.catalog.members().size(), 57u);
  EXPECT_EQ(world.held_ticks, 0);
}

TEST(Leases, RemoveNobodyWhereManyLapseTogether) {
  LeaseWorld world(60);
  const auto cut = [](int i) { return i % 5 < 3; };  // 36 of 60
  world.Run(20000, [](int) { return true; });
  world.Run(600000, [&](int i) { return !cut(i); });
  EXPECT_EQ(world.catalog.members().size(), 60u);
  EXPECT_EQ(world.leases.holds().size(), 4u);  // all, and each zone
  // It ends by itself, and while they come back nobody is removed for being the last.
  world.Run(20000, [](int) { return true; });
  EXPECT_EQ(world.catalog.members().size(), 60u);
  EXPECT_EQ(world.leases.holds().size(), 0u);
  EXPECT_EQ(world.Suspects(), 0);
}

// One after the other counts as together: within the window a quarter of a zone is removed at the most.
TEST(Leases, RemoveNoZoneBitByBit) {
  LeaseWorld world(60);
  int dead = 0;
  for (int step = 0; step < 20; ++step, ++dead) {
    world.Run(2500, [&](int i) { return i % 3 != 0 || i / 3 >= dead; });
  }
  world.Run(10000, [&](int i) { return i % 3 != 0; });
  EXPECT_GE(world.catalog.members().size(), 60u - 6u);
  EXPECT_LT(world.catalog.members().size(), 60u);
}

TEST(Leases, GrantAFullTermAfterTheServiceWasAway) {
  LeaseWorld world(60);
  world.Run(20000, [](int) { return true; });
  world.now += 60000;  // stopped
  world.Run(9800, [](int) { return false; });
  EXPECT_EQ(world.Suspects(), 0);
  EXPECT_EQ(world.leases.absences(), 1);
  world.Run(30000, [](int) { return true; });
  EXPECT_EQ(world.catalog.members().size(), 60u);
}

TEST(Leases, EndAHoldThatLastsTooLong) {
  LeaseOptions options;
  options.longest_hold = 60000;
  LeaseWorld world(60, options);
  world.Run(20000, [](int i) { return i % 2 == 0; });
  EXPECT_EQ(world.catalog.members().size(), 60u);
  world.Run(70000, [](int i) { return i % 2 == 0; });
  EXPECT_EQ(world.catalog.members().size(), 30u);
}

TEST(Leases, MemberWhoseRemovalIsUnderWayHasToRegister) {
  LeaseWorld world(10);
  Leases& leases = world.leases;
  Millis now = 0;
  std::vector<Command> proposals;
  for (; proposals.size() < 2 && now < 30000; now += 200) {
    for (int i = 1; i < 10; ++i) leases.Renew("m" + std::to_string(i), 1, now);
    for (const Command& c : leases.Tick(now)) proposals.push_back(c);
  }
  ASSERT_EQ(proposals.size(), 2u);
  EXPECT_EQ(proposals[1].action, Action::kExpire);
  EXPECT_EQ(leases.Renew("m0", 1, now), Leases::Renewal::kLeaving);
  EXPECT_EQ(leases.Renew("m1", 2, now), Leases::Renewal::kStale);
  EXPECT_EQ(leases.Renew("none", 1, now), Leases::Renewal::kUnknown);
  leases.Failed(proposals[1]);  // not kept: it lives
  EXPECT_EQ(leases.Renew("m0", 1, now), Leases::Renewal::kLifted);
}

TEST(Agent, SaysWhatIsDueNext) {
  using Say = AgentState::Say;
  AgentState state;
  EXPECT_EQ(state.next(), Say::kNothing);
  state.Checked(true, 3);
  EXPECT_EQ(state.next(), Say::kRegister);
  state.Answered(Say::kRegister, "");
  EXPECT_EQ(state.next(), Say::kRenew);
  state.Answered(Say::kRenew, "unknown_member");  // the service lost it
  EXPECT_EQ(state.next(), Say::kRegister);
  state.Answered(Say::kRegister, "");
  for (int i = 0; i < 3; ++i) state.Checked(false, 3);
  EXPECT_EQ(state.next(), Say::kNothing);  // its lease lapses
  state.Checked(true, 3);
  state.Stop();
  EXPECT_EQ(state.next(), Say::kDrain);
  state.Answered(Say::kDrain, "");
  EXPECT_EQ(state.next(), Say::kRenew);  // it is listed as draining until its grace is over
  state.GraceOver();
  EXPECT_EQ(state.next(), Say::kRemove);
  state.Answered(Say::kRemove, "");
  EXPECT_TRUE(state.done());
  AgentState other;
  other.Checked(true, 3);
  other.Answered(Say::kRegister, "stale_incarnation");
  EXPECT_TRUE(other.replaced());
}

// ---- The service on sockets ----------------------------------------------------------------------

struct ServiceWorld {
  explicit ServiceWorld(std::size_t callers = 100, double whole_lists = 1000)
      : files(disk, [this](storage::FaultyFileSystem::Call call, const std::string&) {
          const bool writes = call == storage::FaultyFileSystem::Call::kAppend ||
                              call == storage::FaultyFileSystem::Call::kCreate;
          return storage::FaultyFileSystem::Verdict{
              full && writes ? std::make_error_code(std::errc::no_space_on_device) : std::error_code()};
        }) {
    options.listen = {boost::asio::ip::make_address("127.0.0.1"), 0};
    options.state_folder = "r";
    options.epoch = "e1";
    options.first = kFirst;
    options.callers = callers;
    options.operators = 2;
    options.whole_lists = whole_lists;
    options.leases.term = 60000;
    Restart();
  }
  void Restart() {
    service.reset();
    service.emplace(io, files, options);
  }
  using Done = std::function<void(unsigned, json)>;
  std::shared_ptr<base::ClientConnection> Connect() {
    return std::make_shared<base::ClientConnection>(io, service->address());
  }
  void Send(const std::shared_ptr<base::ClientConnection>& on, const std::string& method,
            const std::string& target, const std::string& body, Done done) {
    on->Exchange(method + " " + target + " HTTP/1.1\r\nHost: r\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body,
                 20000, [done = std::move(done)](base::ClientConnection::Result result) {
                   if (result.failure != base::ClientConnection::Failure::kNone) return done(0, {});
                   done(result.response.result_int(), json::parse(result.response.body(), nullptr, false));
                 });
  }
  template <typename Until>
  bool RunUntil(Until until, Millis most = 20000) {
    for (const Millis end = base::MonotonicNow() + most; !until() && base::MonotonicNow() < end;) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(20));
    }
    return until();
  }
  std::pair<unsigned, json> Ask(const std::string& method, const std::string& target,
                                const json& body = nullptr) {
    std::optional<std::pair<unsigned, json>> answer;
    Send(Connect(), method, target, body.is_null() ? "" : body.dump(), [&](unsigned status, json text) {
      answer = {status, std::move(text)};
    });
    RunUntil([&] { return answer.has_value(); });
    return answer.value_or(std::pair<unsigned, json>(0, nullptr));
  }
  std::pair<unsigned, json> Register(const std::string& id, int port, const json& more = json::object()) {
    json body = {{"id", id}, {"address", "10.0.0.1:" + std::to_string(port)}, {"incarnation", 7}};
    body.update(more);
    return Ask("POST", "/registry/register", body);
  }

  storage::MemoryFileSystem disk;
  bool full = false;
  storage::FaultyFileSystem files;
  boost::asio::io_context io{1};
  ServiceOptions options;
  std::optional<Service> service;
};

// Guards the published form: the whole list, then just the changes, to all who wait, and after a restart.
TEST(RegistryService, TellsChangesToAllWatchersOnceKept) {
  ServiceWorld world;
  EXPECT_EQ(world.Register("a", 1).first, 200u);
  const json whole = world.Ask("GET", "/discovery/hosts").second;
  EXPECT_EQ(whole["complete"], true);
  EXPECT_EQ(whole["members"][0]["host_port"], "10.0.0.1:1");
  EXPECT_EQ(whole["members"][0]["phase"], "up");
  EXPECT_EQ(whole["members"][0]["up_since_ms"], 7);
  std::vector<json> told;
  std::vector<std::shared_ptr<base::ClientConnection>> watchers;
  for (int i = 0; i < 20; ++i) {
    watchers.push_back(world.Connect());
    world.Send(
        watchers.back(), "GET",
        "/discovery/hosts?after=" + std::to_string(whole["revision"].get<Revision>()) + "&wait_ms=20000", "",
        [&](unsigned, json list) { told.push_back(std::move(list)); });
  }
  ASSERT_TRUE(world.RunUntil([&] { return world.Ask("GET", "/registry/status").second["watches"] == 20; }));
  EXPECT_EQ(world.Ask("POST", "/registry/drain", {{"id", "a"}, {"by", "operator"}}).first, 200u);
  ASSERT_TRUE(world.RunUntil([&] { return told.size() == 20; }));
  for (const json& list : told) {
    EXPECT_EQ(list["complete"], false);
    EXPECT_EQ(list["members"].size(), 1u);
    EXPECT_EQ(list["members"][0]["phase"], "draining");
  }
  world.Restart();
  const json again = world.Ask("GET", "/discovery/hosts?after=" + std::to_string(kFirst + 1)).second;
  EXPECT_EQ(again, told[0]);
  // Of another history, or from ahead: the whole list.
  EXPECT_EQ(world.Ask("GET", "/discovery/hosts?after=101&epoch=other").second["complete"], true);
  EXPECT_EQ(world.Ask("GET", "/discovery/hosts?after=999&wait_ms=9000").second["complete"], true);
}

TEST(RegistryService, SaysWhatIsWrongWithACall) {
  ServiceWorld world;
  struct Row {
    const char *method, *target, *body;
    unsigned status;
    const char *code, *field;
  };
  for (const Row& row : std::initializer_list<Row>{
           {"POST", "/registry/register", "no json", 400, "bad_request", ""},
           {"POST", "/registry/register", R"({"id":""})", 400, "bad_request", "id"},
           {"POST", "/registry/register", R"({"id":"a"})", 400, "bad_request", "address"},
           {"POST", "/registry/register", R"({"id":"a","address":"here:80"})", 400, "bad_request", "address"},
           {"POST", "/registry/register", R"({"id":"a","address":"1.2.3.4:99999"})", 400, "bad_request",
            "address"},
           {"POST", "/registry/register", R"({"id":"a","address":"1.2.3.4:9","size":0})", 400, "bad_request",
            "size"},
           {"POST", "/registry/register", R"({"id":"a\n","address":"1.2.3.4:9"})", 400, "bad_request", "id"},
           {"POST", "/registry/drain", R"({"id":"none"})", 404, "unknown_member", "id"},
           {"POST", "/registry/size", R"({"id":"none"})", 400, "bad_request", "size"},
           {"POST", "/registry/drain", R"({"id":"a","by":"me"})", 400, "bad_request", "by"},
           {"POST", "/registry/renew", R"({"id":"none"})", 404, "unknown_member", "id"},
           {"POST", "/registry/nothing", "{}", 400, "bad_request", ""},
           {"GET", "/registry/nothing", "", 405, "unknown_call", ""},
           {"GET", "/discovery/hosts?after=-1", "", 400, "bad_request", ""},
           {"GET", "/else", "", 404, "unknown_call", ""}}) {
    std::optional<json> answer;
    unsigned status = 0;
    world.Send(world.Connect(), row.method, row.target, row.body, [&](unsigned s, json text) {
      status = s;
      answer = std::move(text);
    });
    ASSERT_TRUE(world.RunUntil([&] { return answer.has_value(); }));
    EXPECT_EQ(status, row.status) << row.target << row.body;
    ASSERT_TRUE(answer->contains("error")) << *answer;
    EXPECT_EQ((*answer)["error"]["code"], row.code) << row.body;
    EXPECT_EQ((*answer)["error"].value("field", ""), row.field) << row.body;
  }
}

// Guards a full disk: watches and lists go on, writes are refused, what was not kept is told to nobody; when
// there is room again all goes on by itself.
TEST(RegistryService, ServesOnWhileTheDiskIsFull) {
  ServiceWorld world;
  ASSERT_EQ(world.Register("a", 1).first, 200u);
  world.full = true;
  const auto [status, error] = world.Register("b", 2, {{"key", "k"}});
  EXPECT_EQ(status, 503u);
  EXPECT_EQ(error["error"]["code"], "storage_failed");
  EXPECT_EQ(world.Ask("GET", "/discovery/hosts").second["members"].size(), 1u);
  EXPECT_EQ(world.Ask("POST", "/registry/renew", {{"id", "a"}, {"incarnation", 7}}).first, 200u);
  EXPECT_NE(world.Ask("GET", "/registry/status").second["storage"], "ok");
  world.full = false;
  ASSERT_TRUE(world.RunUntil([&] { return world.Ask("GET", "/registry/status").second["storage"] == "ok"; }));
  EXPECT_EQ(world.Register("b", 2, {{"key", "k"}}).first, 200u);
  EXPECT_EQ(world.Register("b", 2, {{"key", "k"}}).second["changed"], false);
  world.Restart();
  EXPECT_EQ(world.Ask("GET", "/discovery/hosts").second["members"].size(), 2u);
}

// Guards admission: callers over the places are turned away at once, watches that are on and operators go on.
TEST(RegistryService, TurnsCallersAwayAndKeepsPlacesForOperators) {
  ServiceWorld world(/*callers=*/3);
  ASSERT_EQ(world.Register("a", 1).first, 200u);
  std::vector<std::shared_ptr<base::ClientConnection>> watchers;
  int told = 0;
  for (int i = 0; i < 3; ++i) {
    watchers.push_back(world.Connect());
    world.Send(watchers.back(), "GET", "/discovery/hosts?after=101&wait_ms=20000", "",
               [&](unsigned status, const json&) { told += status == 200; });
  }
  ASSERT_TRUE(world.RunUntil([&] { return world.Ask("GET", "/registry/status").second["watches"] == 3; }));
  EXPECT_EQ(world.Ask("GET", "/discovery/hosts").first, 503u);
  EXPECT_EQ(world.Ask("POST", "/registry/drain", {{"id", "a"}, {"by", "operator"}}).first, 200u);
  EXPECT_TRUE(world.RunUntil([&] { return told == 3; }));
}

TEST(RegistryService, SpreadsThoseThatWantTheWholeList) {
  ServiceWorld world(/*callers=*/100, /*whole_lists=*/5);
  ASSERT_EQ(world.Register("a", 1).first, 200u);
  int whole = 0, later = 0;
  for (int i = 0; i < 20; ++i) {
    const unsigned status = world.Ask("GET", "/discovery/hosts").first;
    whole += status == 200, later += status == 503;
  }
  EXPECT_GE(whole, 5);
  EXPECT_GE(later, 5);
  EXPECT_EQ(world.Ask("GET", "/discovery/hosts?after=101").first, 200u);  // news are not the whole list
}

}  // namespace
}  // namespace gateway::registry
