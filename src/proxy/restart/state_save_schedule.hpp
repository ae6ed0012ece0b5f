// When the gateway's state is saved: soon after it changed, and at a fixed interval from then on.
#ifndef GATEWAY_PROXY_RESTART_STATE_SAVE_SCHEDULE_HPP_
#define GATEWAY_PROXY_RESTART_STATE_SAVE_SCHEDULE_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "proxy/clock.hpp"
#include "proxy/restart/state_saver.hpp"

namespace gateway::proxy {

class StateSaveSchedule {
 public:
  // `get_state` returns the state to be saved.
  StateSaveSchedule(boost::asio::io_context& io, StateSaver& saver, std::function<SavedState()> get_state);

  // Saves the state within `delay`. A save that is due sooner covers this one.
  void SaveWithin(Millis delay);

  // The delay after a change of the endpoint list. It differs by gateway, so that a fleet does not save at
  // once.
  static Millis DelayAfterListChange(int gateway_index);

 private:
  void Save();

  StateSaver& saver_;
  const std::function<SavedState()> get_state_;
  boost::asio::steady_timer timer_;
};

}  // namespace gateway::proxy

#endif  // GATEWAY_PROXY_RESTART_STATE_SAVE_SCHEDULE_HPP_
