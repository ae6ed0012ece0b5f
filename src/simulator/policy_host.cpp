#include "simulator/policy_host.hpp"

#include <exception>
#include <stdexcept>
#include <utility>

#include "simulator/action_codec.hpp"
#include "simulator/settings_codec.hpp"

namespace gateway::simulator {
namespace {

std::string Quoted(std::string_view word) { return "'" + std::string(word) + "'"; }

std::size_t CheckedListNumber(std::size_t list, std::size_t count) {
  if (list >= count)
    throw WireError("list number must be at most " + std::to_string(count - 1) + ", not " +
                    std::to_string(list));
  return list;
}

}  // namespace

void PolicyHost::ProcessLine(std::string_view line) {
  fields_.Assign(line);
  const MessageType type = ToMessageType(fields_.word());
  CheckOrder(type);
  switch (type) {
    case MessageType::kBeginBatch: return BeginBatch();
    case MessageType::kEndBatch: return EndBatch();
    case MessageType::kSelectInstance: selected_ = DecodeInstance(fields_); return;
    case MessageType::kBeginEndpointList: return BeginEndpointList();
    case MessageType::kEndpointListEntry: return AddEndpoint();
    default: return ProcessEvent(type);
  }
}

std::string PolicyHost::TakeReply() { return std::exchange(reply_, {}); }

// Throws WireError if a line of this type is not allowed in the current state.
void PolicyHost::CheckOrder(MessageType type) const {
  if (entries_left_ > 0 && type != MessageType::kEndpointListEntry) {
    throw WireError(std::string(WireWord(MessageType::kEndpointListEntry)) + " lines are missing before " +
                    Quoted(fields_.word()));
  }
  if (type == MessageType::kBeginBatch) {
    if (in_batch_) throw WireError(std::string(fields_.word()) + " is not allowed inside a batch");
  } else if (!in_batch_) {
    throw WireError(Quoted(fields_.word()) + " is not allowed outside a batch");
  }
}

void PolicyHost::BeginBatch() {
  now_ = DecodeTime(fields_);
  in_batch_ = true;
  selected_.reset();
}

void PolicyHost::EndBatch() {
  in_batch_ = false;
  reply_instance_.reset();
  reply_ = std::exchange(open_reply_, {});
  AppendEndOfReply(reply_);
}

void PolicyHost::BeginEndpointList() {
  const EndpointListHeader header = DecodeEndpointListHeader(fields_);
  open_list_ = CheckedListNumber(header.list, lists_.size());
  lists_[open_list_].clear();
  entries_left_ = header.entry_count;
}

void PolicyHost::AddEndpoint() {
  if (entries_left_ == 0)
    throw WireError(std::string(fields_.word()) + " is not allowed outside an endpoint list");
  lists_[open_list_].push_back(DecodeEndpoint(fields_));
  --entries_left_;
}

void PolicyHost::ProcessEvent(MessageType type) {
  if (!selected_) {
    throw WireError(Quoted(fields_.word()) + " is not allowed before " +
                    std::string(WireWord(MessageType::kSelectInstance)));
  }
  if (type == MessageType::kCreateInstance) return CreateInstance();
  if (!policies_.contains(*selected_)) {
    throw WireError("instance " + std::to_string(*selected_) + " does not exist");
  }
  switch (type) {
    case MessageType::kRequest: return Deliver(DecodeRequest(fields_));
    case MessageType::kAttemptOutcome: return Deliver(DecodeAttemptOutcome(fields_));
    case MessageType::kTimerFired: return Deliver(DecodeTimerFired(fields_));
    case MessageType::kClientDisconnected: return Deliver(DecodeClientDisconnected(fields_));
    case MessageType::kEndpointListUpdate: return Deliver(ToEvent(DecodeEndpointListUpdate(fields_)));
    case MessageType::kResponseStarted: return Deliver(DecodeResponseStarted(fields_));
    case MessageType::kProbeResult: return CheckProbeResult(fields_);
    case MessageType::kPeerMessage: return CheckPeerMessage(fields_);
    case MessageType::kDestroyInstance: policies_.erase(*selected_); return;
    default: throw WireError("unknown message word " + Quoted(fields_.word()));
  }
}

void PolicyHost::CreateInstance() {
  const InstanceConfig config = DecodeInstanceConfig(fields_);
  policies_.erase(*selected_);
  try {
    policies_.emplace(*selected_, policy::Policy(ParseSettings(config.settings), config.seed));
  } catch (const std::invalid_argument& error) {  // includes policy::SettingsError
    throw WireError(std::string("invalid settings: ") + error.what());
  }
}

policy::EndpointListEvent PolicyHost::ToEvent(const EndpointListUpdate& update) const {
  policy::EndpointListEvent event;
  event.kind = update.kind;
  if (update.kind != policy::EndpointListEvent::Kind::kFailure) {
    event.endpoints = lists_[CheckedListNumber(update.list, lists_.size())];
  }
  return event;
}

void PolicyHost::Deliver(const policy::Event& event) {
  actions_.clear();
  std::optional<std::string> failure;
  try {
    policies_.at(*selected_).Handle(now_, event, actions_);
  } catch (const std::exception& error) {
    actions_.clear();
    failure = error.what();
  }
  if (actions_.empty() && !failure) return;
  if (reply_instance_ != selected_) AppendInstance(open_reply_, *selected_);
  reply_instance_ = selected_;
  for (const policy::Action& action : actions_) AppendAction(open_reply_, action);
  if (failure) AppendFailure(open_reply_, *failure);
}

}  // namespace gateway::simulator
