// The precedence of the sources of a setting: decides which source is in force if several sources provide the
// setting. Each start and each reload uses these functions; no other code compares sources.
//
// Settings that identify the process (the addresses it listens on, its name) are fixed when the process is
// started, so the environment takes precedence over the file. The address of discovery, the endpoint list and
// the drain change while processes run, so the newest source takes precedence. docs/ARCHITECTURE.md has the
// table, docs/design/sources.md the reasons. The functions have no I/O, except LogSourceConflict.
#ifndef GATEWAY_PROXY_SETTING_SOURCES_HPP_
#define GATEWAY_PROXY_SETTING_SOURCES_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gateway/policy.hpp"
#include "proxy/discovery/endpoint_list.hpp"

namespace gateway::proxy {

struct SavedState;
struct TransferredState;

enum class SettingSource {
  kFile,            // the configuration file
  kRunningProcess,  // at a start the predecessor, at a reload this process
  kSavedState,      // the state folder
  kEnvironment,     // a NODE_* variable
};

// Returns the name of the source for the log, such as "environment".
const char* ToText(SettingSource source);

// A value of a setting as text, with the source that provides it.
struct SourcedText {
  SettingSource source = SettingSource::kFile;
  std::string value;
  bool operator==(const SourcedText&) const = default;
};

// Lists the sources of a setting that disagree.
struct SourceConflict {
  std::string setting;
  SourcedText in_force;
  std::vector<SourcedText> others;  // the sources that provide another value; empty if there is no conflict
};

// Writes one line that names the source in force and the others. Writes nothing if there is no conflict.
void LogSourceConflict(const SourceConflict& conflict);

// Compares the first element of `values`, which is in force, with the others.
SourceConflict FindConflict(const std::string& setting, const std::vector<SourcedText>& values);

// Orders the values of a setting that identifies the process: environment, file. Omits missing values.
std::vector<SourcedText> OrderProcessSetting(const std::optional<std::string>& environment,
                                             const std::optional<std::string>& file);

// The addresses of discovery that the sources provide.
struct DiscoverySources {
  std::vector<boost::asio::ip::tcp::endpoint> file_services = {};      // `discovery_endpoints`; may be empty
  std::optional<boost::asio::ip::tcp::endpoint> file = {};             // `discovery`
  std::optional<boost::asio::ip::tcp::endpoint> running_process = {};  // the address in force there
  std::optional<boost::asio::ip::tcp::endpoint> environment = {};      // NODE_DISCOVERY
  bool operator==(const DiscoverySources&) const = default;
};

// The services that one source provides. They publish the same list.
struct DiscoveryCandidate {
  SettingSource source = SettingSource::kFile;
  std::vector<boost::asio::ip::tcp::endpoint> services;  // in the order in which they are tried; not empty
};

// Orders the addresses of discovery: file (`discovery_endpoints`, then `discovery`), running process,
// environment. Omits sources that provide only addresses of earlier candidates. Returns several candidates if
// and only if sources disagree; the first one is in force until it fails, see SourceSelection.
std::vector<DiscoveryCandidate> OrderDiscoverySources(const DiscoverySources& sources);

// Compares the first candidate with the others.
SourceConflict FindConflict(const std::vector<DiscoveryCandidate>& candidates);

// The endpoint list with which a process starts.
struct InitialList {
  SettingSource source = SettingSource::kFile;
  EndpointList list;
  // Whether the revision is known to be one of the current services. False for a list from disk, because the
  // services may have restarted their revision count since the save.
  bool position_is_current = true;
};

// Chooses the list of the predecessor, which watches discovery until now. Without a predecessor, chooses the
// saved list if its revision is above that of the list in the file, otherwise the list in the file.
InitialList ChooseInitialList(const EndpointList& file, const std::optional<TransferredState>& transferred,
                              const std::optional<SavedState>& saved);

// Compares the revision of the chosen list with those of the lists that the sources provide.
SourceConflict FindConflict(const InitialList& chosen, const EndpointList& file,
                            const std::optional<TransferredState>& transferred,
                            const std::optional<SavedState>& saved);

// Returns whether a process starts with an operator's drain: a successor starts without one, any other
// process with the saved one.
bool ChooseInitialDrain(const std::optional<TransferredState>& transferred,
                        const std::optional<SavedState>& saved);

// Compares the drain with which the process starts with the saved one.
SourceConflict FindDrainConflict(const std::optional<TransferredState>& transferred,
                                 const std::optional<SavedState>& saved);

// Returns the learned state with which a process starts: that of the predecessor, otherwise the saved one.
// Null if there is none. Points into an argument.
const policy::LearnedState* ChooseLearnedState(const std::optional<TransferredState>& transferred,
                                               const std::optional<SavedState>& saved);

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_SETTING_SOURCES_HPP_
