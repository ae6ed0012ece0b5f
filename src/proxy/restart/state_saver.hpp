// Saves a gateway's state on disk in a separate thread, so that the event loop never waits for the disk.
#ifndef GATEWAY_PROXY_RESTART_STATE_SAVER_HPP_
#define GATEWAY_PROXY_RESTART_STATE_SAVER_HPP_

#include <cstdint>
#include <memory>
#include <string>

#include "proxy/clock.hpp"
#include "proxy/restart/saved_state.hpp"

namespace gateway::proxy {

// Writes the newest state passed to Save() and drops older states that were not written yet. While another
// process has the folder open, as in a hot restart, the saver retries to open the folder. After a failed
// write or sync, or if the folder belongs to another owner or to a newer version of the program, the saver
// logs an error and writes nothing until the process ends, and ok() returns false.
class StateSaver {
 public:
  // `sync_delay` is added to each sync, to test with a slow disk. It is 0 in production.
  StateSaver(std::string folder, std::string owner, Millis sync_delay = 0);
  // Waits up to 200 ms for the thread to write the newest state and to end. If the thread is still running
  // after that time, for example because the disk hangs, leaves the detached thread running.
  ~StateSaver();
  StateSaver(const StateSaver&) = delete;
  StateSaver& operator=(const StateSaver&) = delete;

  // Serializes the state and passes it to the thread. Takes no lock. The only system call is the one that
  // wakes the thread.
  void Save(const SavedState& state);

  // The following methods may be called from any thread.
  bool ok() const;
  std::uint64_t writes() const;  // number of states written
  std::uint64_t bytes() const;   // size of the last state written

 private:
  struct Shared;
  class Writer;

  const std::shared_ptr<Shared> shared_;  // shared with the thread, which may outlive the saver
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_RESTART_STATE_SAVER_HPP_
