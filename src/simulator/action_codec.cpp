#include "simulator/action_codec.hpp"

#include <charconv>
#include <variant>

namespace gateway::simulator {
namespace {

constexpr int kDecimals = 3;                  // of all numbers on the wire
constexpr std::size_t kMaxNumberLength = 32;  // characters; numbers on the wire are much shorter

void AppendNumber(std::string& out, double value) {
  char buffer[kMaxNumberLength];
  const auto [end, error] =
      std::to_chars(buffer, buffer + sizeof buffer, value, std::chars_format::fixed, kDecimals);
  out.append(buffer, end);
}

// Appends the line of an action without its line feed.
class ActionEncoder {
 public:
  explicit ActionEncoder(std::string& out) : out_(out) {}

  void operator()(const policy::Send& send) const {
    out_ += "PASS_ON " + send.request + ' ' + send.endpoint + ' ';
    AppendNumber(out_, send.timeout);
  }
  void operator()(const policy::Reject& reject) const {
    out_ += "PUSH_BACK " + reject.request + ' ';
    AppendNumber(out_, reject.retry_after);
  }
  void operator()(const policy::Fail& fail) const { out_ += "ERROR " + fail.request; }
  void operator()(const policy::Cancel& cancel) const {
    out_ += "UNDO_SEND " + cancel.request + ' ' + std::to_string(cancel.attempt);
  }
  void operator()(const policy::SetTimer& timer) const {
    out_ += "AFTER ";
    AppendNumber(out_, timer.delay);
    out_ += ' ' + timer.name;
  }
  void operator()(const policy::WatchEndpointList&) const { out_ += "LISTEN 1"; }
  void operator()(const policy::LogLine& line) const { out_ += "PRINT " + line.text; }

 private:
  std::string& out_;
};

}  // namespace

void AppendAction(std::string& reply, const policy::Action& action) {
  std::visit(ActionEncoder(reply), action);
  reply += '\n';
}

void AppendInstance(std::string& reply, std::int64_t instance) {
  reply += "CONTEXT " + std::to_string(instance) + '\n';
}

void AppendFailure(std::string& reply, std::string_view text) {
  reply += "BAIL_OUT ";
  reply += text;
  reply += '\n';
}

void AppendEndOfReply(std::string& reply) { reply += "OK\n"; }

}  // namespace gateway::simulator
