// What a gateway keeps on disk for the process after it, where a folder is configured: the list of hosts, the
// drain and what was learned.
#ifndef GATEWAY_PROXY_RESTART_STATE_SAVER_HPP_
#define GATEWAY_PROXY_RESTART_STATE_SAVER_HPP_

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "proxy/clock.hpp"
#include "proxy/discovery/endpoint_list.hpp"

namespace gateway::proxy {

struct SavedState {
  EndpointList list;
  bool draining = false;
  Millis kept_at = 0;  // Unix time at which the list was last known to hold
  std::optional<policy::LearnedState> learned;
};
std::string ToText(const SavedState& state);
// Nothing if the text is broken in any part; without what was learned if only that is.
std::optional<SavedState> ParseSavedState(const std::string& text);

// What stands in the folder, of that owner. Reads only, and blocks for the disk: for the start, before
// clients come. Nothing, with a line in the log that says why, if there is none to be believed.
std::optional<SavedState> LoadState(const std::string& folder, const std::string& owner);

// Writes the newest state in a thread of its own, so that the event loop never waits for a disk. What was not
// written when a newer one comes is never written. While another process holds the folder, as in a
// replacement, it is tried again. After a failed write or sync it writes no more, for the process's life, and
// says so in the log and in ok().
class StateSaver {
 public:
  StateSaver(std::string folder, std::string owner, Millis sync_delay = 0);
  // Waits a moment for the write that is on; a disk that hangs is left behind.
  ~StateSaver();

  // From the event loop: takes no lock and makes no system call but a wake-up.
  void Keep(const SavedState& state);

  bool ok() const { return shared_->ok; }
  std::uint64_t written() const { return shared_->written; }
  std::uint64_t bytes() const { return shared_->bytes; }

 private:
  struct Shared {
    std::atomic<std::string*> newest{nullptr};  // owned by whoever takes it out
    std::atomic<std::uint32_t> wakes{0};
    std::atomic<bool> stopping{false}, done{false}, ok{true};
    std::atomic<std::uint64_t> written{0}, bytes{0};
    ~Shared() { delete newest.load(); }
  };
  static void Write(const std::string& folder, const std::string& owner, Millis sync_delay, Shared& shared);

  const std::shared_ptr<Shared> shared_;  // the thread may outlive this
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_RESTART_STATE_SAVER_HPP_
