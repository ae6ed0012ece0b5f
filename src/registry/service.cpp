#include "registry/service.hpp"

#include <fmt/format.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include "base/clock.hpp"
#include "base/endpoint.hpp"
#include "base/log.hpp"
#include "base/toml_reader.hpp"

namespace elderhead::registry {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using base::Level;
using base::Millis;
using base::Now;
using base::Span;
using boost::system::error_code;
using nlohmann::json;

constexpr Millis kRequestWithin = 10000;  // from a connection's begin, or an answer, to a whole request
constexpr Millis kIdle = 75000;           // a kept connection that asks nothing
constexpr Millis kWriteWithin = 5000;     // a reader that is slower is cut off
constexpr Millis kTickEvery = 200;
constexpr Millis kOpenAgain = 2000;
constexpr std::size_t kMostBody = 64 << 10, kMostHead = 8 << 10;
constexpr std::size_t kMostWaiting = 20000;  // writes that wait for the disk

const char* Reason(unsigned status) {
  switch (status) {
    case 200: return "OK";
    case 400: return "Bad Request";
    case 404: return "Not Found";
    case 405: return "Method Not Allowed";
    case 409: return "Conflict";
    default: return "Service Unavailable";
  }
}

}  // namespace

ServiceOptions ReadServiceOptions(const std::string& path) {
  base::TomlTable t = base::TomlTable::FromFile(path);
  ServiceOptions o;
  const std::string listen = t.Text("listen");
  const auto address = base::ParseEndpoint(listen);
  if (!address) t.Fail("listen", "must be an address and port, such as 127.0.0.1:8500");
  o.listen = *address;
  o.state_folder = t.Text("state_dir");
  if (o.state_folder.empty()) t.Fail("state_dir", "must be the path of a folder");
  o.owner = "registry " + t.Text("name", "registry");
  if (auto l = t.Table("leases")) {
    o.leases.term = 1000 * l->Number("term_s", o.leases.term / 1000, {0.5, 3600});
    o.leases.grace = 1000 * l->Number("grace_s", o.leases.grace / 1000, base::kNotNegative);
    o.leases.most_lapsed = l->Number("most_lapsed", o.leases.most_lapsed, base::kShare);
    o.leases.least_lapsed = l->Whole("least_lapsed", o.leases.least_lapsed, 0, 1000000);
    o.leases.window = 1000 * l->Number("window_s", o.leases.window / 1000, base::kNotNegative);
    o.leases.longest_hold =
        1000 * l->Number("longest_hold_s", o.leases.longest_hold / 1000, base::kAboveZero);
    l->Done();
  }
  if (auto h = t.Table("history")) {
    o.bounds.history = static_cast<std::size_t>(h->Whole("changes", 100000, 100, 1000000));
    o.bounds.keys = static_cast<std::size_t>(h->Whole("keys", 10000, 100, 1000000));
    h->Done();
  }
  if (auto w = t.Table("watches")) {
    o.callers = static_cast<std::size_t>(w->Whole("callers", 8000, 1, 1000000));
    o.operators = static_cast<std::size_t>(w->Whole("operators", 64, 1, 10000));
    o.whole_lists = w->Number("whole_lists_per_s", o.whole_lists, base::kAboveZero);
    w->Done();
  }
  t.Done();
  return o;
}

// One connection. At most one request is on, so what a slow reader holds is one answer, which others share.
class Service::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Service& service, tcp::socket socket)
      : service_(service), socket_(std::move(socket)), timer_(service.io_) {}

  void Read(Millis within) {
    parser_.emplace();
    parser_->body_limit(kMostBody);
    parser_->header_limit(kMostHead);
    EndIn(within);
    http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](error_code ec, std::size_t got) {
      if (!self->open_) return;
      self->timer_.cancel();
      self->got_ = got;
      self->service_.counts_.bytes_in += got;
      if (ec == http::error::end_of_stream || (ec && !self->parser_->got_some())) return self->Close();
      if (ec == http::error::body_limit || ec == http::error::header_limit) {
        return self->Refuse(400, "bad_request", "the request is too long", false);
      }
      if (ec) return self->Refuse(400, "bad_request", "no proper HTTP request", false);
      self->keep_ = self->parser_->get().keep_alive();
      self->service_.Handle(self);
    });
  }

  const http::request<http::string_body>& request() const { return parser_->get(); }

  void Answer(unsigned status, Body body, bool keep = true, int retry_after = 0,
              const char* type = "application/json") {
    if (!open_) return;
    keep_ = keep_ && keep;
    head_ = fmt::format("HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n", status,
                        Reason(status), type, body->size());
    if (retry_after > 0) head_ += fmt::format("Retry-After: {}\r\n", retry_after);
    if (!keep_) head_ += "Connection: close\r\n";
    head_ += "\r\n";
    body_ = std::move(body);
    service_.counts_.bytes_out += head_.size() + body_->size();
    if (for_list_) service_.counts_.list_bytes_out += head_.size() + body_->size();
    for_list_ = false;
    EndIn(kWriteWithin, /*late=*/true);
    const std::array<asio::const_buffer, 2> parts{asio::buffer(head_), asio::buffer(*body_)};
    asio::async_write(socket_, parts, [self = shared_from_this()](error_code ec, std::size_t) {
      if (!self->open_) return;
      self->body_.reset();
      if (ec || !self->keep_) return self->Close();
      self->Read(kIdle);
    });
  }

  void Refuse(unsigned status, const char* code, const std::string& text, bool keep = true,
              int retry_after = 0) {
    Answer(status, std::make_shared<const std::string>(ToText(Outcome{code, "", text})), keep, retry_after);
  }

  // Until the list is newer, or the time is over.
  void Park(Revision after, Millis wait) {
    after_ = after;
    timer_.expires_after(Span(wait));
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec && self->service_.watches_.erase(self) > 0)
        self->Answer(200, self->service_.Since(self->after_));
    });
  }
  void Wake(Body body) {
    timer_.cancel();
    Answer(200, std::move(body));
  }

  void Close() {
    if (!std::exchange(open_, false)) return;
    timer_.cancel();
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    service_.Gone(*this);
  }

  // The request is a call for the list.
  void ForList() {
    for_list_ = true;
    ++service_.counts_.list_calls;
    service_.counts_.list_bytes_in += got_;
  }

  Revision after() const { return after_; }
  bool listing = false;  // it counts among the callers

 private:
  void EndIn(Millis time, bool late = false) {
    timer_.expires_after(Span(time));
    timer_.async_wait([self = shared_from_this(), late](error_code ec) {
      if (ec || !self->open_) return;
      self->service_.counts_.cut_off += late;
      self->Close();
    });
  }

  Service& service_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_{kMostHead + kMostBody};
  std::optional<http::request_parser<http::string_body>> parser_;
  std::string head_;
  Body body_;
  Revision after_ = 0;
  std::size_t got_ = 0;  // bytes of the request
  bool open_ = true, keep_ = true, for_list_ = false;
};

Service::Service(asio::io_context& io, store::FileSystem& files, ServiceOptions options)
    : io_(io),
      options_(std::move(options)),
      leases_(options_.leases),
      bell_(io, eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)),
      acceptor_(io),
      tick_(io),
      reopen_(io),
      whole_left_(options_.whole_lists),
      started_(Now()) {
  store::StoreOptions folder;
  folder.owner = options_.owner;
  folder.program = options_.program;
  folder.most_bytes = std::max<std::uint64_t>(4 * options_.snapshot_after, 16 << 20);
  journal_.emplace(files, options_.state_folder, folder, [this](Journal::Written written) {
    {
      const std::lock_guard lock(written_mutex_);
      written_ = std::move(written);
    }
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto rung = ::write(bell_.native_handle(), &one, sizeof one);
  });
  Recover();
  acceptor_.open(options_.listen.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(options_.listen);
  acceptor_.listen(4096);
  AwaitWritten();
  Accept();
  Tick();
}

Service::~Service() {
  journal_.reset();  // its thread first
  for (const auto& session : std::exchange(sessions_, {})) session->Close();
}

// From the disk: the snapshot and the commands behind it. Also after the disk failed: then what was not
// answered for may be there, and counts.
void Service::Recover() {
  store::Examination found;
  if (const store::Status status = journal_->Open(found); !status.ok())
    throw std::runtime_error(status.Text());
  const Millis begun = Now();
  const bool first = !catalog_;
  if (first && found.snapshot) {
    std::string why;
    if (found.snapshot->version > kSnapshotVersion) why = "of a newer program";
    if (why.empty()) catalog_ = Catalog::FromSnapshot(found.snapshot->payload, options_.bounds, why);
    if (!catalog_)
      throw std::runtime_error(options_.state_folder + ": a snapshot that can't be read: " + why);
    applied_ = found.snapshot->sequence;
  }
  const bool fresh = !catalog_;
  const Revision before = fresh ? 0 : catalog_->revision();
  if (fresh) catalog_.emplace(options_.epoch, options_.first, options_.bounds);
  std::size_t applied = 0;
  for (const store::Record& record : found.records) {
    if (record.sequence <= applied_) continue;
    const auto command = record.version > kCommandVersion ? std::nullopt : CommandFromRecord(record.payload);
    if (!command) {
      throw std::runtime_error(
          fmt::format("{}: record {} can't be read", options_.state_folder, record.sequence));
    }
    applied_ = record.sequence;
    catalog_->Apply(*command);
    ++applied;
  }
  if (first) {
    for (const auto& [id, member] : catalog_->members()) leases_.Changed(member, Now());
  } else if (const auto changed = catalog_->Since(before)) {
    for (const Member* member : *changed) leases_.Changed(*member, Now());
  }
  base::Log(
      Level::kInfo, "registry", "recovered",
      fmt::format("registry: epoch {}, revision {}, {} members, {} changes known, {} records behind the "
                  "snapshot, in {:.0f} ms",
                  catalog_->epoch(), catalog_->revision(), catalog_->members().size(),
                  catalog_->history().size(), applied, Now() - begun));
  if (fresh && found.records.empty()) {
    // The epoch has to be on the disk before anyone hears it.
    Journal::Batch begin;
    begin.snapshot = catalog_->Snapshot();
    journal_->Write(std::move(begin));
    std::uint64_t rung = 0;
    while (::read(bell_.native_handle(), &rung, sizeof rung) != sizeof rung) ::usleep(200);
    const auto written = std::exchange(written_, std::nullopt);
    if (!written->status.ok()) throw std::runtime_error(written->status.Text());
  }
}

void Service::Accept() {
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    if (ec == asio::error::operation_aborted) return;
    if (ec) {  // no descriptors: let some go
      tick_.async_wait([this](error_code) { Accept(); });
      return;
    }
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto session = std::make_shared<Session>(*this, std::move(socket));
    sessions_.insert(session);
    if (sessions_.size() > options_.callers + options_.operators) {
      ++counts_.turned_away;
      session->Refuse(503, "overloaded", "too many connections", false, 2);
    } else {
      session->Read(kRequestWithin);
    }
    Accept();
  });
}

// They are told to come back after 1 to 4 s, not all at once.
void Service::TurnAway(const std::shared_ptr<Session>& session, const std::string& why, bool keep) {
  session->Refuse(503, "overloaded", why, keep, 1 + static_cast<int>(++counts_.turned_away % 4));
}

void Service::Gone(Session& session) {
  if (std::exchange(session.listing, false)) --listing_;
  const auto self = session.shared_from_this();
  watches_.erase(self);
  sessions_.erase(self);
}

void Service::Handle(const std::shared_ptr<Session>& session) {
  ++counts_.calls;
  const auto& request = session->request();
  const std::string_view target(request.target().data(), request.target().size());
  const std::string_view path = target.substr(0, target.find('?'));
  const bool get = request.method() == http::verb::get;
  const bool list = path == "/discovery/hosts", renew = path == "/registry/renew";
  if (list) session->ForList();
  // Operators have places of their own.
  if ((list || renew) && !session->listing) {
    if (listing_ >= options_.callers) {
      return TurnAway(session, "all places for callers are taken", /*keep=*/false);
    }
    session->listing = true;
    ++listing_;
  }
  const auto text = [&](std::string body, const char* type = "application/json") {
    session->Answer(200, std::make_shared<const std::string>(std::move(body)), true, 0, type);
  };
  if (list) return get ? AnswerList(session, target) : session->Refuse(405, "bad_request", "only GET");
  constexpr std::string_view kOwn = "/registry/";
  if (path == "/metrics" && get) return text(MetricsText(), "text/plain; version=0.0.4");
  if (path == "/registry/status" && get) return text(StatusText());
  if (path == "/registry/members" && get) return session->Answer(200, Whole());
  if (path == "/registry/history" && get) {
    const auto query = ParseWatch(target);
    if (!query) return session->Refuse(400, "bad_request", "'after' must be a whole number");
    const Revision after = query->after.value_or(catalog_->oldest());
    std::vector<const Member*> changes;
    for (const Member& change : catalog_->history()) {
      if (change.revision > after && changes.size() < 10000) changes.push_back(&change);
    }
    return text(ListText(*catalog_, false, changes));
  }
  if (path.starts_with(kOwn) && request.method() == http::verb::post) {
    return HandleCall(session, path.substr(kOwn.size()), request.body());
  }
  session->Refuse(path.starts_with(kOwn) ? 405 : 404, "unknown_call", "no such call here");
}

void Service::AnswerList(const std::shared_ptr<Session>& session, std::string_view target) {
  const auto query = ParseWatch(target);
  if (!query) return session->Refuse(400, "bad_request", "'after' and 'wait_ms' must be whole numbers");
  const bool other = !query->epoch.empty() && query->epoch != catalog_->epoch();
  const bool known = query->after && !other && catalog_->Knows(*query->after);
  if (!known) {
    if (whole_left_ < 1) {
      return TurnAway(session, "too many ask for the whole list at once", /*keep=*/true);
    }
    whole_left_ -= 1;
    ++counts_.lists;
    return session->Answer(200, Whole());
  }
  if (*query->after < catalog_->revision() || query->wait <= 0) {
    return session->Answer(200, Since(*query->after));
  }
  watches_.insert(session);
  session->Park(*query->after, query->wait);
}

// Encoded once a revision, for all that have the same.
Service::Body Service::Since(Revision after) {
  Body& body = since_[after];
  if (body) return body;
  ++counts_.encoded;
  const auto changed = catalog_->Since(after);
  // Compacted meanwhile, or more than all that there is.
  if (!changed || changed->size() > catalog_->members().size() + 64) return body = Whole();
  return body = std::make_shared<const std::string>(ListText(*catalog_, false, *changed));
}

Service::Body Service::Whole() {
  if (whole_) return whole_;
  ++counts_.encoded;
  std::vector<const Member*> all;
  for (const auto& [id, member] : catalog_->members()) all.push_back(&member);
  return whole_ = std::make_shared<const std::string>(ListText(*catalog_, true, all));
}

void Service::HandleCall(const std::shared_ptr<Session>& session, std::string_view name,
                         const std::string& body) {
  const auto answer = [session](const Outcome& outcome) {
    session->Answer(StatusOf(outcome), std::make_shared<const std::string>(ToText(outcome)), true,
                    StatusOf(outcome) == 503 ? 2 : 0);
  };
  Call call = ParseCall(name, body);
  if (const auto* wrong = std::get_if<Outcome>(&call)) return answer(*wrong);
  if (const auto* renewal = std::get_if<Renewal>(&call)) {
    ++counts_.renewals;
    switch (leases_.Renew(renewal->id, renewal->incarnation, Now())) {
      case Leases::Renewal::kLifted: {
        Command trust;
        trust.action = Action::kTrust;
        trust.member.id = renewal->id;
        trust.if_incarnation = renewal->incarnation;
        Propose(std::move(trust), {});
        [[fallthrough]];
      }
      case Leases::Renewal::kGood: return answer({"", "", "", catalog_->revision(), false});
      case Leases::Renewal::kStale:
        return answer({"stale_incarnation", "incarnation", "the lease is of another process of this member"});
      case Leases::Renewal::kLeaving:
      case Leases::Renewal::kUnknown:
        return answer({"unknown_member", "id", "no lease of '" + renewal->id + "'; it has to register"});
    }
  }
  Command& command = std::get<Command>(call);
  if (command.action == Action::kRegister && !command.by_operator && command.member.term <= 0) {
    command.member.term = options_.leases.term;
  }
  Propose(std::move(command), answer);
}

void Service::Propose(Command command, std::function<void(const Outcome&)> done) {
  const Proposal proposal{std::move(command), std::move(done)};
  if (!storage_error_.empty()) return Refuse({proposal}, "storage_failed", NothingKept());
  if (waiting_.size() >= kMostWaiting) {
    return Refuse({proposal}, "overloaded", "too many writes wait for the disk");
  }
  waiting_.push_back(proposal);
  WriteMore();
}

std::string Service::NothingKept() const { return "nothing can be kept now: " + storage_error_; }

void Service::Refuse(const std::vector<Proposal>& proposals, const char* code, const std::string& text) {
  for (const Proposal& proposal : proposals) {
    leases_.Failed(proposal.command);
    if (proposal.done) proposal.done({code, "", text});
  }
}

// One batch is on at a time: what comes meanwhile goes together into the next, and when a snapshot is handed
// over all that was written is applied.
void Service::WriteMore() {
  if (!writing_.empty() || waiting_.empty() || !storage_error_.empty()) return;
  writing_ = std::exchange(waiting_, {});
  Journal::Batch batch;
  if (log_bytes_ > options_.snapshot_after) batch.snapshot = catalog_->Snapshot();
  for (const Proposal& proposal : writing_) batch.records.push_back(ToRecord(proposal.command));
  journal_->Write(std::move(batch));
}

void Service::AwaitWritten() {
  asio::async_read(bell_, asio::buffer(&bell_count_, sizeof bell_count_), [this](error_code ec, std::size_t) {
    if (ec) return;
    std::optional<Journal::Written> written;
    {
      const std::lock_guard lock(written_mutex_);
      written = std::exchange(written_, std::nullopt);
    }
    if (written) Finished(std::move(*written));
    AwaitWritten();
  });
}

void Service::Finished(Journal::Written written) {
  const std::vector<Proposal> batch = std::exchange(writing_, {});
  if (!written.status.ok()) {
    Refuse(batch, "storage_failed", "it may or may not be kept: " + written.status.Text());
    return StorageFailed(written.status);
  }
  ++counts_.syncs;
  sync_us_.Add(static_cast<std::uint64_t>(written.took_ms * 1000));
  log_bytes_ = written.log_bytes;
  const Revision before = catalog_->revision();
  for (std::size_t i = 0; i < batch.size(); ++i) {
    applied_ = written.sequences[i];
    const Outcome outcome = catalog_->Apply(batch[i].command);
    Applied(batch[i].command, outcome);
    ++counts_.writes;
    if (batch[i].done) batch[i].done(outcome);
  }
  if (catalog_->revision() != before) WakeWatches();
  WriteMore();
}

void Service::Applied(const Command& command, const Outcome& outcome) {
  if (!outcome.ok()) return leases_.Failed(command);
  if (const Member* const member = catalog_->Find(command.member.id)) {
    leases_.Changed(*member, Now());
  } else if (outcome.changed) {
    leases_.Changed(catalog_->history().back(), Now());
  }
  if (outcome.changed && command.action >= Action::kSuspect) {
    base::Log(Level::kWarning, "registry", "lease",
              fmt::format("registry: member {} {}, revision {}", command.member.id,
                          command.action == Action::kSuspect  ? "is suspect: its lease lapsed"
                          : command.action == Action::kExpire ? "is removed: its lease lapsed"
                                                              : "renews again",
                          outcome.revision));
  }
}

void Service::StorageFailed(const store::Status& status) {
  storage_error_ = status.Text();
  base::Log(
      Level::kError, "registry", "storage_failed",
      "registry: " + storage_error_ + "; lists and watches go on, writes are refused, tried again every 2 s");
  Refuse(std::exchange(waiting_, {}), "storage_failed", NothingKept());
  OpenAgain();
}

// The next opening reads all anew, and writes the last segment again before it believes it.
void Service::OpenAgain() {
  reopen_.expires_after(Span(kOpenAgain));
  reopen_.async_wait([this](error_code ec) {
    if (ec) return;
    const Revision before = catalog_->revision();
    try {
      Recover();
    } catch (const std::exception& error) {
      storage_error_ = error.what();
      return OpenAgain();
    }
    storage_error_.clear();
    base::Log(Level::kInfo, "registry", "storage_back", "registry: the disk takes writes again");
    if (catalog_->revision() != before) WakeWatches();
  });
}

void Service::WakeWatches() {
  since_.clear();
  whole_.reset();
  for (const auto& session : std::exchange(watches_, {})) session->Wake(Since(session->after()));
}

void Service::Tick() {
  const Millis now = Now();
  if (last_tick_ > 0) {
    whole_left_ =
        std::min(options_.whole_lists, whole_left_ + options_.whole_lists * (now - last_tick_) / 1000);
  }
  last_tick_ = now;
  const int absences = leases_.absences();
  for (Command& command : leases_.Tick(now)) Propose(std::move(command), {});
  if (leases_.absences() != absences) {
    base::Log(Level::kWarning, "registry", "was_away",
              "registry: was stopped or starved; all leases begin anew");
  }
  std::map<std::string, bool> held;
  for (const Leases::Hold& hold : leases_.holds()) {
    held[hold.zone] = true;
    if (held_.contains(hold.zone)) continue;
    base::Log(Level::kWarning, "registry", "hold",
              fmt::format("registry: removals held {}: {} of {} leases lapsed together",
                          hold.zone.empty() ? "in all zones" : "in zone " + hold.zone, hold.lapsed, hold.of));
  }
  for (const auto& [zone, was] : held_) {
    if (!held.contains(zone)) {
      base::Log(Level::kInfo, "registry", "hold_ended",
                "registry: removals go on " + (zone.empty() ? "in all zones" : "in zone " + zone));
    }
  }
  held_ = std::move(held);
  if (since_.size() > 64) since_.clear();
  tick_.expires_after(Span(kTickEvery));
  tick_.async_wait([this](error_code ec) {
    if (!ec) Tick();
  });
}

std::string Service::StatusText() const {
  std::map<std::string, int> phases{{"up", 0}, {"draining", 0}, {"suspect", 0}};
  for (const auto& [id, member] : catalog_->members()) ++phases[member.suspect ? "suspect" : member.phase()];
  json holds = json::array();
  for (const Leases::Hold& hold : leases_.holds()) {
    holds.push_back({{"zone", hold.zone},
                     {"lapsed", hold.lapsed},
                     {"of", hold.of},
                     {"for_s", (Now() - hold.since) / 1000}});
  }
  return json{{"epoch", catalog_->epoch()},
              {"revision", catalog_->revision()},
              {"oldest", catalog_->oldest()},
              {"members", phases},
              {"leases", leases_.count()},
              {"overdue", leases_.overdue(Now())},
              {"holds", holds},
              {"watches", watches_.size()},
              {"connections", sessions_.size()},
              {"storage", storage_error_.empty() ? "ok" : storage_error_},
              {"log_bytes", log_bytes_},
              {"up_s", (Now() - started_) / 1000}}
      .dump();
}

std::string Service::MetricsText() const {
  std::string text;
  const auto figure = [&](const char* name, const char* type, const char* about, auto value) {
    text += fmt::format(
        "# HELP elderhead_registry_{0} {2}\n# TYPE elderhead_registry_{0} {1}\nelderhead_registry_{0} {3}\n",
        name, type, about, value);
  };
  figure("revision", "gauge", "Newest revision", catalog_->revision());
  figure("oldest_revision", "gauge", "Oldest that a watch can go on from", catalog_->oldest());
  figure("members", "gauge", "Members listed", catalog_->members().size());
  figure("leases_overdue", "gauge", "Members whose lease has lapsed", leases_.overdue(Now()));
  figure("holds", "gauge", "Zones (or all) in which removals are held", leases_.holds().size());
  figure("absences_total", "counter", "Times that this service was stopped or starved", leases_.absences());
  figure("watches", "gauge", "Watches that wait", watches_.size());
  figure("connections", "gauge", "Connections", sessions_.size());
  figure("storage_ok", "gauge", "0 while the disk takes no writes", storage_error_.empty() ? 1 : 0);
  figure("calls_total", "counter", "Requests", counts_.calls);
  figure("renewals_total", "counter", "Renewals", counts_.renewals);
  figure("writes_total", "counter", "Commands kept", counts_.writes);
  figure("syncs_total", "counter", "Syncs of the log", counts_.syncs);
  figure("whole_lists_total", "counter", "Whole lists told", counts_.lists);
  figure("list_calls_total", "counter", "Requests for the list, watches among them", counts_.list_calls);
  figure("bytes_received_total", "counter", "Bytes of requests", counts_.bytes_in);
  figure("bytes_sent_total", "counter", "Bytes of answers begun", counts_.bytes_out);
  figure("list_bytes_received_total", "counter", "The same, of requests for the list", counts_.list_bytes_in);
  figure("list_bytes_sent_total", "counter", "The same, of answers to them", counts_.list_bytes_out);
  figure("encoded_total", "counter", "Bodies encoded", counts_.encoded);
  figure("turned_away_total", "counter", "Callers told to come back", counts_.turned_away);
  figure("cut_off_total", "counter", "Readers that were too slow", counts_.cut_off);
  figure("sync_seconds_p50", "gauge", "Median of a batch on its way to the disk",
         static_cast<double>(sync_us_.Quantile(0.5)) / 1e6);
  figure("sync_seconds_p99", "gauge", "99th percentile of the same",
         static_cast<double>(sync_us_.Quantile(0.99)) / 1e6);
  return text;
}

}  // namespace elderhead::registry
