// Passes the results of batches from the log writer's thread to the thread of an io_context through an
// eventfd.
#ifndef GATEWAY_REGISTRY_COMMIT_NOTIFIER_HPP_
#define GATEWAY_REGISTRY_COMMIT_NOTIFIER_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>

#include "registry/log_writer.hpp"

namespace gateway::registry {

// Stores at most one result, because the next batch is written only after the previous result was received.
class CommitNotifier {
 public:
  using Result = LogWriter::BatchResult;

  // `io` must outlive the notifier.
  explicit CommitNotifier(boost::asio::io_context& io);

  // Passes a result to Wait() or to the handler of Listen(). Called in the log writer's thread.
  void Notify(Result result);
  // Blocks until a result is available. Must not be called after Listen().
  Result Wait();
  // From now on, calls `handler` with each result in the thread of the io_context.
  void Listen(std::function<void(Result)> handler);

 private:
  void ReadNext();
  std::optional<Result> Take();

  boost::asio::posix::stream_descriptor event_;
  std::uint64_t event_count_ = 0;
  std::function<void(Result)> handler_;
  std::mutex mutex_;
  std::optional<Result> result_;  // guarded by mutex_
};

}  // namespace gateway::registry

#endif  // GATEWAY_REGISTRY_COMMIT_NOTIFIER_HPP_
