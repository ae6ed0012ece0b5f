#include "storage/memory_file_system.hpp"

namespace gateway::storage {
namespace {

Status Missing(const std::string& path) {
  return {std::make_error_code(std::errc::no_such_file_or_directory), path};
}

}  // namespace

class MemoryFileSystem::OpenFile : public File {
 public:
  explicit OpenFile(std::shared_ptr<Node> node) : node_(std::move(node)) {}
  Status Append(std::string_view bytes) override {
    node_->bytes += bytes;
    return {};
  }
  Status Sync() override {
    node_->synced = node_->bytes.size();
    return {};
  }

 private:
  const std::shared_ptr<Node> node_;
};

class MemoryFileSystem::HeldLock : public Lock {
 public:
  HeldLock(std::shared_ptr<std::set<std::string>> locks, std::string path)
      : locks_(std::move(locks)), path_(std::move(path)) {}
  ~HeldLock() override { locks_->erase(path_); }

 private:
  const std::shared_ptr<std::set<std::string>> locks_;
  const std::string path_;
};

void MemoryFileSystem::Change(std::function<void(Names&)> change) {
  change(names_);
  pending_.push_back(std::move(change));
}

Status MemoryFileSystem::Create(const std::string& path, std::unique_ptr<File>& file) {
  const auto node = std::make_shared<Node>();
  Change([path, node](Names& names) { names[path] = node; });
  file = std::make_unique<OpenFile>(node);
  return {};
}

Status MemoryFileSystem::Read(const std::string& path, std::uint64_t most, std::string& bytes) {
  const auto found = names_.find(path);
  if (found == names_.end()) return Missing(path);
  if (found->second->bytes.size() > most) return {{}, path + " is too long"};
  bytes = found->second->bytes;
  return {};
}

Status MemoryFileSystem::Rename(const std::string& from, const std::string& to) {
  if (!names_.contains(from)) return Missing(from);
  Change([from, to](Names& names) {
    const auto found = names.find(from);
    if (found == names.end()) return;
    names[to] = found->second;
    names.erase(from);
  });
  return {};
}

Status MemoryFileSystem::Remove(const std::string& path) {
  if (!names_.contains(path)) return Missing(path);
  Change([path](Names& names) { names.erase(path); });
  return {};
}

Status MemoryFileSystem::SyncFolder(const std::string&) {
  synced_names_ = names_;
  pending_.clear();
  return {};
}

Status MemoryFileSystem::List(const std::string& folder, bool, std::vector<std::string>& names) {
  names.clear();
  for (const auto& [path, node] : names_) {
    if (path.rfind(folder + "/", 0) == 0) names.push_back(path.substr(folder.size() + 1));
  }
  return {};
}

Status MemoryFileSystem::TakeLock(const std::string& path, std::unique_ptr<Lock>& lock) {
  if (!locks_->insert(path).second) return {{}, path + " is held by another process"};
  lock = std::make_unique<HeldLock>(locks_, path);
  return {};
}

std::string* MemoryFileSystem::Bytes(const std::string& path) {
  const auto found = names_.find(path);
  return found == names_.end() ? nullptr : &found->second->bytes;
}

std::unique_ptr<MemoryFileSystem> MemoryFileSystem::Copy(const Names& names, const Loss* loss) const {
  auto copy = std::make_unique<MemoryFileSystem>();
  std::map<const Node*, std::shared_ptr<Node>> nodes;  // two names of one file stay so
  for (const auto& [path, node] : names) {
    auto& fresh = nodes[node.get()];
    if (!fresh) {
      fresh = std::make_shared<Node>(*node);
      if (loss != nullptr) {
        const std::string tail = fresh->bytes.substr(fresh->synced);
        fresh->bytes.resize(fresh->synced);
        if (loss->tail && !tail.empty()) fresh->bytes += loss->tail(tail);
        fresh->synced = fresh->bytes.size();
      }
    }
    copy->names_[path] = fresh;
  }
  copy->synced_names_ = copy->names_;
  return copy;
}

std::unique_ptr<MemoryFileSystem> MemoryFileSystem::AfterPowerLoss(const Loss& loss) const {
  Names names = synced_names_;
  for (std::size_t i = 0; i < pending_.size(); ++i) {
    if (loss.keeps && loss.keeps(i)) pending_[i](names);
  }
  return Copy(names, &loss);
}

std::unique_ptr<MemoryFileSystem> MemoryFileSystem::AfterProcessDeath() const {
  auto copy = Copy(names_, nullptr);
  // What was not synced is still not: a loss of power may follow. The old names go with the copied files.
  std::map<const Node*, std::shared_ptr<Node>> nodes;
  for (const auto& [path, node] : names_) nodes[node.get()] = copy->names_[path];
  copy->synced_names_.clear();
  for (const auto& [path, node] : synced_names_) {
    auto& fresh = nodes[node.get()];
    if (!fresh) fresh = std::make_shared<Node>(*node);
    copy->synced_names_[path] = fresh;
  }
  if (!pending_.empty()) {
    const Names now = copy->names_;
    copy->pending_.push_back([now](Names& names) { names = now; });
  }
  return copy;
}

class FaultyFileSystem::FaultyFile : public File {
 public:
  FaultyFile(FaultyFileSystem& system, std::string path, std::unique_ptr<File> below)
      : system_(system), path_(std::move(path)), below_(std::move(below)) {}
  Status Append(std::string_view bytes) override {
    const Verdict verdict = system_.hook_(Call::kAppend, path_);
    if (verdict.skip) return {};
    if (!verdict.error) return below_->Append(bytes);
    if (Status part = below_->Append(bytes.substr(0, verdict.part)); !part.ok()) return part;
    return {verdict.error, "write " + path_};
  }
  Status Sync() override {
    return system_.Ask(Call::kSync, path_, [this] { return below_->Sync(); });
  }

 private:
  FaultyFileSystem& system_;
  const std::string path_;
  const std::unique_ptr<File> below_;
};

template <typename Through>
Status FaultyFileSystem::Ask(Call call, const std::string& path, Through through) {
  const Verdict verdict = hook_(call, path);
  if (verdict.error) return {verdict.error, path};
  return verdict.skip ? Status{} : through();
}

Status FaultyFileSystem::Create(const std::string& path, std::unique_ptr<File>& file) {
  return Ask(Call::kCreate, path, [&] {
    std::unique_ptr<File> below;
    Status status = below_.Create(path, below);
    if (status.ok()) file = std::make_unique<FaultyFile>(*this, path, std::move(below));
    return status;
  });
}

Status FaultyFileSystem::Read(const std::string& path, std::uint64_t most, std::string& bytes) {
  return Ask(Call::kRead, path, [&] { return below_.Read(path, most, bytes); });
}

Status FaultyFileSystem::Rename(const std::string& from, const std::string& to) {
  return Ask(Call::kRename, from, [&] { return below_.Rename(from, to); });
}

Status FaultyFileSystem::Remove(const std::string& path) {
  return Ask(Call::kRemove, path, [&] { return below_.Remove(path); });
}

Status FaultyFileSystem::SyncFolder(const std::string& folder) {
  return Ask(Call::kSyncFolder, folder, [&] { return below_.SyncFolder(folder); });
}

Status FaultyFileSystem::List(const std::string& folder, bool make, std::vector<std::string>& names) {
  return Ask(Call::kList, folder, [&] { return below_.List(folder, make, names); });
}

Status FaultyFileSystem::TakeLock(const std::string& path, std::unique_ptr<Lock>& lock) {
  return Ask(Call::kLock, path, [&] { return below_.TakeLock(path, lock); });
}

}  // namespace gateway::storage
