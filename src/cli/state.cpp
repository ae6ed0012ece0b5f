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

// Reads the folder without writing there. Throws std::runtime_error where it can't be read.
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
    case storage::StoreCondition::kOtherOwner:
    case storage::StoreCondition::kUnsupportedVersion: return "of a newer program";
  }
  return "";
}

std::string SummaryLine(const std::string& folder, const storage::Examination& examination) {
  std::string line = fmt::format("{}: {}", folder, ConditionText(examination.condition));
  if (examination.manifest && !examination.manifest->owner.empty())
    line += fmt::format(", of {}", examination.manifest->owner);
  if (examination.snapshot) line += fmt::format(", snapshot up to {}", examination.snapshot->sequence);
  if (!examination.records.empty()) {
    line += fmt::format(", records {} to {}", examination.records.front().sequence,
                        examination.records.back().sequence);
  }
  return examination.error.empty() ? line : line + ": " + examination.error;
}

// The payload as JSON, or as a text where it is none.
ordered_json PayloadToJson(const std::string& bytes) {
  const ordered_json parsed = ordered_json::parse(bytes, nullptr, /*allow_exceptions=*/false);
  return parsed.is_discarded() ? ordered_json(bytes) : parsed;
}

void PrintJsonLine(const ordered_json& line) {
  fmt::print("{}\n", line.dump(-1, ' ', false, ordered_json::error_handler_t::replace));
}

bool IsUndamaged(const storage::Examination& examination) {
  return examination.condition == storage::StoreCondition::kComplete ||
         examination.condition == storage::StoreCondition::kEmpty;
}

// Prints what is there, file by file.
int InspectState(const std::string& folder) {
  const storage::Examination examination = Examine(folder);
  fmt::print("{}\n", SummaryLine(folder, examination));
  if (examination.manifest)
    fmt::print("  begun by elderhead {}, format {}\n", examination.manifest->program,
               examination.manifest->format);
  for (const auto& file : examination.files) {
    fmt::print("  {:32} {:>9} bytes  {}{}\n", file.name, file.bytes, file.description,
               file.error.empty() ? "" : "; wrong: " + file.error);
  }
  for (const std::string& name : examination.obsolete_files) fmt::print("  {:32} needed no more\n", name);
  return kSuccess;
}

// Prints one line. Fails where the state is damaged or of a newer program.
int VerifyState(const std::string& folder) {
  const storage::Examination examination = Examine(folder);
  fmt::print("{}\n", SummaryLine(folder, examination));
  return IsUndamaged(examination) ? kSuccess : kFailure;
}

// Prints the snapshot and the records that the program would load as JSON, a line each. Fails as VerifyState.
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
  return IsUndamaged(examination) ? kSuccess : kFailure;
}

// One of the subcommands of `state`, each of which takes a folder.
struct StateSubcommand {
  const char* name;
  const char* description;
  const char* example;
  int (*run)(const std::string& folder);
};

constexpr StateSubcommand kSubcommands[] = {
    {"inspect", "Tells what is there, file by file", "gatewayctl state inspect /var/lib/elderhead/n3",
     InspectState},
    {"verify", "Tells in a line whether all of it is whole", "gatewayctl state verify /var/lib/elderhead/n3",
     VerifyState},
    {"export", "Prints the believed snapshot and records as JSON, a line each",
     "gatewayctl state export DIR | head -1", ExportState},
};

}  // namespace

void AddState(CLI::App& app, Command& selected) {
  CLI::App* const state =
      app.add_subcommand("state", "Looks at a folder that a program keeps its state in; never writes there");
  state->require_subcommand(1);
  state->footer("Example: gatewayctl state verify /var/lib/elderhead/n3");
  for (const StateSubcommand& subcommand : kSubcommands) {
    const auto folder = std::make_shared<std::string>();
    CLI::App* const command = state->add_subcommand(subcommand.name, subcommand.description);
    command->add_option("DIR", *folder, "The folder")->required();
    command->footer(
        std::string(
            "Exit codes: 0 whole or empty, 1 damaged or of a newer program, 2 can't be read.\nExample: ") +
        subcommand.example);
    SelectWhenGiven(*command, selected, [run = subcommand.run, folder] { return run(*folder); });
  }
}

}  // namespace gateway::cli
