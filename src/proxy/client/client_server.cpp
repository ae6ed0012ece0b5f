#include "proxy/client/client_server.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "proxy/clock.hpp"
#include "proxy/listen.hpp"

namespace gateway::proxy {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr Millis kSweepEvery = 500;
constexpr Millis kIdle = 75000;         // a connection without a request is closed
constexpr Millis kFirst = 2000;         // the first request of a connection must have begun by then
constexpr Millis kPartial = 2700;       // a head that was begun must be whole by then
constexpr Millis kStill = 2000;         // a body that is waited for must go on by then
constexpr Millis kBodyGrace = 700;      // beyond what a body may take at the least rate
constexpr double kBodyRate = 32;        // bytes/ms: half of what slow clients send
constexpr Millis kUnread = 10000;       // a piece of an answer must have been taken in by then
constexpr Millis kLinger = 1000;        // a client that was told of the close gets this to close first
constexpr Millis kMostLinger = 6000;    // the same for one that goes on sending meanwhile
constexpr Millis kShedAfter = 500;      // into a drain: the front has stopped by then
constexpr Millis kShedRest = 300;       // a connection that is no older may have a request on its way
constexpr Millis kShedPartial = 1700;   // into a drain: what was begun and is not whole by then is refused
constexpr Millis kRoomAgain = 20;       // from one look for a place to the next
constexpr Millis kLeastRest = 50;       // what a connection gets to send in, however many wait for its place
constexpr Millis kLeastPartial = 1000;  // of silence in a request before it gives way to others
constexpr Millis kTurnAwayAfter = 300;  // with no place for anyone: whoever waits then is told so
constexpr std::size_t kMostTurnedAway = 8;  // at a time, in places beyond those of clients
constexpr Millis kComeBackAfter = 500;      // what they are told, where clients heed it
constexpr Millis kAcceptAgain = 50;         // after an accept that failed, out of descriptors perhaps
constexpr Millis kMostAllowed = 600000;     // longer deadlines are cut to this: timers must not overflow
constexpr std::size_t kMostBuffer = 2 * kMostHeader;  // unparsed bytes: a header, or the head of a chunk
constexpr std::size_t kAhead = 4096;  // read at once of what follows a request that is under way
constexpr std::size_t kMostId = 256;

std::string Field(const HttpRequest& http, const char* name) {
  const auto value = http[name];
  return {value.data(), value.size()};
}

// "480m" or "480000u": milliseconds.
std::optional<Millis> ParseDeadline(std::string_view text) {
  if (text.size() < 2) return std::nullopt;
  const double unit = text.back() == 'm' ? 1 : text.back() == 'u' ? 0.001 : 0;
  double value = 0;
  const char* const last = text.data() + text.size() - 1;
  const auto [end, error] = std::from_chars(text.data(), last, value, std::chars_format::fixed);
  if (unit == 0 || error != std::errc() || end != last) return std::nullopt;
  if (!std::isfinite(value) || value < 0) return std::nullopt;
  return std::min(value * unit, kMostAllowed);
}

// A message that breaks HTTP, as opposed to a connection that ended.
bool IsMalformed(error_code ec) {
  return ec.category() == http::make_error_code(http::error::bad_version).category() &&
         ec != http::error::end_of_stream && ec != http::error::partial_message;
}

}  // namespace

struct ClientServer::Fault {
  http::status status;
  std::string text;
};

// One connection of a client. Between requests it only waits: nothing that comes is read before it is taken
// up, so such a connection can be closed or given away knowing what it holds. While a request is under way it
// reads ahead, to see the client leave; what comes before the answer is kept until its turn.
// Of a request's body that is too long to be held it is the source.
class ClientServer::Session : public BodySource, public std::enable_shared_from_this<Session> {
 public:
  Session(ClientServer& server, tcp::socket socket, bool adopted)
      : server_(server), socket_(std::move(socket)), turn_(adopted ? 1 : 0) {}

  // `waited`: to be accepted, at the longest.
  void Begin(Millis waited) {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    if (waited > 0 && socket_.available(ignored) > 0) first_waited_ = waited;
    Read();
  }

  // There is no place for it, whatever it asks.
  void TurnAway() {
    turned_away_ = true;
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    Refuse({http::status::service_unavailable, "no place is free"}, server_.come_back_after_);
  }

  // Between requests, with nothing unread: may be closed without losing anything that was taken.
  bool Idle() {
    error_code ec;
    return Resting() && socket_.available(ec) == 0;
  }
  // The same, and long enough since the last answer, or the connection, that no request should be on its way,
  // and no answer that a close over such a request would take along.
  bool Rested(Millis now) { return now - since_ > kShedRest && Idle(); }
  // Some of a request has come, and no more of it is there.
  bool Unfinished() {
    error_code ec;
    return phase_ == Phase::kReading && reading_ && socket_.available(ec) == 0;
  }
  // Its place comes free soon, whatever hosts do: it may be closed for another, or is closing.
  bool Yields() const { return phase_ == Phase::kReading || (phase_ == Phase::kLingering && !turned_away_); }
  // Since when nothing of it has come, as far as that was seen.
  Millis quiet_since() const { return std::max(since_, in_body_ ? asked_at_ : quiet_since_); }
  Millis since() const { return since_; }

  void Close() {
    const Phase was = std::exchange(phase_, Phase::kClosed);
    if (was == Phase::kClosed) return;
    End(/*told=*/was == Phase::kWriting, /*whole=*/false);
    error_code ignored;
    socket_.close(ignored);
    server_.Closed(shared_from_this());
    Charge(0);
    if (rest_) std::exchange(rest_, nullptr)->Drop();
    if (taken_) Break();
  }

  // Gives the connection to another process, with what it holds unread. False if it has to stay for now.
  bool GiveAway() {
    if (!Resting()) return false;
    phase_ = Phase::kClosed;
    error_code ec;
    base::FileDescriptor client(socket_.release(ec));
    if (!ec) server_.give_(std::move(client));
    server_.Closed(shared_from_this());
    return true;
  }

  // Ends what has stood still for too long.
  void Sweep(Millis now) {
    const Millis age = now - since_;
    if (phase_ == Phase::kReading) {
      // A first request is as old as its connection: both together must end within 3 s. A later one may
      // begin after a long rest, and counts from when it was first seen.
      const bool begun = !Resting();
      if (!begun && turn_ > 0) begun_at_ = now;
      if (std::exchange(seen_, buffer_.size()) != buffer_.size()) quiet_since_ = now;
      if (begun && (in_body_ ? BodyStands(now) : now - begun_at_ > kPartial)) return Late();
      if (server_.drains_since_) {
        const Millis drained = now - *server_.drains_since_;
        if (begun && drained > kShedPartial) {
          return Refuse({http::status::service_unavailable, "this gateway drains"});
        }
        if (drained > kShedAfter && Rested(now)) return Close();
      }
      if (age > (turn_ == 0 ? kFirst : kIdle) && Idle()) Close();
    } else if (phase_ == Phase::kWaiting) {
      if (in_body_ && asked_ && BodyStands(now)) return Late();
      if (!in_body_ && !watched_ && Left()) Gone();
    } else if ((phase_ == Phase::kWriting && writing_ && age > kUnread) ||
               (phase_ == Phase::kLingering && (age > kLinger || now - begun_at_ > kMostLinger))) {
      Close();
    }
  }

  // The body's next piece.
  void Next(Taken taken) override {
    taken_ = std::move(taken);
    begun_ = true;
    Charge(0);
    if (phase_ != Phase::kWaiting) return Break();
    ReadPiece();
  }
  void Drop() override {}  // the answer ends the connection
  bool begun() const override { return begun_; }

 private:
  enum class Phase { kReading, kWaiting, kWriting, kLingering, kClosed };

  void Enter(Phase phase) {
    phase_ = phase;
    since_ = begun_at_ = Now();
  }

  // Whether the client is too slow with the body. Only the time counts that it was waited for.
  bool BodyStands(Millis now) const {
    if (!asked_) return false;
    const Millis waited = waited_ + now - asked_at_;
    const double got = static_cast<double>(body_got_);
    // What a first request's head has left of its 3 s is the body's too.
    const Millis grace = std::max(kBodyGrace, kPartial - (body_at_ - begun_at_));
    return now - asked_at_ > kStill || waited > grace + got / kBodyRate;
  }

  void Late() {
    Abandon();
    Refuse({http::status::request_timeout, "the request is not whole"});
  }

  // The request that was passed on before it was whole will never be.
  void Abandon() {
    if (phase_ != Phase::kWaiting) return;
    Enter(Phase::kWriting);
    server_.handlers_.gone(id_);
    End(/*told=*/false, /*whole=*/false);
    if (taken_) Break();
  }

  // Whoever waits for a piece gets none.
  void Break() {
    asio::post(server_.io_, [self = shared_from_this(), taken = std::exchange(taken_, nullptr)] {
      taken(asio::error::connection_reset, {}, false);
    });
  }

  // Counts what is held of bodies.
  void Charge(std::size_t bytes) { server_.held_ = server_.held_ - std::exchange(charged_, bytes) + bytes; }

  // Between requests: nothing of the next one has been read.
  bool Resting() const { return phase_ == Phase::kReading && !reading_; }

  // Begins the next request: at once if some of it came along with the last one, else when it comes.
  void Read() {
    reading_ = buffer_.size() > 0;
    if (reading_) return ReadRequest();
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this(), wait = ++wait_](error_code ec) {
      if (self->phase_ != Phase::kReading || self->wait_ != wait) return;
      if (ec) return self->Close();
      self->reading_ = true;
      self->ReadRequest();
    });
  }

  void ReadRequest() {
    parser_.emplace();
    parser_->body_limit(kMostBody);
    parser_->header_limit(kMostHeader);
    in_body_ = begun_ = false;
    quiet_since_ = Now();
    http::async_read_header(socket_, buffer_, *parser_,
                            [self = shared_from_this()](error_code ec, std::size_t) {
                              if (self->phase_ == Phase::kReading) self->GotHead(ec);
                            });
  }

  void GotHead(error_code ec) {
    if (ec) return Malformed(ec);
    http_ = {};
    http_.base() = parser_->get().base();
    keep_alive_ = parser_->keep_alive();
    version_ = http_.version();
    request_ = {};
    const auto fault = server_.CheckFraming(http_, parser_->chunked(), parser_->content_length().value_or(0));
    if (fault) return Refuse(*fault);
    const std::string_view target(http_.target().data(), http_.target().size());
    const bool up = target == "/up" && http_.method() == http::verb::get;
    if (!up) {
      if (const auto wrong = server_.Check(http_, request_)) {
        // With no body the connection has a place to go on from.
        if (!parser_->is_done()) return Refuse(*wrong);
        Enter(Phase::kWaiting);
        return Explain(*wrong);
      }
    }
    in_body_ = true;
    body_at_ = Now();
    body_got_ = 0;
    waited_ = 0;
    if (!parser_->is_done() && http_.count(http::field::expect) > 0 && version_ >= 11) return Continue();
    ReadPiece();
  }

  // The client waits for a word before it sends the body.
  void Continue() {
    static constexpr std::string_view kWord = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(socket_, asio::buffer(kWord), [self = shared_from_this()](error_code ec, std::size_t) {
      if (self->phase_ != Phase::kReading) return;
      ec ? self->Close() : self->ReadPiece();
    });
  }

  // Reads on in the body; what it gets is held, or goes to whoever asked for it.
  void ReadPiece() {
    if (parser_->is_done()) {
      // Never before this returns: what asked may not be ready for its answer.
      if (taken_) return asio::post(server_.io_, [self = shared_from_this()] { self->GotPiece({}, 0); });
      return GotPiece({}, 0);
    }
    asked_ = true;
    asked_at_ = Now();
    piece_.resize(kPiece);
    buffer_.reserve(std::max<std::size_t>(buffer_.size(), taken_ ? kPiece : kPiece / 4));
    auto& body = parser_->get().body();
    body.data = piece_.data();
    body.size = piece_.size();
    http::async_read_some(socket_, buffer_, *parser_,
                          [self = shared_from_this()](error_code ec, std::size_t) {
                            if (ec == http::error::need_buffer) ec = {};
                            self->GotPiece(ec, kPiece - self->parser_->get().body().size);
                          });
  }

  void GotPiece(error_code ec, std::size_t got) {
    if (phase_ != Phase::kReading && phase_ != Phase::kWaiting) return;
    if (asked_) waited_ += Now() - asked_at_;
    asked_ = false;
    body_got_ += got;
    if (ec) return Malformed(ec);
    const bool last = parser_->is_done();
    if (last) in_body_ = false;
    if (taken_) {
      if (got == 0 && !last) return ReadPiece();
      if (last) {
        ++server_.active_;
        counted_ = true;
        Watch();
        server_.handlers_.whole(id_, Now());
      }
      if (!taken_) return;  // it was ended by that
      return std::exchange(taken_, nullptr)({}, {piece_.data(), got}, last);
    }
    http_.body().append(piece_.data(), got);
    if (last) return Take();
    Charge(http_.body().size());
    const std::size_t most = server_.held_ > server_.most_held_ ? kPiece / 4 : kMostHeld;
    http_.body().size() > most ? Take() : ReadPiece();
  }

  void Malformed(error_code ec) {
    if (!IsMalformed(ec)) return Gone();
    Abandon();
    const bool large = ec == http::error::body_limit;
    const bool header = ec == http::error::header_limit;
    Refuse({large    ? http::status::payload_too_large
            : header ? http::status::request_header_fields_too_large
                     : http::status::bad_request,
            ec.message()});
  }

  // Sees the client leave while its request is under way, behind what it has sent on as well. Where that is
  // more than is kept the sweep goes on looking.
  void Watch() {
    watched_ = buffer_.size() < kMostBuffer;
    if (!watched_) return;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this(), wait = ++wait_](error_code ec) {
      if (self->phase_ != Phase::kWaiting || self->wait_ != wait) return;
      ec || self->Left() ? self->Gone() : self->Watch();
    });
  }

  // Asks the socket whether the client has left.
  bool Left() {
    if (phase_ != Phase::kWaiting) return phase_ == Phase::kClosed;
    const int fd = socket_.native_handle();
    const auto there = [](ssize_t got) {
      return got > 0 || (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR));
    };
    if (in_body_) {  // which is read by whoever asks for it
      char byte = 0;
      return !there(::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT));
    }
    while (const std::size_t room = std::min(kMostBuffer - buffer_.size(), kAhead)) {
      const auto got = ::recv(fd, buffer_.prepare(room).data(), room, MSG_DONTWAIT);
      if (got <= 0) return !there(got);
      buffer_.commit(static_cast<std::size_t>(got));
    }
    pollfd end{fd, POLLRDHUP, 0};
    return ::poll(&end, 1, 0) > 0;
  }

  // The client has left, or never sent its request whole.
  void Gone() {
    const bool waiting = phase_ == Phase::kWaiting;
    Close();  // its request is told off before the connection is forgotten
    if (waiting) server_.handlers_.gone(id_);
  }

  // For how long what has come of the request may have stood in the system's queues before it was read.
  Millis Unread() {
    const auto told = SinceLastReceived(socket_.native_handle());
    return told ? *told : turn_ == 0 ? first_waited_ : 0;
  }

  // The request is whole, or more of it than is held has come.
  void Take() {
    if (request_.id.empty()) {
      const bool ready = server_.handlers_.ready();
      Enter(Phase::kWaiting);
      return Answer(HttpResponse(ready ? http::status::ok : http::status::service_unavailable, 11), nullptr);
    }
    ClientRequest request = std::move(request_);
    request.http = std::exchange(http_, {});
    request.received = Now() - Unread();
    request.answer = [weak = weak_from_this(), turn = ++turn_](HttpResponse response,
                                                               std::shared_ptr<BodySource> rest) {
      const auto self = weak.lock();
      if (self && self->turn_ == turn && self->phase_ == Phase::kWaiting) {
        self->Answer(std::move(response), std::move(rest));
      } else if (rest) {
        rest->Drop();
      }
    };
    request.left = [weak = weak_from_this(), turn = turn_] {
      const auto self = weak.lock();
      if (!self || self->turn_ != turn) return true;
      if (!self->Left()) return false;
      asio::post(self->server_.io_, [self, turn] {
        if (self->turn_ == turn && self->phase_ == Phase::kWaiting) self->Gone();
      });
      return true;
    };
    id_ = request.id;
    class_name_ = request.class_name;
    open_request_ = true;
    const Millis begun = begun_at_;
    Enter(Phase::kWaiting);
    begun_at_ = begun;
    if (in_body_) {
      request.rest = shared_from_this();
    } else {
      ++server_.active_;
      counted_ = true;
      Watch();
    }
    server_.handlers_.taken(std::move(request));
  }

  // The request that was taken has its answer, or never will.
  void End(bool told, bool whole) {
    if (!std::exchange(open_request_, false)) return;
    if (std::exchange(counted_, false)) --server_.active_;
    if (told) server_.handlers_.ended(class_name_, response_.result_int(), whole);
  }

  // What can't be read on leaves the connection without a place to go on from.
  void Refuse(const Fault& fault, Millis retry_after = 0) {
    keep_alive_ = false;
    Explain(fault, retry_after);
  }

  void Explain(const Fault& fault, Millis retry_after = 0) {
    HttpResponse response(fault.status, 11);
    if (retry_after > 0) response.set(http::field::retry_after, Seconds(retry_after));
    response.set(http::field::content_type, "text/plain");
    if (fault.status == http::status::method_not_allowed) response.set(http::field::allow, "GET, POST");
    response.body() = fault.text + "\n";
    Answer(std::move(response), nullptr);
  }

  void Answer(HttpResponse response, std::shared_ptr<BodySource> rest) {
    Enter(Phase::kWriting);
    response_ = std::move(response);
    response_.version(version_);
    rest_ = std::move(rest);
    // In a drain, or with clients waiting for a place, the connection ends here: but not on a request that
    // has been taken in already. Nor does it go on behind a body that was not read to its end.
    error_code ec;
    const bool more = buffer_.size() > 0 || socket_.available(ec) > 0;
    keep_alive_ = keep_alive_ && !in_body_ && (more || !(server_.drains_since_ || server_.Full()));
    if (rest_) return AnswerInPieces();
    response_.keep_alive(keep_alive_);
    response_.prepare_payload();
    writing_ = true;
    http::async_write(socket_, response_, [self = shared_from_this()](error_code written, std::size_t) {
      if (self->phase_ == Phase::kWriting) self->Written(written);
    });
  }

  // The head and what there is of the body, then the rest as it comes.
  void AnswerInPieces() {
    chunked_ = !response_.has_content_length() && version_ >= 11;
    sized_ = response_.has_content_length() || chunked_;
    if (chunked_) response_.chunked(true);
    if (!sized_) keep_alive_ = false;  // its end is that of the connection
    response_.keep_alive(keep_alive_);
    frame_ = HeadText(response_);
    WritePiece(response_.body(), /*last=*/false);
  }

  void WritePiece(std::string_view piece, bool last) {
    since_ = Now();
    writing_ = true;
    std::string_view end;
    if (chunked_) {
      char size[24];
      std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
      if (!piece.empty()) frame_ += size;
      end = piece.empty() ? (last ? "0\r\n\r\n" : "") : last ? "\r\n0\r\n\r\n" : "\r\n";
    }
    if (last) {
      frame_ += piece;
      piece = {};
    }
    const std::array<asio::const_buffer, 3> parts = {
        asio::buffer(frame_), asio::buffer(piece.data(), piece.size()), asio::buffer(end.data(), end.size())};
    asio::async_write(socket_, parts, [self = shared_from_this(), last](error_code ec, std::size_t) {
      if (self->phase_ != Phase::kWriting) return;
      self->writing_ = false;
      self->frame_.clear();
      self->response_.body().clear();
      if (ec) return self->Close();
      last ? self->Written(ec) : self->Pull();
    });
  }

  void Pull() {
    rest_->Next([self = shared_from_this()](const error_code& ec, std::string_view piece, bool last) {
      if (self->phase_ != Phase::kWriting) return;
      ec ? self->BreakOff() : self->WritePiece(piece, last);
    });
  }

  // The client must be able to tell that the answer is not whole.
  void BreakOff() {
    error_code ignored;
    if (!sized_) socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    rest_.reset();
    Close();
  }

  void Written(error_code ec) {
    writing_ = false;
    rest_.reset();
    End(/*told=*/true, /*whole=*/!ec);
    response_ = {};  // a connection at rest holds no memory for bodies
    piece_ = {};
    http_ = {};
    Charge(0);
    if (ec) return Close();
    if (!keep_alive_) return Linger();
    Enter(Phase::kReading);
    reading_ = buffer_.size() > 0;
    if (!reading_) buffer_.shrink_to_fit();
    if (server_.give_ && GiveAway()) return;
    Read();  // where the listener has closed, the sweep ends it once the answer has had time to arrive
  }

  // Closing with bytes unread would reset the connection, and could take the answer from the client.
  void Linger() {
    Enter(Phase::kLingering);
    error_code ec;
    socket_.shutdown(tcp::socket::shutdown_send, ec);
    if (ec) return Close();
    Discard();
  }

  void Discard() {
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
      if (self->phase_ != Phase::kLingering) return;
      char sink[4096];
      if (!ec) self->socket_.non_blocking(true, ec);
      const std::size_t got = ec ? 0 : self->socket_.read_some(asio::buffer(sink), ec);
      if (got == 0 && ec != asio::error::would_block) return self->Close();
      self->discarded_ += got;
      if (self->discarded_ > kMostBody) return self->Close();
      self->since_ = Now();  // it still sends, and may not have seen its answer
      self->Discard();
    });
  }

  ClientServer& server_;
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_{kMostBuffer};
  std::optional<http::request_parser<http::buffer_body>> parser_;
  HttpRequest http_;       // what has been read of the request
  ClientRequest request_;  // the same, checked
  std::vector<char> piece_;
  Taken taken_;                       // who waits for a piece of the request
  std::shared_ptr<BodySource> rest_;  // of the answer
  std::string frame_;                 // goes out before the piece that is written
  std::size_t charged_ = 0;           // bytes held of a body, as counted
  std::uint64_t body_got_ = 0, discarded_ = 0;
  std::size_t seen_ = 0;  // unparsed bytes at the last sweep
  Millis quiet_since_ = 0;
  Millis body_at_ = 0, asked_at_ = 0, waited_ = 0;  // when the body began; the time that it was waited for
  bool in_body_ = false;                            // the head is read, the body not to its end
  bool asked_ = false;                              // the client is waited for
  bool begun_ = false;                              // some of the body was handed on
  bool counted_ = false;                            // as a request under way
  bool writing_ = false, chunked_ = false, sized_ = true;
  HttpResponse response_;
  std::string id_, class_name_;
  bool open_request_ = false;  // one was taken, and its answer is not written
  std::uint64_t turn_ = 0;
  Millis first_waited_ = 0;  // what was there of the first request when the connection was accepted
  Phase phase_ = Phase::kReading;
  Millis since_ = Now();
  Millis begun_at_ = since_;  // not after the first byte of the request that is being read
  unsigned version_ = 11;
  bool keep_alive_ = true;
  bool reading_ = false;  // some of a request
  bool turned_away_ = false;
  bool watched_ = false;    // the client's leaving is waited for
  std::uint64_t wait_ = 0;  // the wait for bytes that counts
};

ClientServer::ClientServer(asio::io_context& io, const tcp::endpoint& address, bool shared,
                           base::FileDescriptor listener, std::size_t most_sessions,
                           const policy::Settings& settings, std::size_t most_held, Handlers handlers)
    : io_(io),
      acceptor_(io),
      most_sessions_(most_sessions),
      most_held_(most_held),
      handlers_(std::move(handlers)),
      come_back_after_(settings.send_retry_after ? std::min(kComeBackAfter, settings.maximum_retry_after)
                                                 : 0),
      sweep_(io),
      accept_again_(io) {
  for (const policy::TrafficClassSettings& c : settings.classes) classes_[c.name] = c.idempotency;
  if (listener) {
    error_code ec;
    acceptor_.assign(address.protocol(), listener.get(), ec);
    if (!ec) listener.Release();
    if (!ec) acceptor_.non_blocking(true, ec);
  }
  if (!acceptor_.is_open()) Listen(acceptor_, address, "NODE_LISTEN", shared);
  Accept();
  Sweep();
}

ClientServer::~ClientServer() = default;

void ClientServer::Accept() {
  if (accepting_ || !acceptor_.is_open()) return;
  // With all places taken by requests under way, further clients wait in the kernel's queue: but not for
  // long.
  const bool room = FindRoom();
  if (accepting_) return;  // since one was closed for it
  if (!room && !(TurnsAway() && sessions_.size() < most_sessions_ + kMostTurnedAway)) {
    queue_.Observe(Now(), /*pending=*/true);
    return AcceptLater(kRoomAgain);
  }
  accepting_ = true;
  queue_.Observe(Now(), HasPending(acceptor_.native_handle()));
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    accepting_ = false;
    if (!acceptor_.is_open()) return;
    if (!ec) {
      // Nobody may have come for long, and things have changed since.
      !FindRoom() && TurnsAway() ? TurnedAway(std::move(socket)) : Accepted(std::move(socket));
      return Accept();
    }
    queue_.Observe(Now(), /*pending=*/true);
    if (ec == asio::error::no_descriptors) EvictIdle();
    AcceptLater(kAcceptAgain);  // at once would spin
  });
}

bool ClientServer::FindRoom() {
  const bool room = !Full() || EvictIdle();
  const auto yields = [](const auto& session) { return session->Yields(); };
  if (room || std::ranges::any_of(sessions_, yields)) had_room_at_ = Now();
  return room;
}

bool ClientServer::TurnsAway() const { return Now() - had_room_at_ >= kTurnAwayAfter; }

void ClientServer::AcceptLater(Millis time) {
  accept_again_.expires_after(Span(time));
  accept_again_.async_wait([this](error_code ec) {
    if (!ec) Accept();
  });
}

void ClientServer::Accepted(tcp::socket socket, bool adopted) {
  const auto session = std::make_shared<Session>(*this, std::move(socket), adopted);
  sessions_.insert(session);
  session->Begin(adopted ? 0 : queue_.LongestWait(Now()));
}

void ClientServer::TurnedAway(tcp::socket socket) {
  const auto session = std::make_shared<Session>(*this, std::move(socket), /*adopted=*/false);
  sessions_.insert(session);
  session->TurnAway();
}

void ClientServer::Closed(const std::shared_ptr<Session>& session) {
  sessions_.erase(session);
  if (stopped_ && sessions_.empty()) asio::post(io_, std::exchange(stopped_, nullptr));
  if (!Full()) Accept();
}

// Makes room: closes the connection that has been between requests for longest, or else the one that has been
// silent in the middle of its request for longest. A crowd of those must not keep out whoever sends a request
// whole.
bool ClientServer::EvictIdle() {
  std::shared_ptr<Session> oldest, slowest;
  const Millis now = Now(), rests = now - kLeastRest, begun = now - kLeastPartial;
  for (const auto& session : sessions_) {
    if (session->since() < (oldest ? oldest->since() : rests) && session->Idle()) oldest = session;
    if (session->quiet_since() < (slowest ? slowest->quiet_since() : begun) && session->Unfinished()) {
      slowest = session;
    }
  }
  if (!oldest) oldest = slowest;
  if (oldest) oldest->Close();
  return oldest != nullptr;
}

void ClientServer::Sweep() {
  const std::vector<std::shared_ptr<Session>> all(sessions_.begin(), sessions_.end());
  for (const auto& session : all) session->Sweep(Now());
  sweep_.expires_after(Span(kSweepEvery));
  sweep_.async_wait([this](error_code ec) {
    if (!ec) Sweep();
  });
}

void ClientServer::Drain(bool on) {
  if (!on) {
    drains_since_.reset();
  } else if (!drains_since_) {
    drains_since_ = Now();
  }
}

void ClientServer::SetMost(std::size_t sessions) {
  most_sessions_ = sessions;
  if (!Full()) Accept();
}

int ClientServer::listener() { return acceptor_.is_open() ? acceptor_.native_handle() : -1; }

void ClientServer::Adopt(base::FileDescriptor client) {
  tcp::socket socket(io_);
  error_code ec;
  socket.assign(acceptor_.is_open() ? acceptor_.local_endpoint().protocol() : tcp::v4(), client.get(), ec);
  if (ec) return;
  client.Release();
  Accepted(std::move(socket), /*adopted=*/true);
}

void ClientServer::GiveAway(Give give, std::function<void()> done) {
  give_ = std::move(give);
  stopped_ = std::move(done);
  error_code ignored;
  acceptor_.close(ignored);
  accept_again_.cancel();
  const std::vector<std::shared_ptr<Session>> all(sessions_.begin(), sessions_.end());
  for (const auto& session : all) session->GiveAway();
  if (stopped_ && sessions_.empty()) asio::post(io_, std::exchange(stopped_, nullptr));
}

void ClientServer::StopListening(std::function<void()> done) {
  Drain(true);
  stopped_ = std::move(done);
  // Whoever stands in the queue has connected, and may have sent a request: to close on it would lose that.
  for (error_code ec; !Full();) {
    tcp::socket socket = acceptor_.accept(ec);
    if (ec) break;
    Accepted(std::move(socket));
  }
  error_code ignored;
  acceptor_.close(ignored);
  accept_again_.cancel();
  const std::vector<std::shared_ptr<Session>> all(sessions_.begin(), sessions_.end());
  for (const auto& session : all) {
    if (session->Rested(Now())) session->Close();  // the sweep ends the others
  }
  if (stopped_ && sessions_.empty()) asio::post(io_, std::exchange(stopped_, nullptr));
}

// What would let two readers see two requests in one, and what can't be passed on.
std::unique_ptr<ClientServer::Fault> ClientServer::CheckFraming(const HttpRequest& http, bool chunked,
                                                                std::uint64_t length) const {
  const auto fault = [](http::status status, const char* text) {
    return std::make_unique<Fault>(Fault{status, text});
  };
  const auto codings = http.count(http::field::transfer_encoding);
  if (codings > 0) {
    if (http.version() < 11 || http.count(http::field::content_length) > 0 || codings > 1 || !chunked) {
      return fault(http::status::bad_request, "the framing is contradictory");
    }
    if (!boost::beast::iequals(http[http::field::transfer_encoding], "chunked")) {
      return fault(http::status::not_implemented, "chunked is the one coding");
    }
  }
  if (http.count(http::field::content_length) > 1) {
    return fault(http::status::bad_request, "the framing is contradictory");
  }
  if (length > kMostBody) return fault(http::status::payload_too_large, "the body is too large");
  if (http.version() != 10 && http.version() != 11) {
    return fault(http::status::http_version_not_supported, "HTTP/1.1 is spoken");
  }
  if (http.count(http::field::expect) > 0 &&
      !boost::beast::iequals(http[http::field::expect], "100-continue")) {
    return fault(http::status::expectation_failed, "100-continue is the one expectation");
  }
  return nullptr;
}

std::unique_ptr<ClientServer::Fault> ClientServer::Check(const HttpRequest& http,
                                                         ClientRequest& request) const {
  const auto fault = [](http::status status, std::string text) {
    return std::make_unique<Fault>(Fault{status, std::move(text)});
  };
  const std::string_view target(http.target().data(), http.target().size());
  const std::string_view path = target.substr(0, target.find('?'));
  if (path != "/api" && !path.starts_with("/api/")) return fault(http::status::not_found, "no such path");
  request.id = Field(http, "Req-Id");
  if (request.id.empty() || request.id.size() > kMostId) {
    return fault(http::status::bad_request, "Req-Id is missing or too long");
  }
  request.class_name = Field(http, "Req-Kind");
  const auto found = classes_.find(request.class_name);
  if (found == classes_.end()) return fault(http::status::bad_request, "Req-Kind names no class");
  const auto allowed = ParseDeadline(Field(http, "Req-Deadline"));
  if (!allowed) return fault(http::status::bad_request, "Req-Deadline is missing or malformed");
  request.allowed = *allowed;
  // A repeat of a request that is not safe must be possible to tell from its class and method alike.
  if (http.method() !=
      (found->second == policy::Idempotency::kIdempotent ? http::verb::get : http::verb::post)) {
    return fault(http::status::method_not_allowed, "the class takes another method");
  }
  if (found->second == policy::Idempotency::kIdempotencyKey && http["Idempotency-Key"].empty()) {
    return fault(http::status::bad_request, "Idempotency-Key is missing");
  }
  request.tenant = Field(http, "Req-Owner");
  request.key = Field(http, "Req-Key");
  return nullptr;
}

}  // namespace gateway::proxy
