// Hands the results of commits from the journal's thread to the thread of an io_context, over an eventfd.
#ifndef GATEWAY_REGISTRY_COMMIT_NOTIFIER_HPP_
#define GATEWAY_REGISTRY_COMMIT_NOTIFIER_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>

#include "registry/journal.hpp"

namespace gateway::registry {

// Holds one result at a time: the next batch is written only after the last result was received.
class CommitNotifier {
 public:
  explicit CommitNotifier(boost::asio::io_context& io);

  // In the journal's thread.
  void Notify(Journal::Written written);
  // Blocks until a result is there. Only before Listen().
  Journal::Written Wait();
  // Calls `handler` in the thread of the io_context with each result from now on.
  void Listen(std::function<void(Journal::Written)> handler);

 private:
  void ReadNext();
  std::optional<Journal::Written> Take();

  boost::asio::posix::stream_descriptor event_;
  std::uint64_t event_count_ = 0;
  std::function<void(Journal::Written)> handler_;
  std::mutex mutex_;
  std::optional<Journal::Written> written_;  // guarded by mutex_
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_COMMIT_NOTIFIER_HPP_
