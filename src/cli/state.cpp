#include "cli/state.hpp"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <stdexcept>

#include "storage/store.hpp"

namespace gateway::cli {
namespace {

using nlohmann::ordered_json;

storage::Examination Look(const std::string& folder) {
  storage::Examination examination;
  const auto files = storage::MakePosixFileSystem();
  const storage::Status status = storage::Examine(*files, folder, "", examination);
  if (!status.ok()) throw std::runtime_error(status.Text());
  return examination;
}

const char* Words(storage::StoreCondition condition) {
  switch (condition) {
    case storage::StoreCondition::kEmpty: return "no state";
    case storage::StoreCondition::kComplete: return "whole";
    case storage::StoreCondition::kCorrupt: return "damaged";
    case storage::StoreCondition::kOtherOwner:
    case storage::StoreCondition::kUnsupportedVersion: return "of a newer program";
  }
  return "";
}

bool IsUsable(const storage::Examination& e) {
  return e.condition == storage::StoreCondition::kComplete || e.condition == storage::StoreCondition::kEmpty;
}

std::string Line(const std::string& folder, const storage::Examination& e) {
  std::string line = fmt::format("{}: {}", folder, Words(e.condition));
  if (e.manifest && !e.manifest->owner.empty()) line += fmt::format(", of {}", e.manifest->owner);
  if (e.snapshot) line += fmt::format(", snapshot up to {}", e.snapshot->sequence);
  if (!e.records.empty()) {
    line += fmt::format(", records {} to {}", e.records.front().sequence, e.records.back().sequence);
  }
  return e.error.empty() ? line : line + ": " + e.error;
}

ordered_json Payload(const std::string& bytes) {
  const ordered_json parsed = ordered_json::parse(bytes, nullptr, /*allow_exceptions=*/false);
  return parsed.is_discarded() ? ordered_json(bytes) : parsed;
}

void Print(const ordered_json& line) {
  fmt::print("{}\n", line.dump(-1, ' ', false, ordered_json::error_handler_t::replace));
}

}  // namespace

int InspectState(const std::string& folder) {
  const storage::Examination e = Look(folder);
  fmt::print("{}\n", Line(folder, e));
  if (e.manifest) fmt::print("  begun by elderhead {}, format {}\n", e.manifest->program, e.manifest->format);
  for (const auto& file : e.files) {
    fmt::print("  {:32} {:>9} bytes  {}{}\n", file.name, file.bytes, file.description,
               file.error.empty() ? "" : "; wrong: " + file.error);
  }
  for (const std::string& name : e.obsolete_files) fmt::print("  {:32} needed no more\n", name);
  return 0;
}

int VerifyState(const std::string& folder) {
  const storage::Examination e = Look(folder);
  fmt::print("{}\n", Line(folder, e));
  return IsUsable(e) ? 0 : 1;
}

int ExportState(const std::string& folder) {
  const storage::Examination e = Look(folder);
  if (e.snapshot) {
    Print({{"snapshot", e.snapshot->sequence},
           {"version", e.snapshot->version},
           {"payload", Payload(e.snapshot->payload)}});
  }
  for (const storage::Record& record : e.records) {
    Print({{"record", record.sequence},
           {"kind", record.kind},
           {"version", record.version},
           {"payload", Payload(record.payload)}});
  }
  return IsUsable(e) ? 0 : 1;
}

}  // namespace gateway::cli
