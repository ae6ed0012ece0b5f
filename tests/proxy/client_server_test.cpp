// The ends of a client's connection that rests: what crosses a close is served once or sent again, and takes
// nothing along. Each order of events is forced: the kernel's answer to the look before the close is the
// moment in which the client writes.
#include "proxy/client/client_server.hpp"

#include <gtest/gtest.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <array>
#include <cstdarg>
#include <utility>

#include "peers.hpp"

namespace gateway::proxy::testing {
namespace {

using base::FileDescriptor;
using proxy::BodySource;
using proxy::ClientRequest;
using proxy::ClientServer;

// What happens right before and right behind the next look at how much the client of that port has sent.
struct LookHook {
  unsigned short port = 0;
  std::function<void()> before, behind;
};
LookHook look_hook;  // NOLINT: reached by the system call below

bool IsHooked(int socket, unsigned long request) {
  if (request != FIONREAD || look_hook.port == 0) return false;
  sockaddr_in peer{};
  socklen_t size = sizeof peer;
  return getpeername(socket, reinterpret_cast<sockaddr*>(&peer), &size) == 0 &&
         ntohs(peer.sin_port) == look_hook.port;
}

}  // namespace
}  // namespace gateway::proxy::testing

// In place of the C library's, for this program.
extern "C" int ioctl(int descriptor, unsigned long request, ...) noexcept {
  using gateway::proxy::testing::look_hook;
  va_list rest;
  va_start(rest, request);
  void* const argument = va_arg(rest, void*);
  va_end(rest);
  if (!gateway::proxy::testing::IsHooked(descriptor, request)) {
    return static_cast<int>(syscall(SYS_ioctl, descriptor, request, argument));
  }
  const auto hook = std::exchange(look_hook, {});
  if (hook.before) hook.before();
  const int result = static_cast<int>(syscall(SYS_ioctl, descriptor, request, argument));
  if (hook.behind) hook.behind();
  return result;
}

namespace gateway::proxy::testing {
namespace {

policy::Settings OneClass() {
  policy::TrafficClassSettings view;
  view.name = "view";
  view.idempotency = policy::Idempotency::kIdempotent;
  policy::Settings settings;
  settings.classes = {view};
  return settings;
}

// The clients' side of a gateway; each request is answered at once, unless the test does that.
struct Server {
  explicit Server(asio::io_context& io)
      : clients(io, {.address = Loopback(), .connection_limit = 100, .body_budget_bytes = 1 << 20},
                base::FileDescriptor(), OneClass(),
                {.is_ready = [] { return true; },
                 .on_request =
                     [this](ClientRequest request) {
                       received.push_back(request.id);
                       if (serve) return serve(std::move(request));
                       HttpResponse response(http::status::ok, 11);
                       response.body() = "answer to " + request.id;
                       request.responder.Respond(std::move(response), nullptr);
                     },
                 .on_request_complete = [](const std::string&, Millis) {},
                 .on_disconnect = [](const std::string&) {},
                 .on_response_end = [this](const std::string&, unsigned, bool) { ++answered; }}) {}

  std::function<void(ClientRequest)> serve;
  std::vector<std::string> received;  // ids of requests
  int answered = 0;
  ClientServer clients;
};

// A client that reads nothing until it is told to, so that what it is sent stays where a reset finds it.
class QuietClient {
 public:
  QuietClient(asio::io_context& io, const tcp::endpoint& at, int receive_buffer = 0) : io_(io), socket_(io) {
    socket_.open(tcp::v4());
    if (receive_buffer > 0) socket_.set_option(asio::socket_base::receive_buffer_size(receive_buffer));
    socket_.connect(at);
  }
  unsigned short port() const { return socket_.local_endpoint().port(); }
  void Write(const std::string& text) {
    error_code ec;
    asio::write(socket_, asio::buffer(text), ec);
  }
  // Whether the server has closed its side, by the kernel: nothing is read.
  bool Closed() {
    pollfd end{socket_.native_handle(), POLLRDHUP, 0};
    return ::poll(&end, 1, 0) > 0;
  }
  void BeginReading() {
    if (!std::exchange(reading_, true)) ReadOn();
  }
  // All that has come by the time that the connection has ended.
  const std::string& ReadToEnd() {
    BeginReading();
    EXPECT_TRUE(RunUntil(io_, [&] { return ended_; }));
    return text_;
  }
  bool ReadUntil(const std::string& words) {
    BeginReading();
    return RunUntil(io_, [&] { return ended_ || text_.find(words) != std::string::npos; }) && !ended_;
  }
  const std::string& text() const { return text_; }

 private:
  void ReadOn() {
    socket_.async_read_some(asio::buffer(piece_), [this](error_code ec, std::size_t got) {
      text_.append(piece_.data(), got);
      ended_ = static_cast<bool>(ec);
      if (!ended_) ReadOn();
    });
  }

  asio::io_context& io_;
  tcp::socket socket_;
  std::array<char, 4096> piece_{};
  std::string text_;
  bool reading_ = false, ended_ = false;
};

enum class Cause { kIdle, kEvicted, kDrained, kStopped };
enum class Moment { kBeforeTheLook, kBetweenLookAndClose, kBehindTheClose };

std::string Name(Cause cause) {
  constexpr std::array kNames = {"idle", "evicted", "drained", "stopped"};
  return kNames[static_cast<std::size_t>(cause)];
}

std::size_t Answers(const std::string& text) {
  std::size_t count = 0;
  for (auto at = text.find("HTTP/1.1 "); at != std::string::npos; at = text.find("HTTP/1.1 ", at + 1))
    ++count;
  return count;
}

// One client that rests, a cause to close its connection, and a request that crosses that.
class Crossing {
 public:
  Crossing(Cause cause, Moment moment, std::size_t crossing_bytes)
      : cause_(cause), moment_(moment), now_(kRequest().substr(0, crossing_bytes)) {}

  void Run() {
    // A connection that has brought no request is the one whose idle time is short enough for a test.
    if (cause_ != Cause::kIdle) {
      client_.Write(ApiCall("first"));
      ASSERT_TRUE(RunUntil(io_, [&] { return server_.answered == 1; }));
    }
    bool looked = false;
    const auto write = [&] {
      looked = true;
      client_.Write(now_);
    };
    const auto see = [&] { looked = true; };
    look_hook.port = client_.port();
    if (moment_ == Moment::kBeforeTheLook) look_hook.before = write;
    if (moment_ == Moment::kBetweenLookAndClose) look_hook.behind = write;
    if (moment_ == Moment::kBehindTheClose) look_hook.behind = see;
    Begin();
    ASSERT_TRUE(RunUntil(io_, [&] { return looked; }));
    if (moment_ == Moment::kBeforeTheLook) return ExpectServed();
    ASSERT_TRUE(RunUntil(io_, [&] { return client_.Closed(); }));
    if (moment_ == Moment::kBehindTheClose) client_.Write(now_);
    ExpectClosed();
  }

 private:
  static std::string kRequest() { return ApiCall("crossing"); }

  void Begin() {
    switch (cause_) {
      case Cause::kIdle: return;  // the sweep comes
      case Cause::kEvicted:
        server_.clients.SetConnectionLimit(1);
        other_.emplace(io_, server_.clients.address());
        return;
      case Cause::kDrained: return server_.clients.SetDraining(true);
      case Cause::kStopped:
        // Those that were answered a moment ago are not closed at once.
        Rest();
        return server_.clients.StopListening([this] { done_ = true; });
    }
  }

  void Rest() {
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(310);
    ASSERT_TRUE(RunUntil(io_, [&] { return std::chrono::steady_clock::now() > until; }));
  }

  long TimesReceived() const { return std::ranges::count(server_.received, "crossing"); }

  // What was there before the look keeps the connection open, and is answered on it.
  void ExpectServed() {
    client_.Write(kRequest().substr(now_.size()));
    ASSERT_TRUE(client_.ReadUntil("answer to crossing")) << client_.text();
    EXPECT_EQ(Answers(client_.text()), cause_ == Cause::kIdle ? 1u : 2u);
    EXPECT_EQ(TimesReceived(), 1);
    const bool last = client_.text().find("Connection: close") != std::string::npos;
    EXPECT_EQ(last, cause_ != Cause::kIdle);
  }

  // What came later is read by nobody; the answer before it has arrived, and the client sends again.
  void ExpectClosed() {
    const std::string text = client_.ReadToEnd();
    EXPECT_TRUE(cause_ == Cause::kIdle || text.ends_with("answer to first")) << text;
    EXPECT_EQ(Answers(text), cause_ == Cause::kIdle ? 0u : 1u);
    EXPECT_EQ(TimesReceived(), 0);
    if (cause_ == Cause::kStopped) {
      EXPECT_TRUE(RunUntil(io_, [&] { return done_; }));
      EXPECT_EQ(TimesReceived(), 0);
      return;  // the next one is another gateway's
    }
    QuietClient again(io_, server_.clients.address());
    again.Write(kRequest());
    EXPECT_TRUE(again.ReadUntil("answer to crossing")) << again.text();
    EXPECT_EQ(TimesReceived(), 1);
  }

  const Cause cause_;
  const Moment moment_;
  const std::string now_;  // of the request, in that moment; what is missing follows
  asio::io_context io_;
  Server server_{io_};
  QuietClient client_{io_, server_.clients.address()};
  std::optional<QuietClient> other_;
  bool done_ = false;
};

class ClosedAtRest : public ::testing::TestWithParam<std::tuple<Cause, std::size_t>> {};

// Guards the request that comes while the gateway closes the connection on which its client rests: whole or
// half a line of it, before the gateway's look at the socket, between that and the close, or behind the
// close.
TEST_P(ClosedAtRest, ServesWhatCameBeforeTheLookAndReadsNothingBehindIt) {
  const auto [cause, bytes] = GetParam();
  for (const Moment moment :
       {Moment::kBeforeTheLook, Moment::kBetweenLookAndClose, Moment::kBehindTheClose}) {
    SCOPED_TRACE(static_cast<int>(moment));
    Crossing(cause, moment, bytes).Run();
    look_hook = {};
  }
}

INSTANTIATE_TEST_SUITE_P(Causes, ClosedAtRest,
                         ::testing::Combine(::testing::Values(Cause::kIdle, Cause::kEvicted, Cause::kDrained,
                                                              Cause::kStopped),
                                            ::testing::Values(std::string::npos, 11)),
                         [](const auto& param) {
                           return Name(std::get<0>(param.param)) +
                                  (std::get<1>(param.param) == 11 ? "ByHalfALine" : "ByAWholeRequest");
                         });

enum class GiveMoment { kBefore, kWhileGiven, kBehind };

// Guards the same for a connection that is given to another process: the request goes with it, whenever it
// comes, and is served there, once.
TEST(GivenAway, TakesTheCrossingRequestAlong) {
  for (const GiveMoment moment : {GiveMoment::kBefore, GiveMoment::kWhileGiven, GiveMoment::kBehind}) {
    for (const std::size_t bytes : {std::string::npos, std::size_t{11}}) {
      SCOPED_TRACE(std::to_string(static_cast<int>(moment)) + " " + std::to_string(bytes));
      asio::io_context io;
      Server old(io), next(io);
      QuietClient client(io, old.clients.address());
      client.Write(ApiCall("first"));
      ASSERT_TRUE(RunUntil(io, [&] { return old.answered == 1; }));
      const std::string request = ApiCall("crossing");
      const auto write = [&] { client.Write(request.substr(0, bytes)); };
      if (moment == GiveMoment::kBefore) write();
      bool done = false;
      old.clients.TransferConnections(
          [&](base::FileDescriptor given) {
            if (moment == GiveMoment::kWhileGiven) write();
            next.clients.AcceptTransferredConnection(std::move(given));
            return true;
          },
          [&] { done = true; });
      if (moment == GiveMoment::kBehind) write();
      ASSERT_TRUE(RunUntil(io, [&] { return done; }));
      if (bytes < request.size()) client.Write(request.substr(bytes));
      ASSERT_TRUE(client.ReadUntil("answer to crossing")) << client.text();
      EXPECT_EQ(Answers(client.text()), 2u);
      EXPECT_EQ(old.received, std::vector<std::string>{"first"});
      EXPECT_EQ(next.received, std::vector<std::string>{"crossing"});
    }
  }
}

// Guards a connection that the other process does not take: it ends with the answer before whole, and nobody
// has read what crossed.
TEST(GivenAway, EndsAConnectionThatIsNotTaken) {
  for (const GiveMoment moment : {GiveMoment::kBefore, GiveMoment::kWhileGiven, GiveMoment::kBehind}) {
    SCOPED_TRACE(static_cast<int>(moment));
    asio::io_context io;
    Server old(io);
    QuietClient client(io, old.clients.address());
    client.Write(ApiCall("first"));
    ASSERT_TRUE(RunUntil(io, [&] { return old.answered == 1; }));
    if (moment == GiveMoment::kBefore) client.Write(ApiCall("crossing"));
    bool done = false;
    old.clients.TransferConnections(
        [&](base::FileDescriptor) {
          if (moment == GiveMoment::kWhileGiven) client.Write(ApiCall("crossing"));
          return false;
        },
        [&] { done = true; });
    if (moment == GiveMoment::kBehind) client.Write(ApiCall("crossing"));
    ASSERT_TRUE(RunUntil(io, [&] { return done; }));
    const std::string text = client.ReadToEnd();
    EXPECT_TRUE(text.ends_with("answer to first")) << text;
    EXPECT_EQ(Answers(text), 1u);
    EXPECT_EQ(old.received, std::vector<std::string>{"first"});
  }
}

// Guards a client that has connected when the listener closes, and whose request is on its way: it is served.
TEST(ClosedAtRest, ServesAClientThatConnectedRightBeforeTheStop) {
  asio::io_context io;
  Server server(io);
  server.clients.SetDraining(true);
  QuietClient client(io, server.clients.address());  // in the queue: the loop has not run
  bool done = false;
  server.clients.StopListening([&] { done = true; });
  client.Write(ApiCall("crossing"));
  const std::string text = client.ReadToEnd();
  EXPECT_TRUE(text.ends_with("answer to crossing")) << text;
  EXPECT_EQ(server.received, std::vector<std::string>{"crossing"});
}

// The remaining body of a response, which the test holds back.
class PausedBody : public BodySource {
 public:
  void ReadNext(PieceHandler handler) override { handler_ = std::move(handler); }
  void Cancel() override {}
  bool started() const override { return true; }
  bool awaited() const { return handler_ != nullptr; }
  void Finish(std::string_view piece) { std::exchange(handler_, nullptr)({}, piece, /*last=*/true); }

 private:
  PieceHandler handler_;
};

// Guards an answer that is still on its way when the listener has closed: a close over a request that crosses
// would reset the connection, and the rest of the answer would never arrive.
TEST(ClosedAtRest, BreaksOffNoAnswerForWhatCrossesIt) {
  constexpr std::size_t kSize = 64 * 1024;
  asio::io_context io;
  Server server(io);
  const auto rest = std::make_shared<PausedBody>();
  server.serve = [&](ClientRequest request) {
    if (request.id == "crossing") {
      HttpResponse response(http::status::ok, 11);
      response.body() = "answer to crossing";
      return request.responder.Respond(std::move(response), nullptr);
    }
    HttpResponse head(http::status::ok, 11);
    head.content_length(kSize);
    request.responder.Respond(std::move(head), rest);
  };
  QuietClient client(io, server.clients.address(), /*receive_buffer=*/4096);
  client.Write(ApiCall("first"));
  ASSERT_TRUE(RunUntil(io, [&] { return rest->awaited(); }));
  bool done = false;
  server.clients.StopListening([&] { done = true; });
  look_hook = {client.port(), nullptr, [&] { client.Write(ApiCall("crossing")); }};
  const std::string body(kSize, 'x');
  client.BeginReading();
  rest->Finish(body);
  const std::string text = client.ReadToEnd();
  const auto begin = text.find("\r\n\r\n");
  ASSERT_NE(begin, std::string::npos);
  EXPECT_TRUE(text.substr(begin + 4) == body) << text.size() << " bytes came";
  EXPECT_EQ(server.received, std::vector<std::string>{"first"});
  look_hook = {};
}

}  // namespace
}  // namespace gateway::proxy::testing
