// Runs the policies for one simulator process. The simulator sends batches of events, each for a numbered
// policy instance. The host replies to each batch with the actions of all instances.
#ifndef GATEWAY_SIMULATOR_POLICY_HOST_HPP_
#define GATEWAY_SIMULATOR_POLICY_HOST_HPP_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/policy.hpp"
#include "simulator/event_codec.hpp"
#include "simulator/line_codec.hpp"

namespace gateway::simulator {

// Hosts the policy instances. They share only the process, the time of a batch and the numbered endpoint
// lists. Not thread-safe.
class PolicyHost {
 public:
  // Processes one line without its line feed. Throws WireError if the line is malformed or not allowed in the
  // current state. The host must not be used after an exception.
  void ProcessLine(std::string_view line);

  // Returns the reply to a batch if the last line ended the batch, otherwise an empty string. Must be called
  // after each line. Returns each reply only once.
  std::string TakeReply();

  // Returns whether a batch has begun and not ended yet.
  bool InBatch() const { return in_batch_; }

 private:
  static constexpr std::size_t kListCount = 16;  // number of endpoint lists that the wire protocol defines

  void CheckOrder(MessageType type) const;
  void BeginBatch();
  void EndBatch();
  void BeginEndpointList();
  void AddEndpoint();
  void ProcessEvent(MessageType type);
  void CreateInstance();
  policy::EndpointListEvent ToEvent(const EndpointListUpdate& update) const;
  void Deliver(const policy::Event& event);

  LineFields fields_;  // fields of the current line
  policy::Millis now_ = 0;
  bool in_batch_ = false;
  std::optional<std::int64_t> selected_;  // the instance that receives the following events
  std::map<std::int64_t, policy::Policy> policies_;
  std::array<std::vector<policy::EndpointInfo>, kListCount> lists_;
  std::size_t open_list_ = 0;     // the list to which entries are added
  std::size_t entries_left_ = 0;  // remaining entry lines of the open list
  std::vector<policy::Action> actions_;
  std::optional<std::int64_t> reply_instance_;  // the instance that the last line in `open_reply_` belongs to
  std::string open_reply_;                      // lines of the reply to the current batch
  std::string reply_;
};

}  // namespace gateway::simulator

#endif  // GATEWAY_SIMULATOR_POLICY_HOST_HPP_
