#include "proxy/discovery/discovery.hpp"

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/log.hpp"
#include "proxy/clock.hpp"

namespace gateway::proxy {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using nlohmann::json;
using tcp = asio::ip::tcp;

// A watch that falls silent shows only by a call that is not answered in time, and news counts as told 6 s
// after discovery had it: so a call is given up after 3.5 s, and the policy begins the next one by 4.5 s.
constexpr Millis kAnsweredBy = 3500;  // from a call's begin, its wait and its turn included
constexpr Millis kWait = 2500;        // how long a call that goes on with a watch may wait
constexpr Millis kFirstWait = 1000;   // the first one has its turn to wait for, too
constexpr double kWaitJitter =
    0.2;                          // part of a wait: watches that fell silent together must not come back so
constexpr Millis kDial = 1000;    // a discovery that is cut off never answers a dial
constexpr Millis kFormer = 1500;  // after a move: then discovery closes what is open at its old address
constexpr Millis kCallGap = 100;  // least time from call to call; the watch lapses after 200
constexpr std::size_t kMostList = 8 << 20;
constexpr Millis kQuiet = 500;           // between two lines on calls
constexpr Millis kMoveWithin = 200;      // to the next service after one failed
constexpr Millis kLongestAway = 600000;  // from the first service while that answers

policy::EndpointState ToState(const std::string& phase) {
  if (phase == "up") return policy::EndpointState::kUp;
  if (phase == "draining") return policy::EndpointState::kDraining;
  if (phase == "removed") return policy::EndpointState::kRemoved;
  throw std::invalid_argument("phase");
}

ListedEndpoint ToHost(const json& entry) {
  ListedEndpoint host;
  policy::EndpointInfo& server = host.info;
  server.id = entry.at("id").get<std::string>();
  if (server.id.empty()) throw std::invalid_argument("id");
  server.state = ToState(entry.at("phase").get<std::string>());
  server.zone = entry.value("locality", "");
  server.machine_type = entry.value("flavor", "");
  if (entry.contains("cell")) server.cell = entry["cell"].dump();
  server.weight = entry.value("size", 1.0);
  server.started_at = entry.value("up_since_ms", 0.0);
  const auto address = ParseSocketAddress(entry.value("host_port", ""));
  if (!address && server.state != policy::EndpointState::kRemoved) throw std::invalid_argument("host_port");
  if (address) host.address = *address;
  return host;
}

}  // namespace

std::optional<EndpointList> ParseEndpointList(std::string_view text) {
  try {
    const json parsed = json::parse(text);
    EndpointList list;
    list.revision = parsed.at("revision").get<std::int64_t>();
    list.complete = parsed.at("complete").get<bool>();
    for (const json& entry : parsed.at("members")) list.endpoints.push_back(ToHost(entry));
    list.epoch = parsed.value("epoch", "");  // goes into a request's target
    if (list.epoch.size() > 64 ||
        !std::ranges::all_of(list.epoch, [](unsigned char c) { return std::isalnum(c); })) {
      throw std::invalid_argument("epoch");
    }
    list.confirmed = parsed.value("confirmed", std::int64_t{0});
    return list;
  } catch (const json::exception&) {
    return std::nullopt;
  } catch (const std::invalid_argument&) {
    return std::nullopt;
  }
}

std::string ToText(const EndpointList& list) {
  json members = json::array();
  for (const ListedEndpoint& host : list.endpoints) {
    const policy::EndpointInfo& server = host.info;
    const char* const phase = server.state == policy::EndpointState::kUp         ? "up"
                              : server.state == policy::EndpointState::kDraining ? "draining"
                                                                                 : "removed";
    json entry = {
        {"id", server.id},
        {"host_port", host.address.address().to_string() + ":" + std::to_string(host.address.port())},
        {"locality", server.zone},
        {"flavor", server.machine_type},
        {"phase", phase},
        {"size", server.weight},
        {"up_since_ms", server.started_at}};
    if (!server.cell.empty()) entry["cell"] = json::parse(server.cell, nullptr, /*allow_exceptions=*/false);
    members.push_back(std::move(entry));
  }
  json form = {{"revision", list.revision}, {"complete", list.complete}, {"members", std::move(members)}};
  if (!list.epoch.empty()) form["epoch"] = list.epoch;
  return form.dump();
}

// One call and all that its handlers use, so that those of a call given up touch nothing of the next.
struct Discovery::Call {
  Call(asio::io_context& io, const tcp::endpoint& at) : timer(io), request(http::verb::get, "", 11) {
    parser.body_limit(kMostList);
    request.set(http::field::host, at.address().to_string());
  }
  Millis begun = Now();
  asio::steady_timer timer;
  http::request<http::empty_body> request;
  http::response_parser<http::string_body> parser;
  boost::beast::flat_buffer buffer;
};

Discovery::Discovery(asio::io_context& io, tcp::endpoint address, std::int64_t revision, bool sure,
                     Handlers handlers, Several several)
    : io_(io),
      addresses_{address},
      revision_(revision),
      epoch_(several.epoch),
      handlers_(std::move(handlers)),
      pause_(io),
      moved_(!sure),
      several_(std::move(several)),
      random_(static_cast<std::minstd_rand::result_type>(several_.seed)),
      look_(io),
      news_(io),
      return_after_(several_.return_after) {
  addresses_.insert(addresses_.end(), several_.others.begin(), several_.others.end());
  if (addresses_.size() > 1) LookLater();
}

std::string Discovery::Target(Millis wait) const {
  return "/discovery/hosts?after=" + std::to_string(revision_) +
         "&wait_ms=" + std::to_string(static_cast<int>(wait)) + (epoch_.empty() ? "" : "&epoch=" + epoch_);
}

// A replica that lags would bring back hosts that are gone. Another history counts anew.
bool Discovery::IsOlder(const EndpointList& list, bool sure) const {
  return list.revision < revision_ && sure && list.epoch == epoch_;
}

void Discovery::Watch() {
  if (std::exchange(watching_, true)) return;  // asking again would be one more call on a shared service
  Ask();
}

void Discovery::Ask() {
  const auto call = call_ = std::make_shared<Call>(io_, address());
  const bool fresh = socket_ == nullptr;
  const Millis wait = (fresh ? kFirstWait : kWait) *
                      (1 - kWaitJitter * std::uniform_real_distribution<double>(0, 1)(random_));
  call->request.target(Target(wait));
  call->timer.expires_after(Span(fresh ? kDial : kAnsweredBy));
  call->timer.async_wait([this, call, fresh](error_code ec) {
    if (!ec) Fail(call, fresh ? "no connection in time" : "no answer in time");
  });
  if (!fresh) return Connected(call);
  socket_ = std::make_shared<tcp::socket>(io_);
  socket_->async_connect(address(), [this, call, socket = socket_](error_code ec) {
    if (call != call_) return;
    if (ec) return Fail(call, ec.message());
    call->timer.expires_after(Span(call->begun + kAnsweredBy - Now()));
    call->timer.async_wait([this, call](error_code timer_ec) {
      if (!timer_ec) Fail(call, "no answer in time");
    });
    Connected(call);
  });
}

void Discovery::Connected(const std::shared_ptr<Call>& call) {
  Exchange(socket_, call, [this, call](const std::string& why) {
    if (call == former_) return FormerAnswered(why);
    if (call != call_) return;
    if (!why.empty()) return Fail(call, why);
    Answered(call);
  });
}

// `done` is told why there is no whole answer; nothing if there is. The head is read first, as in the pool:
// else Boost 1.74 lets any length pass.
void Discovery::Exchange(const std::shared_ptr<tcp::socket>& socket, const std::shared_ptr<Call>& call,
                         std::function<void(const std::string& why)> done) {
  http::async_write(*socket, call->request, [socket, call, done](error_code write_ec, std::size_t) {
    if (write_ec) return done(write_ec.message());
    http::async_read_header(*socket, call->buffer, call->parser,
                            [socket, call, done](error_code head_ec, std::size_t) {
                              if (head_ec) return done(head_ec.message());
                              if (call->parser.content_length().value_or(0) > kMostList)
                                return done("too long a list");
                              http::async_read(*socket, call->buffer, call->parser,
                                               [socket, call, done](error_code read_ec, std::size_t) {
                                                 done(read_ec ? read_ec.message() : "");
                                               });
                            });
  });
}

std::optional<EndpointList> Discovery::Acceptable(const Call& call, bool sure, std::string& why) const {
  const auto& answer = call.parser.get();
  std::optional<EndpointList> list;
  if (answer.result() == http::status::ok) list = ParseEndpointList(answer.body());
  if (answer.result() != http::status::ok) {
    why = "status " + std::to_string(answer.result_int());
  } else if (!list) {
    why = "not a list of hosts";
  } else if (IsOlder(*list, sure)) {
    why = "revision " + std::to_string(list->revision) + " is older than " + std::to_string(revision_);
  } else if (!list->complete && !epoch_.empty() && list->epoch != epoch_) {
    why = "changes of another history";
  } else if (handlers_.refused) {
    why = handlers_.refused(*list);
  }
  return why.empty() ? std::move(list) : std::nullopt;
}

void Discovery::Answered(const std::shared_ptr<Call>& call) {
  std::string why;
  auto list = Acceptable(*call, /*sure=*/!moved_, why);
  if (!list) return Fail(call, why);
  DropFormer();  // this answer is the later one
  moved_ = false;
  failed_in_row_ = 0;
  call->timer.cancel();
  call_.reset();
  if (!call->parser.get().keep_alive()) socket_.reset();
  SayTold(*call, *list);
  Tell(std::move(*list));
  // A discovery that answers at once, as an agent with pushed lists does, must not be asked in a tight loop.
  pause_.expires_after(Span(kCallGap - (Now() - call->begun)));
  pause_.async_wait([this](error_code ec) {
    if (!ec && !call_) Ask();
  });
}

void Discovery::Tell(EndpointList list) {
  heard_at_ = Now();
  epoch_ = list.epoch;
  revision_ = list.revision;
  handlers_.told(std::move(list));
}

// Leaves the call that is on to end at the address that discovery has left. An answer that discovery has
// written is in force, whether or not it was read when the word of the move came.
void Discovery::KeepFormer() {
  DropFormer();
  former_ = std::exchange(call_, nullptr);
  former_socket_ = std::exchange(socket_, nullptr);
  former_sure_ = !moved_;
  if (!former_) return DropFormer();  // between two calls nothing is owed
  former_->timer.expires_after(Span(kFormer));
  former_->timer.async_wait([this, call = former_](error_code ec) {
    if (!ec && call == former_) DropFormer();
  });
}

void Discovery::FormerAnswered(const std::string& unread) {
  std::string why = unread;
  auto list = why.empty() ? Acceptable(*former_, former_sure_, why) : std::nullopt;
  const auto call = former_;
  DropFormer();
  if (!list) return;
  SayTold(*call, *list);
  Tell(std::move(*list));
}

void Discovery::DropFormer() {
  if (former_) former_->timer.cancel();
  former_.reset();
  Close(former_socket_);
}

void Discovery::SayTold(const Call& call, const EndpointList& list) {
  Say(call,
      "revision " + std::to_string(list.revision) + ", " + std::to_string(list.endpoints.size()) +
          (list.complete ? " hosts, the whole list" : " hosts changed"),
      false);
}

// One line on a call, at most two a second.
void Discovery::Say(const Call& call, const std::string& what, bool failed) {
  if (Now() < quiet_until_) return;
  quiet_until_ = Now() + kQuiet;
  const Millis took = std::round(Now() - call.begun);
  base::Log(failed ? base::Level::kWarning : base::Level::kInfo, "discovery", failed ? "call_failed" : "told",
            "discovery: " + what + ", after " + std::to_string(static_cast<int>(took)) + " ms",
            {{"ms", took}});
}

void Discovery::Fail(const std::shared_ptr<Call>& call, const std::string& why) {
  if (call != call_) return;
  Say(*call, "call failed: " + why, true);
  Drop();
  if (addresses_.size() > 1) return MoveOn(call->begun);
  watching_ = false;
  handlers_.failed(Now() - call->begun);
}

// Each service is tried once, at once but not by all gateways in the same moment; then the policy says when.
void Discovery::MoveOn(Millis begun) {
  const std::size_t failed = std::exchange(at_, (at_ + 1) % addresses_.size());
  if (failed == 0) {
    left_first_at_ = Now();
    // It failed soon after the return: the next one comes later.
    if (back_at_ > 0 && Now() - back_at_ < return_after_)
      return_after_ = std::min(2 * return_after_, kLongestAway);
  }
  if (++failed_in_row_ % addresses_.size() == 0) {
    watching_ = false;
    return handlers_.failed(Now() - begun);
  }
  pause_.expires_after(Span(std::uniform_real_distribution<double>(0, kMoveWithin)(random_)));
  pause_.async_wait([this](error_code ec) {
    if (!ec && !call_) Ask();
  });
}

void Discovery::SwitchTo(std::size_t service, const std::string& why) {
  base::Log(base::Level::kInfo, "discovery", "switched",
            "discovery: to service " + std::to_string(service) + " of " + std::to_string(addresses_.size()) +
                ": " + why);
  if (at_ == 0) left_first_at_ = Now();
  if (service == 0) back_at_ = Now();
  Drop();
  pause_.cancel();
  at_ = service;
  watching_ = true;
  Ask();
}

void Discovery::LookLater() {
  look_.expires_after(
      Span(several_.look_every * std::uniform_real_distribution<double>(0.75, 1.25)(random_)));
  look_.async_wait([this](error_code ec) {
    if (ec) return;
    const bool back = at_ != 0 && Now() - left_first_at_ >= return_after_;
    looked_at_ = (looked_at_ + 1) % addresses_.size();
    if (looked_at_ == at_) looked_at_ = (looked_at_ + 1) % addresses_.size();
    LookAt(back ? 0 : looked_at_);
    LookLater();
  });
}

// One call that waits for nothing, on a connection of its own; it tells nothing to anyone else.
void Discovery::LookAt(std::size_t service) {
  const auto call = std::make_shared<Call>(io_, addresses_[service]);
  const auto socket = std::make_shared<tcp::socket>(io_);
  call->timer.expires_after(Span(kDial));
  call->timer.async_wait([socket](error_code ec) {
    error_code ignored;
    if (!ec) socket->close(ignored);
  });
  call->request.target(Target(0));
  call->request.keep_alive(false);
  socket->async_connect(addresses_[service], [this, call, socket, service](error_code ec) {
    if (ec) return call->timer.cancel(), void();
    Exchange(socket, call, [this, call, service](const std::string& why) {
      call->timer.cancel();
      if (!why.empty() || call->parser.get().result() != http::status::ok) return;
      if (const auto list = ParseEndpointList(call->parser.get().body())) Looked(service, *list);
    });
  });
}

void Discovery::Looked(std::size_t service, const EndpointList& list) {
  if (list.epoch != epoch_ || service == at_) return;
  if (service == 0 && Now() - left_first_at_ >= return_after_ && list.revision >= revision_) {
    return SwitchTo(0, "it answers again");
  }
  if (list.revision <= revision_ || std::exchange(news_due_, true)) return;
  news_.expires_after(Span(several_.news_within));
  news_.async_wait([this, service, newest = list.revision](error_code ec) {
    news_due_ = false;
    if (!ec && service != at_ && revision_ < newest)
      SwitchTo(service, "it has news that this one does not get");
  });
}

// Ends the call that is on, and the connection.
void Discovery::Drop() {
  if (call_) call_->timer.cancel();
  call_.reset();
  Close(socket_);
}

void Discovery::Close(std::shared_ptr<tcp::socket>& socket) {
  if (!socket) return;
  error_code ignored;
  socket->close(ignored);
  socket.reset();
}

void Discovery::Move(const tcp::endpoint& address) {
  KeepFormer();
  pause_.cancel();
  addresses_[at_ = 0] = address;
  moved_ = watching_ = true;
  Ask();
}

}  // namespace gateway::proxy
