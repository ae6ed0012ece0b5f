#include "cli/state.hpp"

#include <fmt/format.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "storage/store.hpp"

namespace gateway::cli {
namespace {

using nlohmann::ordered_json;

// Reads the folder without writing to it. Throws std::runtime_error if the folder can't be read.
storage::Examination Examine(const std::string& folder) {
  storage::Examination examination;
  const auto files = storage::MakePosixFileSystem();
  const storage::Status status = storage::Examine(*files, folder, "", examination);
  if (!status.ok()) throw std::runtime_error(status.Text());
  return examination;
}

const char* ConditionText(storage::StoreCondition condition) {
  switch (condition) {
    case storage::StoreCondition::kEmpty: return "no state";
    case storage::StoreCondition::kComplete: return "whole";
    case storage::StoreCondition::kCorrupt: return "damaged";
    case storage::StoreCondition::kOtherOwner: return "written by another owner";
    case storage::StoreCondition::kUnsupportedVersion: return "written by a newer version";
  }
  return "";
}

std::string SummaryLine(const std::string& folder, const storage::Examination& examination) {
  std::string line = fmt::format("{}: {}", folder, ConditionText(examination.condition));
  if (examination.manifest && !examination.manifest->owner.empty())
    line += fmt::format(", owner {}", examination.manifest->owner);
  if (examination.snapshot) line += fmt::format(", snapshot up to record {}", examination.snapshot->sequence);
  if (!examination.records.empty()) {
    line += fmt::format(", records {} to {}", examination.records.front().sequence,
                        examination.records.back().sequence);
  }
  return examination.error.empty() ? line : line + ": " + examination.error;
}

// Returns the payload as JSON, or as a JSON string if it can't be parsed.
ordered_json PayloadToJson(const std::string& bytes) {
  const ordered_json parsed = ordered_json::parse(bytes, nullptr, /*allow_exceptions=*/false);
  return parsed.is_discarded() ? ordered_json(bytes) : parsed;
}

void PrintJsonLine(const ordered_json& line) {
  fmt::print("{}\n", line.dump(-1, ' ', false, ordered_json::error_handler_t::replace));
}

bool IsIntact(const storage::Examination& examination) {
  return examination.condition == storage::StoreCondition::kComplete ||
         examination.condition == storage::StoreCondition::kEmpty;
}

// Prints a summary of the state and one line for each file in the folder.
int InspectState(const std::string& folder) {
  const storage::Examination examination = Examine(folder);
  fmt::print("{}\n", SummaryLine(folder, examination));
  if (examination.manifest)
    fmt::print("  created by elderhead {}, format {}\n", examination.manifest->program,
               examination.manifest->format);
  for (const auto& file : examination.files) {
    fmt::print("  {:32} {:>9} bytes  {}{}\n", file.name, file.bytes, file.description,
               file.error.empty() ? "" : "; error: " + file.error);
  }
  for (const std::string& name : examination.obsolete_files) fmt::print("  {:32} obsolete\n", name);
  return kSuccess;
}

// Prints a summary of the state. Returns kFailure if the state is corrupt or was written by a newer version.
int VerifyState(const std::string& folder) {
  const storage::Examination examination = Examine(folder);
  fmt::print("{}\n", SummaryLine(folder, examination));
  return IsIntact(examination) ? kSuccess : kFailure;
}

// Prints the snapshot and the records that a program would load from the folder at startup, each as a line of
// JSON. Returns kFailure if the state is corrupt or was written by a newer version.
int ExportState(const std::string& folder) {
  const storage::Examination examination = Examine(folder);
  if (examination.snapshot) {
    PrintJsonLine({{"snapshot", examination.snapshot->sequence},
                   {"version", examination.snapshot->version},
                   {"payload", PayloadToJson(examination.snapshot->payload)}});
  }
  for (const storage::Record& record : examination.records) {
    PrintJsonLine({{"record", record.sequence},
                   {"kind", record.kind},
                   {"version", record.version},
                   {"payload", PayloadToJson(record.payload)}});
  }
  return IsIntact(examination) ? kSuccess : kFailure;
}

// A subcommand of `state`. Its only argument is the folder with the saved state.
struct StateSubcommand {
  const char* name;
  const char* description;
  const char* example;
  int (*run)(const std::string& folder);
};

constexpr StateSubcommand kSubcommands[] = {
    {"inspect", "Prints a summary of the state and one line for each file",
     "gatewayctl state inspect /var/lib/elderhead/n3", InspectState},
    {"verify", "Checks the integrity of the state and prints the result in one line",
     "gatewayctl state verify /var/lib/elderhead/n3", VerifyState},
    {"export", "Prints the valid snapshot and records, one JSON object per line",
     "gatewayctl state export DIR | head -1", ExportState},
};

}  // namespace

void AddState(CLI::App& app, Command& selected) {
  CLI::App* const state =
      app.add_subcommand("state", "Examines a folder with saved state, without writing to the folder");
  state->require_subcommand(1);
  state->footer("Example: gatewayctl state verify /var/lib/elderhead/n3");
  for (const StateSubcommand& subcommand : kSubcommands) {
    const auto folder = std::make_shared<std::string>();
    CLI::App* const command = state->add_subcommand(subcommand.name, subcommand.description);
    command->add_option("DIR", *folder, "Folder with the saved state")->required();
    command->footer(
        std::string("Exit codes: 0 the state is whole or empty, 1 it is damaged or written by a newer "
                    "version, 2 the folder can't be read.\nExample: ") +
        subcommand.example);
    SelectWhenGiven(*command, selected, [run = subcommand.run, folder] { return run(*folder); });
  }
}

}  // namespace gateway::cli
