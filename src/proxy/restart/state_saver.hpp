// Saves a gateway's state on disk, in a thread of its own, so that the event loop never waits for a disk.
#ifndef GATEWAY_PROXY_RESTART_STATE_SAVER_HPP_
#define GATEWAY_PROXY_RESTART_STATE_SAVER_HPP_

#include <cstdint>
#include <memory>
#include <string>

#include "proxy/clock.hpp"
#include "proxy/restart/saved_state.hpp"

namespace gateway::proxy {

// Writes the newest state it was given; one that is overtaken before it was written is dropped. While another
// process holds the folder, as in a hot restart, opening it is retried. After a failed write or sync, and
// where the folder belongs to another owner or a newer program, it writes nothing for the process's life, and
// says so in the log and in ok().
class StateSaver {
 public:
  // `sync_delay`: time that is added to each sync, for drills with a slow disk; 0 in service.
  StateSaver(std::string folder, std::string owner, Millis sync_delay = 0);
  // Waits up to 200 ms for the write in progress; the thread of a disk that hangs is left behind.
  ~StateSaver();
  StateSaver(const StateSaver&) = delete;
  StateSaver& operator=(const StateSaver&) = delete;

  // Serializes the state and hands it to the thread. Takes no lock and makes no system call but a wake-up.
  void Save(const SavedState& state);

  // All may be called from any thread.
  bool ok() const;
  std::uint64_t writes() const;  // states written
  std::uint64_t bytes() const;   // of the last one

 private:
  struct Shared;
  class Writer;

  const std::shared_ptr<Shared> shared_;  // with the thread, which may outlive this
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_RESTART_STATE_SAVER_HPP_
