#include "proxy/restart/state_save_schedule.hpp"

#include <chrono>
#include <utility>

namespace gateway::proxy {
namespace {

// The state is saved at a fixed interval because the learned state changes continuously.
constexpr Millis kSaveIntervalMs = 2000;
constexpr Millis kMaxListChangeDelayMs = 1000;
constexpr int kListChangeSteps = 16;  // number of different delays in a fleet

}  // namespace

StateSaveSchedule::StateSaveSchedule(boost::asio::io_context& io, StateSaver& saver,
                                     std::function<SavedState()> get_state)
    : saver_(saver), get_state_(std::move(get_state)), timer_(io) {}

Millis StateSaveSchedule::DelayAfterListChange(int gateway_index) {
  return kMaxListChangeDelayMs * (gateway_index % kListChangeSteps) / kListChangeSteps;
}

void StateSaveSchedule::SaveWithin(Millis delay) {
  const auto now = std::chrono::steady_clock::now();
  const auto due = now + TimerDuration(delay);
  const bool due_sooner = timer_.expiry() > now && timer_.expiry() <= due;
  if (due_sooner) return;
  timer_.expires_at(due);
  timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) Save();
  });
}

void StateSaveSchedule::Save() {
  if (!saver_.ok()) return;
  saver_.Save(get_state_());
  SaveWithin(kSaveIntervalMs);
}

}  // namespace gateway::proxy
