#include "proxy/restart/handover.hpp"

#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <boost/asio/post.hpp>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/log.hpp"
#include "proxy/clock.hpp"
#include "proxy/restart/learned_state_json.hpp"

namespace gateway::proxy {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using nlohmann::json;
using tcp = asio::ip::tcp;

constexpr Millis kPatience = 500;  // of the new process with one that hangs
constexpr Millis kSayAgain = 5;    // after what the other could not take
constexpr std::size_t kMostWord = 1 << 18;
constexpr const char* kHello = "forkwick 1";  // the form of what is passed; another form is not understood

// A Unix socket whose messages keep their bounds; none where the system refuses it.
Descriptor OpenUnix() {
  return Descriptor(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
}

bool ToAddress(const std::string& path, sockaddr_un& address) {
  address = {};
  address.sun_family = AF_UNIX;
  if (path.empty() || path.size() >= sizeof address.sun_path) return false;
  std::memcpy(address.sun_path, path.c_str(), path.size() + 1);
  return true;
}

bool IsSameUser(int socket) {
  ucred peer{};
  socklen_t size = sizeof peer;
  return ::getsockopt(socket, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 && peer.uid == ::geteuid();
}

// The errno of a message that could not be sent; 0 if it was.
int SendWord(int socket, std::string_view word, int with) {
  iovec part{const_cast<char*>(word.data()), word.size()};
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  if (with >= 0) {
    message.msg_control = control;
    message.msg_controllen = sizeof control;
    cmsghdr* const head = CMSG_FIRSTHDR(&message);
    head->cmsg_level = SOL_SOCKET;
    head->cmsg_type = SCM_RIGHTS;
    head->cmsg_len = CMSG_LEN(sizeof(int));
    std::memcpy(CMSG_DATA(head), &with, sizeof(int));
  }
  return ::sendmsg(socket, &message, MSG_NOSIGNAL | MSG_DONTWAIT) < 0 ? errno : 0;
}

// One message; an empty word is the end. The errno if there is none to be had.
int ReceiveWord(int socket, std::string& word, Descriptor& with) {
  word.resize(kMostWord);
  iovec part{word.data(), word.size()};
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  message.msg_control = control;
  message.msg_controllen = sizeof control;
  ssize_t got = ::recvmsg(socket, &message, MSG_DONTWAIT | MSG_CMSG_CLOEXEC);
  // The other end's close with words of ours unread is told first, once; what it said still stands here.
  if (got < 0 && errno == ECONNRESET) got = ::recvmsg(socket, &message, MSG_DONTWAIT | MSG_CMSG_CLOEXEC);
  if (got < 0) return errno;
  word.resize(static_cast<std::size_t>(got));
  with = {};
  for (cmsghdr* head = CMSG_FIRSTHDR(&message); head != nullptr; head = CMSG_NXTHDR(&message, head)) {
    if (head->cmsg_level != SOL_SOCKET || head->cmsg_type != SCM_RIGHTS) continue;
    int fd = -1;
    std::memcpy(&fd, CMSG_DATA(head), sizeof fd);
    with = Descriptor(fd);
  }
  return 0;
}

// Waits for a message until the time given.
bool AwaitWord(int socket, Millis until, std::string& word, Descriptor& with) {
  for (;;) {
    const int error = ReceiveWord(socket, word, with);
    if (error == 0) return !word.empty();
    const Millis left = until - Now();
    if ((error != EAGAIN && error != EINTR) || left <= 0) return false;
    pollfd one{socket, POLLIN, 0};
    ::poll(&one, 1, static_cast<int>(left) + 1);
  }
}

bool ListensAt(int socket, const tcp::endpoint& address) {
  int listens = 0;
  socklen_t size = sizeof listens;
  if (::getsockopt(socket, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) != 0 || listens == 0) return false;
  tcp::endpoint own;
  size = static_cast<socklen_t>(own.capacity());
  if (::getsockname(socket, own.data(), &size) != 0) return false;
  own.resize(size);
  return own == address;
}

std::string ToText(const HandoverState& handed_over) {
  json all = ToJson(handed_over.learned);
  all["list"] = json::parse(SerializeEndpointList(handed_over.list));
  return all.dump();
}

std::optional<HandoverState> ParseHandoverState(const std::string& text) {
  try {
    const json all = json::parse(text);
    const auto list = ParseEndpointList(all.at("list").dump());
    if (!list) return std::nullopt;
    HandoverState handed_over{*list, LearnedFromJson(all)};
    // What a process that runs believes holds as it stands: nothing was missed.
    handed_over.learned.exported_at = Now();
    for (policy::LearnedState::Endpoint& server : handed_over.learned.endpoints)
      server.last_outcome_at = handed_over.learned.exported_at;
    return handed_over;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

Descriptor& Descriptor::operator=(Descriptor&& other) noexcept {
  if (this != &other) {
    if (fd_ >= 0) ::close(fd_);
    fd_ = other.Release();
  }
  return *this;
}

Descriptor::~Descriptor() {
  if (fd_ >= 0) ::close(fd_);
}

int Descriptor::Release() { return std::exchange(fd_, -1); }

InheritedState Inherit(const std::string& path, const tcp::endpoint& address) {
  sockaddr_un at{};
  Descriptor link = OpenUnix();
  if (!link || !ToAddress(path, at)) return {};
  if (::connect(link.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) return {};
  if (!IsSameUser(link.get()) || SendWord(link.get(), kHello, -1) != 0) return {};
  InheritedState all;
  std::string word;
  const Millis until = Now() + kPatience;
  if (!AwaitWord(link.get(), until, word, all.listener) || word != "listener" || !all.listener ||
      !ListensAt(all.listener.get(), address)) {
    return {};
  }
  Descriptor none;
  if (AwaitWord(link.get(), until, word, none)) all.handed_over = ParseHandoverState(word);
  all.link = std::move(link);
  return all;
}

Link::Link(asio::io_context& io, Descriptor socket) : socket_(io, socket.Release()), again_(io) {}

Link::~Link() { *alive_ = false; }

void Link::Listen(Handlers handlers) {
  const bool first = !handlers_.heard;
  handlers_ = std::move(handlers);
  if (first && open_) Read();
}

void Link::Read() {
  socket_.async_wait(asio::posix::stream_descriptor::wait_read, [this, alive = alive_](error_code ec) {
    if (!*alive || !open_) return;
    std::string word;
    while (!ec) {
      Descriptor with;
      const int error = ReceiveWord(socket_.native_handle(), word, with);
      if (error == EAGAIN || error == EINTR) return Read();
      if (error != 0 || word.empty()) break;
      handlers_.heard(word, std::move(with));
      if (!*alive || !open_) return;
    }
    End();
  });
}

void Link::Say(std::string word, Descriptor with) {
  if (!open_) return;
  waiting_.emplace_back(std::move(word), std::move(with));
  if (waiting_.size() == 1) Flush();
}

void Link::Flush() {
  while (!waiting_.empty()) {
    const auto& [word, with] = waiting_.front();
    const int error = SendWord(socket_.native_handle(), word, with ? with.get() : -1);
    // Only so many descriptors may be on their way at a time.
    if (error == EAGAIN || error == ENOBUFS || error == ETOOMANYREFS || error == EINTR) {
      again_.expires_after(Span(kSayAgain));
      again_.async_wait([this, alive = alive_](error_code ec) {
        if (!ec && *alive && open_) Flush();
      });
      return;
    }
    if (error != 0 && error != EMSGSIZE) return End();  // what is too long is done without
    waiting_.pop_front();
  }
}

void Link::End() {
  if (!std::exchange(open_, false)) return;
  waiting_.clear();
  error_code ignored;
  socket_.close(ignored);
  asio::post(socket_.get_executor(), [this, alive = alive_] {
    if (!*alive || !handlers_.ended) return;
    const auto ended = std::move(handlers_.ended);  // which may be the end of this
    ended();
  });
}

Handover::Handover(asio::io_context& io, const std::string& path, Handlers handlers)
    : io_(io), handlers_(std::move(handlers)), listener_(io) {
  sockaddr_un at{};
  Descriptor socket = OpenUnix();
  const bool good = socket && ToAddress(path, at);
  // Only a socket is taken away: that of the process before, whose link stands already or who is gone.
  struct stat there {};
  if (good && ::lstat(path.c_str(), &there) == 0 && S_ISSOCK(there.st_mode)) ::unlink(path.c_str());
  error_code ec;
  if (!good || ::bind(socket.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
      ::listen(socket.get(), 4) != 0) {
    ec = error_code(errno, boost::system::system_category());
  } else if (listener_.assign(socket.get(), ec); !ec) {
    socket.Release();
    Accept();
    return;
  }
  base::Log(base::Level::kWarning, "replacement", "no_handover",
            "nothing can be handed over at " + path + ": " + ec.message(), {{"path", path}});
}

Handover::~Handover() { *alive_ = false; }

void Handover::Accept() {
  listener_.async_wait(asio::posix::stream_descriptor::wait_read, [this, alive = alive_](error_code ec) {
    if (ec || !*alive) return;
    Descriptor caller(::accept4(listener_.native_handle(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK));
    if (caller && IsSameUser(caller.get())) Welcome(std::move(caller));
    Accept();
  });
}

// Waits for the hello, which tells a replacement from anybody else.
void Handover::Welcome(Descriptor socket) {
  caller_ = std::make_unique<Link>(io_, std::move(socket));
  caller_->Listen(
      {[this](std::string_view word, const Descriptor&) { Answer(word); }, [this] { caller_.reset(); }});
}

void Handover::Answer(std::string_view word) {
  const int listener = word == kHello ? handlers_.listener() : -1;
  const int copy = listener < 0 ? -1 : ::fcntl(listener, F_DUPFD_CLOEXEC, 0);
  if (copy >= 0) {
    caller_->Say("listener", Descriptor(copy));
    caller_->Say(ToText(handlers_.handed_over()));
  }
  // Posted, for the link's own handler is what runs now.
  asio::post(io_, [this, alive = alive_, said = copy >= 0, link = caller_.get()] {
    if (!*alive || caller_.get() != link) return;
    auto caller = std::move(caller_);
    if (said && caller->open()) handlers_.linked(std::move(caller));
  });
}

}  // namespace gateway::proxy
