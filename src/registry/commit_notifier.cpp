#include "registry/commit_notifier.hpp"

#include <sys/eventfd.h>
#include <unistd.h>

#include <boost/asio/read.hpp>
#include <utility>

namespace gateway::registry {
namespace {

constexpr useconds_t kPollIntervalMicroseconds = 200;

}  // namespace

CommitNotifier::CommitNotifier(boost::asio::io_context& io)
    : event_(io, eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {}

void CommitNotifier::Notify(Result result) {
  {
    const std::lock_guard lock(mutex_);
    result_ = std::move(result);
  }
  const std::uint64_t increment = 1;
  [[maybe_unused]] const auto size = ::write(event_.native_handle(), &increment, sizeof increment);
}

CommitNotifier::Result CommitNotifier::Wait() {
  std::uint64_t count = 0;
  while (::read(event_.native_handle(), &count, sizeof count) != sizeof count)
    ::usleep(kPollIntervalMicroseconds);
  return *Take();
}

void CommitNotifier::Listen(std::function<void(Result)> handler) {
  handler_ = std::move(handler);
  ReadNext();
}

void CommitNotifier::ReadNext() {
  boost::asio::async_read(event_, boost::asio::buffer(&event_count_, sizeof event_count_),
                          [this](boost::system::error_code error, std::size_t) {
                            if (error) return;
                            if (auto result = Take()) handler_(std::move(*result));
                            ReadNext();
                          });
}

std::optional<CommitNotifier::Result> CommitNotifier::Take() {
  const std::lock_guard lock(mutex_);
  return std::exchange(result_, std::nullopt);
}

}  // namespace gateway::registry
