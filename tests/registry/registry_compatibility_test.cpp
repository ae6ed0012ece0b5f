// Tests the compatibility with version 0.1.0 of the registry service. This program must recover the state
// folder that version 0.1.0 wrote (fixtures/registry-0.1.0), and must encode the snapshot and the log records
// in this folder to the same bytes.
#include <gtest/gtest.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <filesystem>
#include <initializer_list>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "registry/durable_catalog.hpp"
#include "registry/lease_table.hpp"
#include "registry/record_codec.hpp"
#include "storage/examination.hpp"

namespace gateway::registry {
namespace {

constexpr const char* kFixture = FIXTURES "/registry-0.1.0";
constexpr const char* kOwner = "registry fixture";
constexpr const char* kEpoch = "6040907ebed6cefb";
constexpr Revision kFirstRevision = 1796285512975;           // revision before the first change
constexpr Revision kSnapshotRevision = kFirstRevision + 12;  // revision of the snapshot
constexpr Revision kLastRevision = kFirstRevision + 25;
constexpr base::Millis kHour = 3600000;

// A temporary copy of the fixture. A copy is needed because a service writes to the folder that it opens.
class FolderCopy {
 public:
  FolderCopy() { std::filesystem::copy(kFixture, path); }
  ~FolderCopy() { std::filesystem::remove_all(path); }
  FolderCopy(const FolderCopy&) = delete;
  FolderCopy& operator=(const FolderCopy&) = delete;

  const std::string path = ::testing::TempDir() + "registry-0.1.0-" + std::to_string(getpid());
};

class IgnoringObserver : public CatalogObserver {
 public:
  void OnApplied(const Command&, const CommandResult&) override {}
  void OnRejected(const Command&) override {}
  void OnReopened(const std::vector<const Member*>&) override {}
  void OnNewRevision() override {}
};

// A durable catalog that is recovered from a copy of the fixture.
struct OpenedCatalog {
  OpenedCatalog() {
    ServiceOptions options;
    options.state_folder = folder.path;
    options.owner = kOwner;
    options.program = "test";
    options.epoch = "epoch of a new history";
    options.retention = {100, 100};
    durable.emplace(io, *files, options, observer);
  }
  const Catalog& catalog() const { return durable->catalog(); }
  CommandResult Propose(const Command& command) {
    std::optional<CommandResult> outcome;
    durable->Propose(command, [&outcome](const CommandResult& result) { outcome = result; });
    while (!outcome && io.run_one_for(std::chrono::seconds(10)) > 0) {
    }
    return outcome.value_or(CommandResult::Failed(Error(ErrorCode::kOther, "", "no result within 10 s")));
  }

  const FolderCopy folder;
  const std::unique_ptr<storage::FileSystem> files = storage::MakePosixFileSystem();
  boost::asio::io_context io{1};
  IgnoringObserver observer;
  std::optional<DurableCatalog> durable;
};

// Examines the fixture without modifying it.
storage::Examination ExamineFixture() {
  const auto files = storage::MakePosixFileSystem();
  storage::Examination examination;
  EXPECT_TRUE(storage::Examine(*files, kFixture, kOwner, examination).ok());
  return examination;
}

Member MakeMember(const std::string& id, const std::string& address, Incarnation incarnation,
                  Revision changes) {
  Member member;
  member.id = id;
  member.address = address;
  member.incarnation = incarnation;
  member.revision = kFirstRevision + changes;
  member.lease_duration = kHour;
  return member;
}

// Returns the members that the fixture contains, sorted by id.
std::vector<Member> ExpectedMembers() {
  Member web1 = MakeMember("web-1", "10.1.0.1:3001", 1764600000101, 16);
  web1.zone = "a";
  web1.machine_type = "m2";
  web1.cell = "3";
  web1.version = "1.5.0";
  Member web10 = MakeMember("web-10", "10.1.0.10:3000", 1764600000010, 25);
  web10.zone = "c";
  web10.machine_type = "m2";
  web10.lease_duration = 500;
  web10.suspect = true;
  Member web2 = MakeMember("web-2", "10.1.0.2:3000", 1764600000002, 17);
  web2.zone = "a";
  web2.machine_type = "m2";
  web2.cell = "\"north\"";
  web2.version = "1.4.0";
  web2.size = 0.75;
  Member web4 = MakeMember("web-4", "10.1.0.4:3000", 1764600000004, 8);
  web4.zone = "b";
  web4.machine_type = "m4";
  web4.draining = true;
  Member web7 = MakeMember("web-7", "10.1.0.7:3000", 1764600000007, 23);
  web7.zone = "c";
  web7.machine_type = "m2";
  web7.cell = "4";
  web7.version = "1.5.0";
  web7.size = 1.5;
  web7.lease_duration = kHour / 2;
  web7.drained_by_operator = true;
  return {web1, web10, web2, web4, web7};
}

// The properties of a change in the history that the tests compare.
struct HistoryEntry {
  Revision change = 0;  // revision of the change minus kFirstRevision
  std::string id;
  MemberPhase phase = MemberPhase::kUp;
  bool suspect = false, expired = false;
  bool operator==(const HistoryEntry&) const = default;
};

void PrintTo(const HistoryEntry& entry, std::ostream* out) {
  *out << entry.change << " " << entry.id << " " << static_cast<int>(entry.phase)
       << (entry.suspect ? " suspect" : "") << (entry.expired ? " expired" : "");
}

// Returns the changes that the fixture contains, oldest first.
std::vector<HistoryEntry> ExpectedHistory() {
  return {
      {1, "web-1", MemberPhase::kUp, false, false},        {2, "web-2", MemberPhase::kUp, false, false},
      {3, "web-3", MemberPhase::kUp, false, false},        {4, "web-4", MemberPhase::kUp, false, false},
      {5, "web-5", MemberPhase::kUp, false, false},        {6, "web-6", MemberPhase::kUp, false, false},
      {7, "web-2", MemberPhase::kDraining, false, false},  {8, "web-4", MemberPhase::kDraining, false, false},
      {9, "web-5", MemberPhase::kRemoved, false, false},   {10, "web-1", MemberPhase::kUp, false, false},
      {11, "web-6", MemberPhase::kUp, true, false},        {12, "web-6", MemberPhase::kRemoved, true, true},
      {13, "web-7", MemberPhase::kUp, false, false},       {14, "web-3", MemberPhase::kRemoved, false, false},
      {15, "web-2", MemberPhase::kUp, false, false},       {16, "web-1", MemberPhase::kUp, false, false},
      {17, "web-2", MemberPhase::kUp, false, false},       {18, "web-8", MemberPhase::kUp, false, false},
      {19, "web-8", MemberPhase::kUp, true, false},        {20, "web-8", MemberPhase::kRemoved, true, true},
      {21, "web-9", MemberPhase::kUp, false, false},       {22, "web-9", MemberPhase::kRemoved, false, false},
      {23, "web-7", MemberPhase::kDraining, false, false}, {24, "web-10", MemberPhase::kUp, false, false},
      {25, "web-10", MemberPhase::kUp, true, false}};
}

// An upgrade must neither lose members nor repeat revisions that clients already know.
TEST(RegistryCompatibility, RecoversMembersLeasesAndRevisions) {
  const OpenedCatalog opened;
  const Catalog& catalog = opened.catalog();
  EXPECT_EQ(catalog.epoch(), kEpoch);
  EXPECT_EQ(catalog.revision(), kLastRevision);
  EXPECT_EQ(catalog.oldest_revision(), kFirstRevision);
  EXPECT_EQ(catalog.last_operator_removal(), kFirstRevision + 14);
  std::vector<Member> members;
  for (const auto& [id, member] : catalog.members()) {
    EXPECT_EQ(id, member.id);
    members.push_back(member);
  }
  EXPECT_EQ(members, ExpectedMembers());
  LeaseTable leases({});
  for (const Member& member : members) leases.OnMemberChanged(member, 0);
  EXPECT_EQ(leases.size(), 5u);
}

// After an upgrade, watches can continue only if the history was recovered.
TEST(RegistryCompatibility, RecoversHistory) {
  const OpenedCatalog opened;
  std::vector<HistoryEntry> history;
  for (const Member& member : opened.catalog().history()) {
    history.push_back(
        {member.revision - kFirstRevision, member.id, member.phase(), member.suspect, member.expired});
  }
  EXPECT_EQ(history, ExpectedHistory());
}

// If a client retries a request after an upgrade, the request must not be executed again. The snapshot or the
// log contains the result of the first execution.
TEST(RegistryCompatibility, RecoversResultsOfIdempotencyKeys) {
  OpenedCatalog opened;
  struct KeyedRequest {
    const char* key;
    const char* id;
    Action action;
    Revision change;
  };
  for (const KeyedRequest& request :
       std::initializer_list<KeyedRequest>{{"start-web-1", "web-1", Action::kRegister, 1},
                                           {"drain-2", "web-2", Action::kDrain, 7},
                                           {"remove-5", "web-5", Action::kRemove, 9},
                                           {"size-1", "web-1", Action::kSetSize, 10},
                                           {"start-web-7", "web-7", Action::kRegister, 13},
                                           {"remove-3", "web-3", Action::kRemove, 14},
                                           {"undrain-2", "web-2", Action::kUndrain, 15},
                                           {"drain-7", "web-7", Action::kDrain, 23}}) {
    SCOPED_TRACE(request.key);
    Command command;
    command.idempotency_key = request.key;
    command.action = request.action;
    command.member.id = request.id;
    const CommandResult outcome = opened.Propose(command);
    EXPECT_TRUE(outcome.ok()) << (outcome.error ? outcome.error->message : "");
    EXPECT_FALSE(outcome.changed);
    EXPECT_EQ(outcome.revision, kFirstRevision + request.change);
    command.member.id = "another";
    EXPECT_EQ(opened.Propose(command).code(), ErrorCode::kKeyReused);
  }
  EXPECT_EQ(opened.catalog().revision(), kLastRevision);
}

// If this program decodes and encodes the snapshot and the records, it must reproduce the bytes that version
// 0.1.0 wrote. Otherwise version 0.1.0 could not read the folder after a rollback.
TEST(RegistryCompatibility, ReencodesSnapshotAndRecordsToIdenticalBytes) {
  const storage::Examination examination = ExamineFixture();
  EXPECT_EQ(examination.condition, storage::StoreCondition::kComplete) << examination.error;
  ASSERT_TRUE(examination.manifest);
  EXPECT_EQ(examination.manifest->owner, kOwner);
  EXPECT_EQ(examination.manifest->program, "0.1.0");
  ASSERT_TRUE(examination.snapshot);
  EXPECT_EQ(examination.snapshot->version, 1);
  EXPECT_EQ(kSnapshotVersion, 1);
  std::string error;
  const auto catalog = Catalog::FromSnapshot(examination.snapshot->payload, {100, 100}, error);
  ASSERT_TRUE(catalog) << error;
  EXPECT_EQ(catalog->revision(), kSnapshotRevision);
  EXPECT_EQ(catalog->Snapshot(), examination.snapshot->payload);
  EXPECT_EQ(examination.records.size(), 14u);
  EXPECT_EQ(kCommandVersion, 1);
  for (const storage::Record& record : examination.records) {
    EXPECT_EQ(record.kind, 1);
    EXPECT_EQ(record.version, 1);
    const auto command = DecodeCommand(record.payload);
    ASSERT_TRUE(command) << record.sequence;
    EXPECT_EQ(EncodeCommand(*command), record.payload) << record.sequence;
  }
}

}  // namespace
}  // namespace gateway::registry
