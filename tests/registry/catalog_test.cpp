// The catalog against a reference, and over crashes of the storage.
#include "registry/catalog.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <set>

#include "command_generator.hpp"
#include "reference_catalog.hpp"
#include "registry/record_codec.hpp"
#include "storage/faulty_file_system.hpp"
#include "storage/memory_file_system.hpp"
#include "storage/store.hpp"

namespace gateway::registry {
namespace {

constexpr Revision kInitialRevision = 100;

void RequireSame(const Catalog& catalog, const ReferenceCatalog& reference) {
  RC_ASSERT(catalog.revision() == reference.revision());
  RC_ASSERT(catalog.members() == reference.ListAt(reference.revision()));
}

// The delta from `after`, applied to the list of that revision, gives the newest list: in order, each member
// once.
void RequireDelta(const Catalog& catalog, Revision after, std::map<std::string, Member> list,
                  const std::map<std::string, Member>& now) {
  const auto changed = catalog.ChangedSince(after);
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

// Every result is the reference's, each accepted change makes one revision, and a watch from any revision
// gets exactly the changes. RC_PARAMS="seed=... max_success=100000" plays more or plays again.
RC_GTEST_PROP(Catalog, MatchesTheReference, ()) {
  const auto commands = *rc::gen::container<std::vector<Command>>(AnyCommand());
  Catalog catalog("e", kInitialRevision);
  ReferenceCatalog reference;
  reference.first = kInitialRevision;
  Revision watcher = kInitialRevision;
  for (std::size_t i = 0; i < commands.size(); ++i) {
    const Revision before = catalog.revision();
    const CommandResult result = catalog.Apply(commands[i]);
    RC_ASSERT(result.code() == reference.Apply(commands[i]));
    RC_ASSERT(catalog.revision() - before == (result.changed ? 1 : 0));
    RequireSame(catalog, reference);
    if (i % 3 == 2) {
      RequireDelta(catalog, watcher, reference.ListAt(watcher), catalog.members());
      watcher = catalog.revision();
    }
    std::string error;
    const auto copy = Catalog::FromSnapshot(catalog.Snapshot(), {}, error);
    RC_ASSERT(copy.has_value());
    RequireSame(*copy, reference);
  }
  for (Revision after = kInitialRevision; after <= catalog.revision(); ++after) {
    RequireDelta(catalog, after, reference.ListAt(after), catalog.members());
  }
  RC_ASSERT(!catalog.ChangedSince(catalog.revision() + 1).has_value());
}

// The history is bounded: a watch from the oldest revision gets its changes, one from before it the full
// list.
RC_GTEST_PROP(Catalog, CompactsItsHistory, ()) {
  const auto commands = *rc::gen::container<std::vector<Command>>(AnyCommand());
  Catalog catalog("e", kInitialRevision, {5, 3});
  std::map<Revision, std::map<std::string, Member>> lists{{kInitialRevision, {}}};
  for (const Command& c : commands) {
    catalog.Apply(c);
    lists[catalog.revision()] = catalog.members();
    RC_ASSERT(catalog.history().size() <= 5u);
    RC_ASSERT(!catalog.ChangedSince(catalog.oldest() - 1).has_value());
    for (Revision after = catalog.oldest(); after <= catalog.revision(); ++after) {
      RequireDelta(catalog, after, lists.at(after), catalog.members());
    }
  }
}

// Commands are written to the log in batches, with a snapshot now and then; the machine loses power, or the
// process dies, at any call to the file system. All acknowledged commands are recovered, and what is
// recovered is a prefix of the commands.
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
    return storage::FaultyFileSystem::Fault{};
  });
  std::size_t acknowledged = 0;
  {
    std::unique_ptr<storage::Store> log;
    storage::Examination found;
    RC_ASSERT(storage::Store::Open(files, "r", {"registry", "test", 600}, log, found).ok());
    Catalog catalog("e", kInitialRevision);
    for (std::size_t i = 0; i < commands.size();) {
      const std::size_t group = 1 + i % 3;
      if (i % 7 == 3) RC_ASSERT(log->TakeSnapshot(kSnapshotVersion, catalog.Snapshot()).ok());
      const std::size_t end = std::min(commands.size(), i + group);
      for (std::size_t at = i; at < end; ++at)
        RC_ASSERT(log->Append(1, 1, EncodeCommand(commands[at])) == at + 1);
      RC_ASSERT(log->Commit().ok());
      for (; i < end; ++i) catalog.Apply(commands[i]);
      if (!after) acknowledged = i;
    }
    if (!after) crash();
  }
  for (int recovery = 0; recovery < 2; ++recovery) {  // a second recovery gives the same
    std::unique_ptr<storage::Store> log;
    storage::Examination found;
    RC_ASSERT(storage::Store::Open(*after, "r", {"registry", "test", 600}, log, found).ok());
    std::string error;
    std::size_t recovered = 0;
    std::optional<Catalog> catalog;
    if (found.snapshot) {
      catalog = Catalog::FromSnapshot(found.snapshot->payload, {}, error);
      RC_ASSERT(catalog.has_value());
      recovered = found.snapshot->sequence;
    } else {
      catalog.emplace("e", kInitialRevision);
    }
    for (const storage::Record& record : found.records) {
      const auto command = DecodeCommand(record.payload);
      RC_ASSERT(command.has_value());
      RC_ASSERT(*command == commands[record.sequence - 1]);
      catalog->Apply(*command);
      recovered = record.sequence;
    }
    RC_ASSERT(recovered >= acknowledged);
    ReferenceCatalog reference;
    reference.first = kInitialRevision;
    for (std::size_t i = 0; i < recovered; ++i) reference.Apply(commands[i]);
    RequireSame(*catalog, reference);
  }
}

TEST(Catalog, RejectsSnapshotsOfAnotherLength) {
  Catalog catalog("e", kInitialRevision);
  for (int i = 0; i < 4; ++i) {
    Command c;
    c.idempotency_key = "k" + std::to_string(i);
    c.member.id = "m" + std::to_string(i % 2);
    c.member.incarnation = i;
    catalog.Apply(c);
  }
  const std::string bytes = catalog.Snapshot();
  std::string error;
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    EXPECT_FALSE(Catalog::FromSnapshot(bytes.substr(0, size), {}, error)) << size;
    EXPECT_FALSE(error.empty());
  }
  EXPECT_FALSE(Catalog::FromSnapshot(bytes + "x", {}, error));
  EXPECT_TRUE(Catalog::FromSnapshot(bytes, {}, error));
}

}  // namespace
}  // namespace gateway::registry
