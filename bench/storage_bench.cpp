// Compares storage::Store with SQLite. Measures the write rate for groups of small records with one sync per
// group, the time and memory of a recovery, and the behaviour after a failed sync. Usage: storage_bench
// FOLDER. FOLDER must be on the disk to measure. The benchmark removes the files that it creates there.
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

const std::string kRecordPayload(160, 'x');
constexpr int kRecords = 100000;
constexpr int kRecordsPerGroup = 100;  // in the stores that the recovery reads
constexpr Millis kMeasurementMs = 2000;

// Returns the peak resident memory of this process in MB.
double PeakResidentMb() {
  std::ifstream status("/proc/self/status");
  for (std::string word; status >> word;) {
    if (word != "VmHWM:") continue;
    double kb = 0;
    status >> kb;
    return kb / 1024;
  }
  return 0;
}

// Returns the growth of the peak resident memory during `work` in MB, or -1 on failure. Runs `work` in a
// child process, so that the peak does not include earlier work.
double PeakMemoryMb(const std::function<void()>& work) {
  int pipe_ends[2];
  if (pipe(pipe_ends) != 0) throw std::runtime_error("can't create a pipe");
  const pid_t child = fork();
  if (child == 0) {
    const double before = PeakResidentMb();
    work();
    const double growth_mb = PeakResidentMb() - before;
    _exit(write(pipe_ends[1], &growth_mb, sizeof growth_mb) == sizeof growth_mb ? 0 : 1);
  }
  double growth_mb = 0;
  const bool read_all = read(pipe_ends[0], &growth_mb, sizeof growth_mb) == sizeof growth_mb;
  waitpid(child, nullptr, 0);
  close(pipe_ends[0]);
  close(pipe_ends[1]);
  return read_all ? growth_mb : -1;
}

void Require(bool condition, const std::string& error) {
  if (!condition) throw std::runtime_error(error);
}

// ---- SQLite: a table of records with a write-ahead log and a full sync at each commit --------------

bool fail_syncs = false;
// One per open file: the methods of the file with xSync replaced.
std::list<sqlite3_io_methods> patched_methods;
sqlite3_vfs* real_vfs = nullptr;

int SyncOrFail(sqlite3_file*, int) { return fail_syncs ? SQLITE_IOERR_FSYNC : SQLITE_OK; }

// Registers the VFS "faulty". It is the default VFS except for syncs, which do nothing, or fail while
// `fail_syncs` is set.
void RegisterFaultyVfs() {
  real_vfs = sqlite3_vfs_find(nullptr);
  static sqlite3_vfs faulty = *real_vfs;
  faulty.zName = "faulty";
  faulty.xOpen = [](sqlite3_vfs*, const char* name, sqlite3_file* file, int flags, int* out) {
    const int code = real_vfs->xOpen(real_vfs, name, file, flags, out);
    if (code == SQLITE_OK && file->pMethods != nullptr) {
      patched_methods.push_back(*file->pMethods);
      patched_methods.back().xSync = SyncOrFail;
      file->pMethods = &patched_methods.back();
    }
    return code;
  };
  sqlite3_vfs_register(&faulty, 0);
}

class Database {
 public:
  Database(const std::string& path, const char* vfs = nullptr) {
    Require(sqlite3_open_v2(path.c_str(), &db_, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, vfs) == SQLITE_OK,
            "can't open the SQLite database '" + path + "'");
    Execute(
        "PRAGMA journal_mode=WAL; PRAGMA synchronous=FULL;"
        "CREATE TABLE IF NOT EXISTS records(sequence INTEGER PRIMARY KEY, payload BLOB)");
    Require(
        sqlite3_prepare_v2(db_, "INSERT INTO records(payload) VALUES(?)", -1, &insert_, nullptr) == SQLITE_OK,
        "can't prepare the INSERT statement of SQLite");
  }
  ~Database() {
    sqlite3_finalize(insert_);
    sqlite3_close(db_);
  }
  int Execute(const char* sql) { return sqlite3_exec(db_, sql, nullptr, nullptr, nullptr); }
  int WriteGroup(int records) {
    int code = Execute("BEGIN IMMEDIATE");
    for (int i = 0; i < records && code == SQLITE_OK; ++i) {
      sqlite3_bind_blob(insert_, 1, kRecordPayload.data(), static_cast<int>(kRecordPayload.size()),
                        SQLITE_STATIC);
      code = sqlite3_step(insert_) == SQLITE_DONE ? SQLITE_OK : SQLITE_ERROR;
      sqlite3_reset(insert_);
    }
    if (code == SQLITE_OK) code = Execute("COMMIT");
    if (code != SQLITE_OK) Execute("ROLLBACK");
    return code;
  }
  int ReadAll() {
    sqlite3_stmt* select = nullptr;
    sqlite3_prepare_v2(db_, "SELECT payload FROM records ORDER BY sequence", -1, &select, nullptr);
    int count = 0;
    while (sqlite3_step(select) == SQLITE_ROW)
      count += sqlite3_column_bytes(select, 0) == static_cast<int>(kRecordPayload.size());
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

bool WriteGroup(storage::Store& store, int records) {
  for (int i = 0; i < records; ++i) {
    if (store.Append(1, 1, kRecordPayload) == 0) return false;
  }
  return store.Commit().ok();
}

double RecordsPerSecond(int records_per_group, const std::function<void()>& write) {
  const Millis started_at = MonotonicNow();
  int written = 0;
  while (MonotonicNow() < started_at + kMeasurementMs) write(), written += records_per_group;
  return written / ((MonotonicNow() - started_at) / 1000);
}

void RunBenchmark(const std::string& folder) {
  const auto files = storage::MakePosixFileSystem();
  fmt::print("{:44} {:>12} {:>12}\n", "", "store", "SQLite");
  for (const int group : {1, 10, 100}) {
    storage::Examination found;
    const auto store = Open(*files, folder + "/groups" + std::to_string(group), found);
    Database database(folder + "/groups" + std::to_string(group) + ".db");
    const double store_rate = RecordsPerSecond(group, [&] {
      if (!WriteGroup(*store, group))
        Require(store->TakeSnapshot(1, "").ok(), "the store can't take a snapshot");
    });
    const double database_rate = RecordsPerSecond(group, [&] {
      Require(database.WriteGroup(group) == SQLITE_OK, "SQLite can't write a group of records");
    });
    fmt::print("{:44} {:12.0f} {:12.0f}\n", fmt::format("records per second, {} per commit", group),
               store_rate, database_rate);
  }
  {
    storage::Examination found;
    const auto store = Open(*files, folder + "/all", found);
    Database database(folder + "/all.db");
    for (int i = 0; i < kRecords; i += kRecordsPerGroup) {
      Require(WriteGroup(*store, kRecordsPerGroup), "the store can't write a group of records");
      Require(database.WriteGroup(kRecordsPerGroup) == SQLITE_OK, "SQLite can't write a group of records");
    }
  }
  const auto recover_store = [&] {
    storage::Examination found;
    Open(*files, folder + "/all", found);
    Require(found.records.size() == kRecords,
            fmt::format("the store recovered {} records instead of {}", found.records.size(), kRecords));
  };
  const auto recover_database = [&] {
    const int recovered = Database(folder + "/all.db").ReadAll();
    Require(recovered == kRecords,
            fmt::format("SQLite recovered {} records instead of {}", recovered, kRecords));
  };
  Millis started_at = MonotonicNow();
  recover_store();
  const Millis store_ms = MonotonicNow() - started_at;
  started_at = MonotonicNow();
  recover_database();
  fmt::print("{:44} {:12.1f} {:12.1f}\n", fmt::format("recovery of {} records, ms", kRecords), store_ms,
             MonotonicNow() - started_at);
  fmt::print("{:44} {:12.1f} {:12.1f}\n", "peak memory of the recovery, MB", PeakMemoryMb(recover_store),
             PeakMemoryMb(recover_database));

  RegisterFaultyVfs();
  storage::FaultyFileSystem faulty(*files, [](storage::FaultyFileSystem::Call call, const std::string&) {
    const bool fails = fail_syncs && call == storage::FaultyFileSystem::Call::kSync;
    return storage::FaultyFileSystem::Fault{fails ? std::make_error_code(std::errc::io_error)
                                                  : std::error_code()};
  });
  storage::Examination found;
  const auto store = Open(faulty, folder + "/faulty", found);
  Database database(folder + "/faulty.db", "faulty");
  Require(WriteGroup(*store, 1) && database.WriteGroup(1) == SQLITE_OK,
          "a write failed before the syncs were made to fail");
  fail_syncs = true;
  const bool store_reports = !WriteGroup(*store, 1), database_reports = database.WriteGroup(1) != SQLITE_OK;
  fail_syncs = false;
  const auto yes_or_no = [](bool yes) { return yes ? "yes" : "no"; };
  fmt::print("{:44} {:>12} {:>12}\n", "a failed sync is reported", yes_or_no(store_reports),
             yes_or_no(database_reports));
  fmt::print("{:44} {:>12} {:>12}\n", "later writes succeed without recovery",
             yes_or_no(WriteGroup(*store, 1)), yes_or_no(database.WriteGroup(1) == SQLITE_OK));
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return fmt::print(stderr, "usage: storage_bench FOLDER\n"), 2;
  const std::string folder = std::string(argv[1]) + "/store_bench";
  std::filesystem::create_directories(folder);
  try {
    RunBenchmark(folder);
  } catch (const std::exception& error) {
    fmt::print(stderr, "storage_bench: {}\n", error.what());
    return 1;
  }
  std::filesystem::remove_all(folder);
  return 0;
}
