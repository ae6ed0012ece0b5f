// The list service as a process: sockets round the Catalog and the Leases, with the Journal under them. A
// change is told to anyone only once it is on the disk. One thread, but for the journal's.
#ifndef ELDERHEAD_REGISTRY_SERVICE_HPP_
#define ELDERHEAD_REGISTRY_SERVICE_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "base/histogram.hpp"
#include "registry/catalog.hpp"
#include "registry/form.hpp"
#include "registry/journal.hpp"
#include "registry/leases.hpp"
#include "store/file_system.hpp"

namespace elderhead::registry {

struct ServiceOptions {
  boost::asio::ip::tcp::endpoint listen;
  std::string state_folder;
  std::string owner = "registry";  // whose the folder is
  std::string program;
  Bounds bounds;
  LeaseOptions leases;
  std::size_t callers = 8000;              // connections of gateways and members
  std::size_t operators = 64;              // beyond these, for calls of operators
  double whole_lists = 500;                // a second, at the most; more are told to come back
  std::uint64_t snapshot_after = 8 << 20;  // bytes of log
  std::string epoch;                       // for a folder that is empty
  Revision first = 0;                      // the same
};

// A file of TOML; throws base::ConfigError. `epoch` and `first` are the caller's to set.
ServiceOptions ReadServiceOptions(const std::string& path);

class Service {
 public:
  // Recovers and listens. Throws std::runtime_error if either can't be. `files` outlives it.
  Service(boost::asio::io_context& io, store::FileSystem& files, ServiceOptions options);
  ~Service();

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  const Catalog& catalog() const { return *catalog_; }

 private:
  class Session;
  friend class Session;
  using Body = std::shared_ptr<const std::string>;
  struct Proposal {
    Command command;
    std::function<void(const Outcome&)> done;
  };

  void Recover();
  void Accept();
  void Handle(const std::shared_ptr<Session>& session);
  void HandleCall(const std::shared_ptr<Session>& session, std::string_view name, const std::string& body);
  void AnswerList(const std::shared_ptr<Session>& session, std::string_view target);
  void TurnAway(const std::shared_ptr<Session>& session, const std::string& why, bool keep);
  Body Since(Revision after);
  Body Whole();
  void Gone(Session& session);

  void Propose(Command command, std::function<void(const Outcome&)> done);
  void Refuse(const std::vector<Proposal>& proposals, const char* code, const std::string& text);
  std::string NothingKept() const;
  void WriteMore();
  void AwaitWritten();
  void Finished(Journal::Written written);
  void Applied(const Command& command, const Outcome& outcome);
  void StorageFailed(const store::Status& status);
  void OpenAgain();
  void WakeWatches();
  void Tick();
  std::string StatusText() const;
  std::string MetricsText() const;

  boost::asio::io_context& io_;
  const ServiceOptions options_;
  std::optional<Catalog> catalog_;
  Leases leases_;
  std::optional<Journal> journal_;
  store::Sequence applied_ = 0;
  std::vector<Proposal> waiting_, writing_;
  std::mutex written_mutex_;
  std::optional<Journal::Written> written_;  // by the journal's thread, which rings the bell
  boost::asio::posix::stream_descriptor bell_;
  std::uint64_t bell_count_ = 0;
  std::string storage_error_;  // empty while the disk takes all
  std::uint64_t log_bytes_ = 0;

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer tick_, reopen_;
  std::unordered_set<std::shared_ptr<Session>> sessions_, watches_;
  std::size_t listing_ = 0;         // sessions that have asked for the list or renewed
  std::map<Revision, Body> since_;  // of the newest revision, by what the watcher has
  Body whole_;
  std::map<std::string, bool> held_;  // as last logged
  double whole_left_ = 0;
  base::Millis started_ = 0, last_tick_ = 0;
  struct Counts {
    std::uint64_t calls = 0, writes = 0, syncs = 0, renewals = 0, lists = 0, turned_away = 0, cut_off = 0,
                  encoded = 0, list_calls = 0, bytes_in = 0, bytes_out = 0, list_bytes_in = 0,
                  list_bytes_out = 0;
  } counts_;
  base::Histogram sync_us_;
};

}  // namespace elderhead::registry

#endif  // ELDERHEAD_REGISTRY_SERVICE_HPP_
