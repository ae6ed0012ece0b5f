// The store beside SQLite on the project's own work: small records in groups, one sync a group; recovery;
// memory; and what either does after a failed sync. Usage: store_bench FOLDER (on the disk to be measured;
// left empty).
#include <fmt/format.h>
#include <sqlite3.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <stdexcept>

#include "base/clock.hpp"
#include "storage/faulty_file_system.hpp"
#include "storage/store.hpp"

namespace {

using namespace gateway;
using base::Millis;
using base::MonotonicNow;

const std::string kRecord(160, 'x');
constexpr int kRecords = 100000;

double ResidentMb() {
  std::ifstream status("/proc/self/status");
  for (std::string word; status >> word;) {
    if (word != "VmHWM:") continue;
    double kb = 0;
    status >> kb;
    return kb / 1024;
  }
  return 0;
}

// In a process of its own, so that the highest memory is of this alone.
double PeakOf(const std::function<void()>& work) {
  int ends[2];
  if (pipe(ends) != 0) throw std::runtime_error("pipe");
  const pid_t child = fork();
  if (child == 0) {
    const double before = ResidentMb();
    work();
    const double grown = ResidentMb() - before;
    _exit(write(ends[1], &grown, sizeof grown) == sizeof grown ? 0 : 1);
  }
  double grown = 0;
  const bool read_all = read(ends[0], &grown, sizeof grown) == sizeof grown;
  waitpid(child, nullptr, 0);
  close(ends[0]);
  close(ends[1]);
  return read_all ? grown : -1;
}

void Require(bool good, const std::string& what) {
  if (!good) throw std::runtime_error(what);
}

// ---- SQLite: a table of records, write-ahead log, a full sync at each commit ----------------------

bool fail_syncs = false;
std::list<sqlite3_io_methods> methods;  // one for each open file, as its own but for the sync
sqlite3_vfs* real_vfs = nullptr;

int Sync(sqlite3_file*, int) { return fail_syncs ? SQLITE_IOERR_FSYNC : SQLITE_OK; }

// The files of the machine's own; only the fault's switch stands between.
void AddFaultySyncs() {
  real_vfs = sqlite3_vfs_find(nullptr);
  static sqlite3_vfs faulty = *real_vfs;
  faulty.zName = "faulty";
  faulty.xOpen = [](sqlite3_vfs*, const char* name, sqlite3_file* file, int flags, int* out) {
    const int code = real_vfs->xOpen(real_vfs, name, file, flags, out);
    if (code == SQLITE_OK && file->pMethods != nullptr) {
      methods.push_back(*file->pMethods);
      methods.back().xSync = Sync;
      file->pMethods = &methods.back();
    }
    return code;
  };
  sqlite3_vfs_register(&faulty, 0);
}

class Database {
 public:
  Database(const std::string& path, const char* vfs = nullptr) {
    Require(sqlite3_open_v2(path.c_str(), &db_, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, vfs) == SQLITE_OK,
            "open");
    Do("PRAGMA journal_mode=WAL; PRAGMA synchronous=FULL;"
       "CREATE TABLE IF NOT EXISTS records(sequence INTEGER PRIMARY KEY, payload BLOB)");
    Require(
        sqlite3_prepare_v2(db_, "INSERT INTO records(payload) VALUES(?)", -1, &insert_, nullptr) == SQLITE_OK,
        "prepare");
  }
  ~Database() {
    sqlite3_finalize(insert_);
    sqlite3_close(db_);
  }
  int Do(const char* sql) { return sqlite3_exec(db_, sql, nullptr, nullptr, nullptr); }
  int Write(int group) {
    int code = Do("BEGIN IMMEDIATE");
    for (int i = 0; i < group && code == SQLITE_OK; ++i) {
      sqlite3_bind_blob(insert_, 1, kRecord.data(), static_cast<int>(kRecord.size()), SQLITE_STATIC);
      code = sqlite3_step(insert_) == SQLITE_DONE ? SQLITE_OK : SQLITE_ERROR;
      sqlite3_reset(insert_);
    }
    if (code == SQLITE_OK) code = Do("COMMIT");
    if (code != SQLITE_OK) Do("ROLLBACK");
    return code;
  }
  int ReadAll() {
    sqlite3_stmt* select = nullptr;
    sqlite3_prepare_v2(db_, "SELECT payload FROM records ORDER BY sequence", -1, &select, nullptr);
    int count = 0;
    while (sqlite3_step(select) == SQLITE_ROW)
      count += sqlite3_column_bytes(select, 0) == static_cast<int>(kRecord.size());
    sqlite3_finalize(select);
    return count;
  }

 private:
  sqlite3* db_ = nullptr;
  sqlite3_stmt* insert_ = nullptr;
};

// ---- The store -------------------------------------------------------------------------------------

std::unique_ptr<storage::Store> Open(storage::FileSystem& files, const std::string& folder,
                                     storage::Examination& found) {
  std::unique_ptr<storage::Store> opened;
  const auto status =
      storage::Store::Open(files, folder, {"bench", "bench", 1 << 20, 64 << 20}, opened, found);
  Require(status.ok(), status.Text());
  return opened;
}

bool WriteGroup(storage::Store& store, int group) {
  for (int i = 0; i < group; ++i) {
    if (store.Append(1, 1, kRecord) == 0) return false;
  }
  return store.Commit().ok();
}

double RecordsPerSecond(int group, const std::function<void()>& write) {
  const Millis begun = MonotonicNow();
  int written = 0;
  while (MonotonicNow() < begun + 2000) write(), written += group;
  return written / ((MonotonicNow() - begun) / 1000);
}

void Run(const std::string& folder) {
  const auto files = storage::MakePosixFileSystem();
  fmt::print("{:44} {:>12} {:>12}\n", "", "store", "SQLite");
  for (const int group : {1, 10, 100}) {
    storage::Examination found;
    const auto log = Open(*files, folder + "/groups" + std::to_string(group), found);
    Database database(folder + "/groups" + std::to_string(group) + ".db");
    const double ours = RecordsPerSecond(group, [&] {
      if (!WriteGroup(*log, group)) Require(log->TakeSnapshot(1, "").ok(), "snapshot");
    });
    const double theirs =
        RecordsPerSecond(group, [&] { Require(database.Write(group) == SQLITE_OK, "write"); });
    fmt::print("{:44} {:12.0f} {:12.0f}\n", fmt::format("records a second, {} a commit", group), ours,
               theirs);
  }
  {
    storage::Examination found;
    const auto log = Open(*files, folder + "/all", found);
    Database database(folder + "/all.db");
    for (int i = 0; i < kRecords; i += 100) {
      Require(WriteGroup(*log, 100), "write");
      Require(database.Write(100) == SQLITE_OK, "write");
    }
  }
  const auto ours = [&] {
    storage::Examination found;
    Open(*files, folder + "/all", found);
    Require(found.records.size() == kRecords, "records are missing");
  };
  const auto theirs = [&] {
    Require(Database(folder + "/all.db").ReadAll() == kRecords, "records are missing");
  };
  Millis begun = MonotonicNow();
  ours();
  const Millis our_time = MonotonicNow() - begun;
  begun = MonotonicNow();
  theirs();
  fmt::print("{:44} {:12.1f} {:12.1f}\n", fmt::format("recovery of {} records, ms", kRecords), our_time,
             MonotonicNow() - begun);
  fmt::print("{:44} {:12.1f} {:12.1f}\n", "memory for it, MB", PeakOf(ours), PeakOf(theirs));

  AddFaultySyncs();
  storage::FaultyFileSystem faulty(*files, [](storage::FaultyFileSystem::Call call, const std::string&) {
    const bool fails = fail_syncs && call == storage::FaultyFileSystem::Call::kSync;
    return storage::FaultyFileSystem::Fault{fails ? std::make_error_code(std::errc::io_error)
                                                  : std::error_code()};
  });
  storage::Examination found;
  const auto log = Open(faulty, folder + "/faulty", found);
  Database database(folder + "/faulty.db", "faulty");
  Require(WriteGroup(*log, 1) && database.Write(1) == SQLITE_OK, "write");
  fail_syncs = true;
  const bool our_failure = !WriteGroup(*log, 1), their_failure = database.Write(1) != SQLITE_OK;
  fail_syncs = false;
  const auto words = [](bool yes) { return yes ? "yes" : "no"; };
  fmt::print("{:44} {:>12} {:>12}\n", "a failed sync is told", words(our_failure), words(their_failure));
  fmt::print("{:44} {:>12} {:>12}\n", "writes are taken after it, unexamined", words(WriteGroup(*log, 1)),
             words(database.Write(1) == SQLITE_OK));
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return fmt::print(stderr, "usage: store_bench FOLDER\n"), 2;
  const std::string folder = std::string(argv[1]) + "/store_bench";
  std::filesystem::create_directories(folder);
  try {
    Run(folder);
  } catch (const std::exception& error) {
    fmt::print(stderr, "store_bench: {}\n", error.what());
    return 1;
  }
  std::filesystem::remove_all(folder);
  return 0;
}
