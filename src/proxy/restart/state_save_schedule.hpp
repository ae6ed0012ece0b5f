// Schedules the saves of the gateway's state: soon after a change, and then at a fixed interval.
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
  // `get_state` returns the state to be saved.
  StateSaveSchedule(boost::asio::io_context& io, StateSaver& saver, std::function<SavedState()> get_state);

  // Saves the state after `delay`, unless a save is already due by then.
  void SaveWithin(Millis delay);

  // Returns the delay of a save after a change of the endpoint list. It depends on the gateway, so that the
  // gateways of a fleet do not all save at the same time.
  static Millis DelayAfterListChange(int gateway_index);

 private:
  void Save();

  StateSaver& saver_;
  const std::function<SavedState()> get_state_;
  boost::asio::steady_timer timer_;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_RESTART_STATE_SAVE_SCHEDULE_HPP_
