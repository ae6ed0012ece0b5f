#include "proxy/upstream/upstream_pool.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <cstdio>
#include <optional>
#include <string_view>
#include <utility>

#include "base/log.hpp"
#include "proxy/clock.hpp"

namespace gateway::proxy {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr Millis kStill = 30000;     // an answer that has begun must go on by then
constexpr Millis kHostStill = 5000;  // a host must have taken in a piece of a request by then
constexpr Millis kHoldUnsized = 50;  // an answer of no stated length is held for so long
constexpr char kLineEnd[] = "\r\n";
constexpr Millis kQuiet = 500;          // between two lines on resets
constexpr double kIdleShare = 1.0 / 3;  // part of the hosts' idle limit after which a connection is closed

std::string ChunkHead(std::size_t size) {
  char text[24];
  std::snprintf(text, sizeof text, "%zx\r\n", size);
  return text;
}

// Only 503 and 504 with Srv-Declined prove that a request never ran.
policy::AttemptResult ToResult(const HttpResponse& response) {
  const http::status status = response.result();
  if (status == http::status::ok) return policy::AttemptResult::kServed;
  const bool declines =
      status == http::status::service_unavailable || status == http::status::gateway_timeout;
  return declines && response["Srv-Declined"] == "1" ? policy::AttemptResult::kRejected
                                                     : policy::AttemptResult::kError;
}

}  // namespace

// A connection, from its dial to its close. A read is always on, so that a close by the host is noticed while
// the connection stands idle. Of an answer that is too long to be held it is the source.
class UpstreamPool::Connection : public BodySource, public std::enable_shared_from_this<Connection> {
 public:
  struct Job {
    std::uint64_t attempt;
    Order order;
  };

  Connection(UpstreamPool& pool, std::string host, tcp::endpoint address)
      : pool_(pool), host_(std::move(host)), address_(address), socket_(pool.io_), timer_(pool.io_) {}

  // False if no descriptor is to be had.
  bool Open() {
    error_code ec;
    socket_.open(address_.protocol(), ec);
    if (ec) return false;
    socket_.set_option(tcp::no_delay(true), ec);
    ++pool_.connections_;
    open_ = true;
    return true;
  }

  void Dial(Job job) {
    Take(std::move(job));
    dialling_ = true;
    Arm(std::min(job_->order.deadline, Now() + pool_.limits_.dial_timeout));
    socket_.async_connect(address_, [self = shared_from_this()](error_code ec) {
      if (self->open_) self->Dialled(ec);
    });
  }

  void Run(Job job) {
    Take(std::move(job));
    Arm(job_->order.deadline);
    Write();
  }

  void SetDeadline(Millis deadline) {
    job_->order.deadline = deadline;
    if (!passing_) Arm(deadline);
  }

  // Whether the host has neither closed an idle connection nor sent anything on it. The pending read may not
  // have been told yet, so the socket itself is asked.
  bool Fresh() {
    char byte = 0;
    return open_ && ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  bool dialling() const { return dialling_; }

  // Ends the job, if there is one, and the connection with it.
  void End(policy::AttemptResult result) {
    Close();
    Finish(result, {});
  }

  void Close() {
    if (!std::exchange(open_, false)) return;
    --pool_.connections_;
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

  // The answer's next piece.
  void ReadNext(PieceHandler taken) override {
    taken_ = std::move(taken);
    if (!job_ || !passing_) return Break();
    Arm(Now() + kStill);
    ReadPiece();
  }
  void Cancel() override {
    if (job_ && passing_) End(policy::AttemptResult::kCancelled);
  }
  bool started() const override { return passing_; }

 private:
  void Take(Job job) {
    job_ = std::move(job);
    written_ = broken_ = passing_ = last_ = false;
    ++uses_;
    taken_at_ = Now();
    pool_.active_[job_->attempt] = shared_from_this();
  }

  void Finish(policy::AttemptResult result, HttpResponse response) {
    if (!job_) return;
    const Job job = *std::exchange(job_, std::nullopt);
    pool_.active_.erase(job.attempt);
    Hold(0);
    if (passing_ && taken_) Break();
    passing_ = false;
    job.order.done(result, std::move(response));
  }

  // Whoever waits for a piece gets none.
  void Break() {
    asio::post(pool_.io_, [self = shared_from_this(), taken = std::exchange(taken_, nullptr)] {
      taken(asio::error::connection_reset, {}, false);
    });
  }

  // Counts what is held of an answer that is not whole.
  void Hold(std::size_t bytes) { pool_.held_ = pool_.held_ - std::exchange(held_, bytes) + bytes; }

  void Arm(Millis until) {
    due_ = until;
    timer_.expires_after(Span(until - Now()));
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec && self->open_) self->TimeUp();
    });
  }

  void TimeUp() {
    if (Now() < due_ - 1) return;  // set anew when this wait was already due
    if (!job_) {
      pool_.Forget(host_, this);
      return Close();
    }
    End(written_ ? policy::AttemptResult::kTimedOut : policy::AttemptResult::kConnectFailed);
  }

  void Dialled(error_code ec) {
    dialling_ = false;
    if (ec) return End(policy::AttemptResult::kConnectFailed);
    // The dial took time: the host may have begun to drain, or may have moved, and the client may have left.
    const auto wanted = job_->order.wanted;  // the job may end while it is asked
    if (!pool_.MayUse(host_, address_) || (wanted && !wanted())) return End(policy::AttemptResult::kNotSent);
    Arm(job_->order.deadline);
    Read();
    Write();
  }

  void Write() {
    const Order& order = job_->order;
    outgoing_ = {};
    outgoing_.base() = order.request->base();
    StripHopByHop(outgoing_);
    outgoing_.version(11);
    outgoing_.keep_alive(true);
    if (order.rest) return WriteHeld();
    outgoing_.body() = order.request->body();
    outgoing_.prepare_payload();
    outgoing_.set("Req-Deadline", std::to_string(std::max<std::int64_t>(1, Left())) + "m");
    http::async_write(socket_, outgoing_,
                      [self = shared_from_this(), attempt = job_->attempt](error_code ec, std::size_t) {
                        if (self->job_ && self->job_->attempt == attempt) self->Written(ec);
                      });
  }

  // A request that is not whole yet: its time begins with its last byte, so that it states what the client
  // does.
  void WriteHeld() {
    const auto held = job_->order.request;
    const bool sized = outgoing_.has_content_length();
    if (!sized) outgoing_.chunked(true);
    Arm(std::min(job_->order.deadline, Now() + kHostStill));
    const auto head = std::make_shared<std::string>(SerializeHead(outgoing_));
    if (!sized && !held->body().empty()) *head += ChunkHead(held->body().size());
    const std::array<asio::const_buffer, 3> parts = {
        asio::buffer(*head), asio::buffer(held->body()),
        asio::buffer(kLineEnd, sized || held->body().empty() ? 0 : 2)};
    asio::async_write(
        socket_, parts,
        [self = shared_from_this(), attempt = job_->attempt, head, held](error_code ec, std::size_t) {
          if (!self->job_ || self->job_->attempt != attempt) return;
          if (ec) return self->End(policy::AttemptResult::kConnectFailed);
          self->job_->order.request.reset();
          if (self->job_->order.passing) self->job_->order.passing();
          self->Pull();
        });
  }

  void Pull() {
    Arm(job_->order.deadline);  // the client is watched by who reads from it
    job_->order.rest->ReadNext([self = shared_from_this(), attempt = job_->attempt](
                               const error_code& ec, std::string_view piece, bool last) {
      if (!self->job_ || self->job_->attempt != attempt || !self->open_) return;
      if (ec) return self->End(policy::AttemptResult::kCancelled);  // the client has not sent it all
      self->WritePiece(piece, last);
    });
  }

  void WritePiece(std::string_view piece, bool last) {
    last_ = last;
    Arm(std::min(job_->order.deadline, Now() + kHostStill));
    const bool chunked = !outgoing_.has_content_length();
    const auto frame = std::make_shared<std::string>();
    if (chunked && !piece.empty()) *frame = ChunkHead(piece.size());
    const std::string_view end = !chunked        ? ""
                                 : piece.empty() ? "0\r\n\r\n"
                                 : last          ? "\r\n0\r\n\r\n"
                                                 : "\r\n";
    if (last) {
      *frame += piece;
      piece = {};
    }
    const std::array<asio::const_buffer, 3> parts = {
        asio::buffer(*frame), asio::buffer(piece.data(), piece.size()),
        asio::buffer(end.data(), piece.empty() && !last ? 0 : end.size())};
    asio::async_write(
        socket_, parts,
        [self = shared_from_this(), attempt = job_->attempt, frame](error_code ec, std::size_t) {
          if (!self->job_ || self->job_->attempt != attempt) return;
          self->last_ || ec ? self->Written(ec) : self->Pull();
        });
  }

  std::int64_t Left() const { return static_cast<std::int64_t>(job_->order.deadline - Now()); }

  void Written(error_code ec) {
    if (ec) return End(policy::AttemptResult::kConnectFailed);  // its last byte never left: it can't have run
    written_ = true;
    if (job_->order.rest) Arm(job_->order.deadline);
    if (job_->order.written) job_->order.written();
    if (broken_) Broken(asio::error::connection_reset);
  }

  // An answer that never came whole. What broke it is logged, for the outcome alone does not tell.
  void Broken(error_code ec) {
    ++(uses_ > 1 ? pool_.counts_.reset_reused : pool_.counts_.reset_new);
    if (Now() >= pool_.quiet_until_) {
      pool_.quiet_until_ = Now() + kQuiet;
      const auto kind = outgoing_["Req-Kind"];
      const Millis rested = uses_ > 1 ? taken_at_ - rests_at_ : 0.0, after = Now() - taken_at_;
      char how[160];
      std::snprintf(
          how, sizeof how,
          ", %.*s with %zu bytes of body, use %d of the connection, rested %.1f ms, broke after %.1f ms",
          static_cast<int>(std::min<std::size_t>(kind.size(), 40)), kind.data(), outgoing_.body().size(),
          uses_, rested, after);
      base::Log(base::Level::kWarning, "hosts", "reset", "reset by " + host_ + ": " + ec.message() + how,
                {{"host", host_},
                 {"class", std::string_view(kind.data(), kind.size())},
                 {"use", uses_},
                 {"rested_ms", rested},
                 {"after_ms", after}});
    }
    End(policy::AttemptResult::kReset);
  }

  void Read() {
    parser_.emplace();
    parser_->body_limit(kMaxBodyBytes);
    parser_->header_limit(kMaxHeaderBytes);
    // The head first: where Boost 1.74 reads head and body in one go, it lets a Content-Length over the limit
    // pass, and reads on.
    http::async_read_header(socket_, buffer_, *parser_,
                            [self = shared_from_this()](error_code ec, std::size_t) {
                              if (self->open_) self->GotHead(ec);
                            });
  }

  void GotHead(error_code ec) {
    if (!job_) {  // closed, or spoken on unasked, while idle
      pool_.Forget(host_, this);
      return Close();
    }
    const auto& head = parser_->get();
    // "100 Continue" and its like only announce the answer. A switch of protocols was never asked for.
    if (!ec && head.result_int() / 100 == 1 && head.result() != http::status::switching_protocols) {
      return Read();
    }
    if (!written_) return TooEarly(ec);
    if (!ec && parser_->content_length().value_or(0) > kMaxBodyBytes) ec = http::error::body_limit;
    if (ec) return Broken(ec);
    head_at_ = Now();
    answer_ = {};
    answer_.base() = head.base();
    const bool served = head.result() == http::status::ok;
    if (served && parser_->content_length().value_or(0) > kMaxBufferedBodyBytes) return Pass();
    ReadPiece();
  }

  // The host spoke, or ended the connection, before it had the whole request. Where all of that is held,
  // whether it may have run depends on how the write ends.
  void TooEarly(error_code ec) {
    if (!job_->order.rest || last_) {
      broken_ = true;
      return;
    }
    if (ec) return End(policy::AttemptResult::kConnectFailed);
    HttpResponse answer;
    answer.base() = parser_->get().base();
    const policy::AttemptResult result = ToResult(answer);
    End(result == policy::AttemptResult::kServed ? policy::AttemptResult::kError
                                                 : result);  // it can't be the answer to all of it
  }

  void ReadPiece() {
    if (parser_->is_done()) return GotPiece({}, 0);
    piece_.resize(kBodyPieceBytes);
    buffer_.reserve(passing_ ? kBodyPieceBytes : kBodyPieceBytes / 4);  // else it reads half a KiB at a time
    auto& body = parser_->get().body();
    body.data = piece_.data();
    body.size = piece_.size();
    http::async_read_some(socket_, buffer_, *parser_,
                          [self = shared_from_this(), attempt = job_->attempt](error_code ec, std::size_t) {
                            if (!self->open_ || !self->job_ || self->job_->attempt != attempt) return;
                            if (ec == http::error::need_buffer) ec = {};
                            self->GotPiece(ec, kBodyPieceBytes - self->parser_->get().body().size);
                          });
  }

  void GotPiece(error_code ec, std::size_t got) {
    if (ec) return Broken(ec);
    const bool last = parser_->is_done();
    if (passing_) return Give(got, last);
    answer_.body().append(piece_.data(), got);
    if (last) return Answered();
    Hold(answer_.body().size());
    // An answer of no stated length may turn out a long one, whose first bytes count.
    const bool long_one = answer_.body().size() > kMaxBufferedBodyBytes || pool_.held_ > pool_.limits_.held ||
                          (!parser_->content_length() && Now() - head_at_ > kHoldUnsized);
    if (!long_one) return ReadPiece();
    if (answer_.result() == http::status::ok) return Pass();
    End(ToResult(answer_));  // an error is told by its head
  }

  // The answer goes out as it comes from here on, and to its end.
  void Pass() {
    passing_ = true;
    Hold(0);
    Arm(Now() + kStill);
    const auto begun = job_->order.begun;
    begun(std::exchange(answer_, {}), shared_from_this());
  }

  void Give(std::size_t got, bool last) {
    if (got == 0 && !last) return ReadPiece();
    const auto taken = std::exchange(taken_, nullptr);
    if (!last) {
      Arm(Now() + kStill);
      return asio::post(pool_.io_, [self = shared_from_this(), taken, got] {
        taken({}, {self->piece_.data(), got}, false);
      });
    }
    // Posted before the outcome is told, with the piece its own: the connection may be used again by then.
    asio::post(pool_.io_,
               [piece = std::make_shared<std::vector<char>>(std::exchange(piece_, {})), taken, got] {
                 taken({}, {piece->data(), got}, true);
               });
    Reuse();
    Finish(policy::AttemptResult::kServed, {});
  }

  void Answered() {
    HttpResponse response = std::exchange(answer_, {});
    // Back to the pool before the outcome is told, for it may lead to the next send.
    Reuse();
    const policy::AttemptResult result = ToResult(response);
    if (result == policy::AttemptResult::kError && Now() >= pool_.quiet_until_) {
      pool_.quiet_until_ = Now() + kQuiet;
      base::Log(base::Level::kWarning, "hosts", "error_answer",
                "answer " + std::to_string(response.result_int()) + " by " + host_,
                {{"host", host_}, {"status", response.result_int()}});
    }
    Finish(result, std::move(response));
  }

  void Reuse() {
    if (parser_->keep_alive() && buffer_.size() == 0 && pool_.MayUse(host_, address_)) {
      Rest();
    } else {
      Close();
    }
  }

  void Rest() {
    rests_at_ = Now();
    outgoing_ = {};  // here its write has ended, unlike where an attempt is given up
    piece_ = {};
    buffer_.shrink_to_fit();
    Read();
    Arm(Now() + pool_.limits_.idle_timeout * kIdleShare);
    pool_.hosts_[host_].idle.push_back(shared_from_this());
  }

  UpstreamPool& pool_;
  const std::string host_;
  const tcp::endpoint address_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  Millis due_ = 0;
  boost::beast::flat_buffer buffer_{2 * kMaxHeaderBytes};  // unparsed bytes: a header, or the head of a chunk
  std::optional<http::response_parser<http::buffer_body>> parser_;
  std::vector<char> piece_;
  HttpResponse answer_;  // as far as it is held
  PieceHandler taken_;          // who waits for a piece of it
  Millis head_at_ = 0;
  std::size_t held_ = 0;
  HttpRequest outgoing_;
  std::optional<Job> job_;
  bool open_ = false;
  bool dialling_ = false;
  bool written_ = false;  // all of the request
  bool broken_ = false;   // before it was known to be written
  bool last_ = false;     // the last piece of the request is being written
  bool passing_ = false;  // the answer goes out as it comes
  int uses_ = 0;          // requests it was given
  Millis taken_at_ = 0, rests_at_ = 0;
};

UpstreamPool::UpstreamPool(asio::io_context& io, Limits limits) : io_(io), limits_(limits) {}

void UpstreamPool::Update(const EndpointList& list) {
  if (list.complete) {
    for (auto& [id, host] : hosts_) host.up = false;
  }
  for (const ListedEndpoint& entry : list.endpoints) UpdateHost(entry);
  if (!list.complete) return;
  for (auto& [id, host] : hosts_) {
    if (!host.up) CloseIdle(host);
  }
  std::erase_if(hosts_, [](const auto& entry) { return !entry.second.up; });
}

// The cost of a change does not grow with the list: a host that is not up any more is removed at once.
void UpstreamPool::UpdateHost(const ListedEndpoint& entry) {
  const auto found = hosts_.try_emplace(entry.info.id).first;
  HostState& host = found->second;
  host.up = entry.info.state == policy::EndpointState::kUp;
  if (!host.up || host.address != entry.address) CloseIdle(host);
  host.address = entry.address;
  if (!host.up) hosts_.erase(found);
}

std::uint64_t UpstreamPool::Start(const std::string& host, Order order) {
  const std::uint64_t attempt = next_attempt_++;
  const auto found = hosts_.find(host);
  if (found == hosts_.end() || Now() >= order.deadline) {
    ++counts_.unusable;
    order.done(policy::AttemptResult::kNotSent, {});
    return attempt;
  }
  Connection::Job job{attempt, std::move(order)};
  auto& idle = found->second.idle;
  while (!idle.empty()) {
    const auto connection = std::move(idle.back());
    idle.pop_back();
    if (connection->Fresh()) {
      ++counts_.reused;
      connection->Run(std::move(job));
      return attempt;
    }
    ++counts_.stale;
    connection->Close();
  }
  if (connections_ >= limits_.connections && !EvictIdle()) {
    ++counts_.unusable;
    job.order.done(policy::AttemptResult::kNotSent, {});
    return attempt;
  }
  const auto connection = std::make_shared<Connection>(*this, host, found->second.address);
  if (connection->Open()) {
    ++counts_.dialled;
    connection->Dial(std::move(job));
  } else {
    ++counts_.unusable;
    job.order.done(policy::AttemptResult::kNotSent, {});
  }
  return attempt;
}

void UpstreamPool::SetDeadline(std::uint64_t attempt, Millis deadline) {
  const auto found = active_.find(attempt);
  if (found != active_.end()) found->second->SetDeadline(deadline);
}

void UpstreamPool::Withdraw(std::uint64_t attempt) {
  const auto found = active_.find(attempt);
  if (found == active_.end() || !found->second->dialling()) return;
  const auto connection = found->second;  // End takes it out of the map
  connection->End(policy::AttemptResult::kNotSent);
}

void UpstreamPool::Cancel(std::uint64_t attempt) {
  const auto found = active_.find(attempt);
  if (found == active_.end()) return;
  const auto connection = found->second;  // End takes it out of the map
  connection->End(policy::AttemptResult::kCancelled);
}

void UpstreamPool::CloseIdle(HostState& host) {
  for (const auto& connection : std::exchange(host.idle, {})) connection->Close();
}

// Makes room by closing the connection of another host that was used longest ago there.
bool UpstreamPool::EvictIdle() {
  for (auto& [id, host] : hosts_) {
    if (host.idle.empty()) continue;
    host.idle.front()->Close();
    host.idle.erase(host.idle.begin());
    return true;
  }
  return false;
}

void UpstreamPool::SetMost(std::size_t connections) {
  limits_.connections = connections;
  while (connections_ > connections && EvictIdle()) continue;
}

bool UpstreamPool::MayUse(const std::string& host, const tcp::endpoint& address) const {
  const auto found = hosts_.find(host);
  return found != hosts_.end() && found->second.address == address;
}

void UpstreamPool::Forget(const std::string& host, const Connection* connection) {
  const auto found = hosts_.find(host);
  if (found == hosts_.end()) return;
  std::erase_if(found->second.idle, [&](const auto& other) { return other.get() == connection; });
}

}  // namespace gateway::proxy
