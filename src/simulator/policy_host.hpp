// Runs the policies of one simulator process. The simulator sends batches of events, addressed to numbered
// instances, and gets one reply a batch with the actions of all of them.
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

// The instances share the process, the time of a batch and the numbered endpoint lists, and nothing else. To
// be called from one thread at a time.
class PolicyHost {
 public:
  // Consumes one line, without its line feed. Throws WireError if it is malformed or may not come now; the
  // host is of no further use then.
  void ProcessLine(std::string_view line);

  // The reply, after the line that ended a batch; empty at any other time. Each reply is returned once.
  std::string TakeReply();

  // Whether a batch has begun that has not ended yet.
  bool InBatch() const { return in_batch_; }

 private:
  static constexpr std::size_t kListCount = 16;  // numbered endpoint lists of the wire

  void CheckOrder(MessageType type) const;
  void BeginBatch();
  void EndBatch();
  void BeginEndpointList();
  void AddEndpoint();
  void ProcessEvent(MessageType type);
  void CreateInstance();
  policy::EndpointListEvent ToEvent(const EndpointListUpdate& update) const;
  void Deliver(const policy::Event& event);

  LineFields fields_;  // of the line that is being processed
  policy::Millis now_ = 0;
  bool in_batch_ = false;
  std::optional<std::int64_t> selected_;  // the instance that events are addressed to
  std::map<std::int64_t, policy::Policy> policies_;
  std::array<std::vector<policy::EndpointInfo>, kListCount> lists_;
  std::size_t open_list_ = 0;     // the list that entries are added to
  std::size_t entries_left_ = 0;  // entry lines still to come for the open list
  std::vector<policy::Action> actions_;
  std::optional<std::int64_t> reply_instance_;  // the instance that the last line of the open reply is of
  std::string open_reply_;                      // of the batch that has not ended yet
  std::string reply_;
};

}  // namespace gateway::simulator

#endif  // GATEWAY_SIMULATOR_POLICY_HOST_HPP_
