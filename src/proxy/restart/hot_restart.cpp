#include "proxy/restart/hot_restart.hpp"

#include <string_view>
#include <utility>

#include "base/log.hpp"
#include "proxy/clock.hpp"

namespace gateway::proxy {
namespace {

using boost::system::error_code;

constexpr Millis kOverlap = 11000;  // both processes run for so long at most, where no link tells
constexpr Millis kLook = 10;        // from one look at what has left to the next

}  // namespace

HotRestart::HotRestart(boost::asio::io_context& io, const std::string& path, Descriptor link, bool taken,
                       Handlers handlers)
    : io_(io), path_(path), taken_(taken), handlers_(std::move(handlers)), overlap_(io) {
  if (link) predecessor_ = std::make_unique<Link>(io, std::move(link));
}

void HotRestart::Begin() {
  if (predecessor_ || taken_) {
    whole_ = false;
    handlers_.places(/*half=*/true);
    handlers_.scale(0.5);
  }
  if (predecessor_) {
    ShareWithPredecessor();
  } else if (taken_) {
    overlap_.expires_after(Span(kOverlap));
    overlap_.async_wait([this](error_code ec) {
      if (!ec) TakeAll();
    });
  }
  if (path_.empty()) return;
  handover_.emplace(
      io_, path_,
      Handover::Handlers{[this] { return successor_ || handlers_.stopping() ? -1 : handlers_.listener(); },
                         handlers_.handed_over,
                         [this](std::unique_ptr<Link> link) { ShareWithSuccessor(std::move(link)); }});
}

void HotRestart::ReadyNow() {
  if (handlers_.ready() && predecessor_ && !std::exchange(predecessor_told_, true))
    predecessor_->Say("ready");
}

// What the process leaves that this one replaces: until it is gone both are one gateway.
void HotRestart::ShareWithPredecessor() {
  base::Log(base::Level::kInfo, "replacement", "replaces", "replaces a process that serves");
  predecessor_->Listen({[this](std::string_view word, Descriptor with) {
                          if (word == "client" && with) handlers_.adopt(std::move(with));
                          if (word == "leaving") TakeAll();
                        },
                        [this] {
                          predecessor_.reset();
                          TakeAll();
                        }});
  ReadyNow();
}

// From here on this process acts alone. The places of the other are free once it is gone.
void HotRestart::TakeAll() {
  if (!std::exchange(whole_, true)) handlers_.scale(2);
  if (!predecessor_ && !successor_) handlers_.places(/*half=*/false);
}

void HotRestart::ShareWithSuccessor(std::unique_ptr<Link> successor) {
  base::Log(base::Level::kInfo, "replacement", "successor_came", "a process that replaces this one has come");
  successor_ = std::move(successor);
  successor_ready_ = false;
  if (std::exchange(whole_, false)) handlers_.scale(0.5);
  handlers_.places(/*half=*/true);
  successor_->Listen({[this](std::string_view word, const Descriptor&) {
                        if (word == "ready") successor_ready_ = true;
                      },
                      [this] {
                        base::Log(base::Level::kWarning, "replacement", "successor_gone",
                                  "the process that replaces this one has gone");
                        successor_.reset();
                        if (!handlers_.stopping()) TakeAll();
                      }});
}

void HotRestart::Leave() { successor_->Say("leaving"); }

bool HotRestart::Give(Descriptor client) {
  if (!successor_ || !successor_->open()) return false;
  successor_->Say("client", std::move(client));
  return true;
}

void HotRestart::Flushed(const std::function<void()>& done) {
  if (!successor_ || successor_->flushed()) return done();
  overlap_.expires_after(Span(kLook));
  overlap_.async_wait([this, done](error_code) { Flushed(done); });
}

}  // namespace gateway::proxy
