// Saves the gateway's state soon after a change, and after that at a fixed interval.
#ifndef GATEWAY_PROXY_RESTART_STATE_SAVE_SCHEDULE_HPP_
#define GATEWAY_PROXY_RESTART_STATE_SAVE_SCHEDULE_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "proxy/clock.hpp"
#include "proxy/restart/saved_state.hpp"
#include "proxy/restart/state_saver.hpp"

namespace gateway::proxy {

class StateSaveSchedule {
 public:
  // `get_state` is called for each save and returns the state to save.
  StateSaveSchedule(boost::asio::io_context& io, StateSaver& saver, std::function<SavedState()> get_state);

  // Schedules a save after `delay`, unless an earlier save is already scheduled.
  void SaveWithin(Millis delay);

  // Returns the delay from a change of the endpoint list to the save. The delay depends on the index of the
  // gateway, so that the gateways of a fleet do not all save at the same time.
  static Millis DelayAfterListChange(int gateway_index);

 private:
  void Save();

  StateSaver& saver_;
  const std::function<SavedState()> get_state_;
  boost::asio::steady_timer timer_;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_RESTART_STATE_SAVE_SCHEDULE_HPP_
