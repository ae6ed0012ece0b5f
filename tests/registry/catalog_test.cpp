// Tests that the catalog behaves like a reference implementation, and that it is recovered from the log and
// the snapshot after a crash.
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

// Requires that the delta from the revision `after` turns `list`, the list at that revision, into `newest`.
// The delta must be ordered by revision and must contain each member at most once.
void RequireDelta(const Catalog& catalog, Revision after, std::map<std::string, Member> list,
                  const std::map<std::string, Member>& newest) {
  const auto changed = catalog.ChangedSince(after);
  RC_ASSERT(changed.has_value());
  std::set<std::string> ids;
  Revision last = after;
  for (const Member* member : *changed) {
    RC_ASSERT(member->revision > last);
    last = member->revision;
    RC_ASSERT(ids.insert(member->id).second);
    list.erase(member->id);
    if (!member->removed) list[member->id] = *member;
  }
  RC_ASSERT(list == newest);
}

// The catalog must return the same results as the reference implementation. Each accepted change must create
// one revision. A watch from any revision must get exactly the changes after that revision. To run more cases
// or to repeat a run, set the environment variable RC_PARAMS="seed=... max_success=100000".
RC_GTEST_PROP(Catalog, MatchesReferenceImplementation, ()) {
  const auto commands = *rc::gen::container<std::vector<Command>>(AnyCommand());
  Catalog catalog("e", kInitialRevision);
  ReferenceCatalog reference;
  reference.initial_revision = kInitialRevision;
  Revision watched_revision = kInitialRevision;
  for (std::size_t i = 0; i < commands.size(); ++i) {
    const Revision before = catalog.revision();
    const CommandResult result = catalog.Apply(commands[i]);
    RC_ASSERT(result.code() == reference.Apply(commands[i]));
    RC_ASSERT(catalog.revision() - before == (result.changed ? 1 : 0));
    RequireSame(catalog, reference);
    if (i % 3 == 2) {
      RequireDelta(catalog, watched_revision, reference.ListAt(watched_revision), catalog.members());
      watched_revision = catalog.revision();
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

// The history must not exceed its limit. A watch from the oldest retained revision must get all later
// changes. A watch from an older revision must get no delta, because the delta would be incomplete.
RC_GTEST_PROP(Catalog, CompactsHistoryBeyondItsLimit, ()) {
  const auto commands = *rc::gen::container<std::vector<Command>>(AnyCommand());
  Catalog catalog("e", kInitialRevision, {/*changes=*/5, /*idempotency_keys=*/3});
  std::map<Revision, std::map<std::string, Member>> lists{{kInitialRevision, {}}};
  for (const Command& command : commands) {
    catalog.Apply(command);
    lists[catalog.revision()] = catalog.members();
    RC_ASSERT(catalog.history().size() <= 5u);
    RC_ASSERT(!catalog.ChangedSince(catalog.oldest_revision() - 1).has_value());
    for (Revision after = catalog.oldest_revision(); after <= catalog.revision(); ++after) {
      RequireDelta(catalog, after, lists.at(after), catalog.members());
    }
  }
}

// Writes commands to the log in batches and takes snapshots between batches. At a random call to the file
// system, the machine loses power or the process dies. All acknowledged commands must be recovered, and the
// recovered commands must be a prefix of the written commands.
RC_GTEST_PROP(Catalog, RecoversAcknowledgedCommandsAfterCrashAtAnyFileSystemCall, ()) {
  const auto commands = *rc::gen::container<std::vector<Command>>(AnyCommand());
  const auto crash_at = *rc::gen::inRange<int>(0, 60);
  const auto power_loss = *rc::gen::arbitrary<bool>();
  // How much unsynced data survives a power loss: 0 nothing, 1 one half, 2 everything.
  const auto kept_halves = *rc::gen::inRange<int>(0, 3);
  storage::MemoryFileSystem disk;
  std::unique_ptr<storage::MemoryFileSystem> crashed;
  int calls = 0;
  const auto crash = [&] {
    if (!power_loss) return crashed = disk.AfterProcessDeath(), void();
    crashed = disk.AfterPowerLoss(
        {[kept_halves](std::size_t change) {
           return kept_halves == 2 || (kept_halves == 1 && change % 2 == 0);
         },
         [kept_halves](std::string tail) { return tail.substr(0, tail.size() * kept_halves / 2); }});
  };
  storage::FaultyFileSystem files(disk, [&](storage::FaultyFileSystem::Call, const std::string&) {
    if (++calls == crash_at + 1 && !crashed) crash();
    return storage::FaultyFileSystem::Fault{};
  });
  std::size_t acknowledged = 0;
  {
    std::unique_ptr<storage::Store> store;
    storage::Examination examination;
    RC_ASSERT(storage::Store::Open(files, "r", {"registry", "test", 600}, store, examination).ok());
    Catalog catalog("e", kInitialRevision);
    for (std::size_t i = 0; i < commands.size();) {
      const std::size_t batch_size = 1 + i % 3;
      if (i % 7 == 3) RC_ASSERT(store->TakeSnapshot(kSnapshotVersion, catalog.Snapshot()).ok());
      const std::size_t end = std::min(commands.size(), i + batch_size);
      for (std::size_t next = i; next < end; ++next)
        RC_ASSERT(store->Append(1, 1, EncodeCommand(commands[next])) == next + 1);
      RC_ASSERT(store->Commit().ok());
      for (; i < end; ++i) catalog.Apply(commands[i]);
      if (!crashed) acknowledged = i;
    }
    if (!crashed) crash();
  }
  for (int recovery = 0; recovery < 2; ++recovery) {  // a second recovery must restore the same state
    std::unique_ptr<storage::Store> store;
    storage::Examination examination;
    RC_ASSERT(storage::Store::Open(*crashed, "r", {"registry", "test", 600}, store, examination).ok());
    std::string error;
    std::size_t recovered = 0;
    std::optional<Catalog> catalog;
    if (examination.snapshot) {
      catalog = Catalog::FromSnapshot(examination.snapshot->payload, {}, error);
      RC_ASSERT(catalog.has_value());
      recovered = examination.snapshot->sequence;
    } else {
      catalog.emplace("e", kInitialRevision);
    }
    for (const storage::Record& record : examination.records) {
      const auto command = DecodeCommand(record.payload);
      RC_ASSERT(command.has_value());
      RC_ASSERT(*command == commands[record.sequence - 1]);
      catalog->Apply(*command);
      recovered = record.sequence;
    }
    RC_ASSERT(recovered >= acknowledged);
    ReferenceCatalog reference;
    reference.initial_revision = kInitialRevision;
    for (std::size_t i = 0; i < recovered; ++i) reference.Apply(commands[i]);
    RequireSame(*catalog, reference);
  }
}

// The catalog must reject a snapshot that is truncated or has trailing bytes. Otherwise a truncated snapshot
// would be read as a shorter list.
TEST(Catalog, RejectsTruncatedOrExtendedSnapshots) {
  Catalog catalog("e", kInitialRevision);
  for (int i = 0; i < 4; ++i) {
    Command command;
    command.idempotency_key = "k" + std::to_string(i);
    command.member.id = "m" + std::to_string(i % 2);
    command.member.incarnation = i;
    catalog.Apply(command);
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
