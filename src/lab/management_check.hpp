// Sends the command 'check' to the management address of a gateway.
#ifndef GATEWAY_LAB_MANAGEMENT_CHECK_HPP_
#define GATEWAY_LAB_MANAGEMENT_CHECK_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>

namespace gateway::lab {

// Calls `done` once, in the thread of the io_context. `success` is true if the gateway answers SUCCESS. It is
// false if the gateway gives any other answer or can't be reached.
void CheckGateway(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& management,
                  std::function<void(bool success)> done);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_MANAGEMENT_CHECK_HPP_
