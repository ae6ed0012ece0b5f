#include "storage/memory_file_system.hpp"

namespace gateway::storage {
namespace {

Status NotFound(const std::string& path) {
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

void MemoryFileSystem::ApplyChange(std::function<void(Names&)> change) {
  change(names_);
  pending_changes_.push_back(std::move(change));
}

Status MemoryFileSystem::Create(const std::string& path, std::unique_ptr<File>& file) {
  const auto node = std::make_shared<Node>();
  ApplyChange([path, node](Names& names) { names[path] = node; });
  file = std::make_unique<OpenFile>(node);
  return {};
}

Status MemoryFileSystem::Read(const std::string& path, std::uint64_t max_bytes, std::string& bytes) {
  const auto found = names_.find(path);
  if (found == names_.end()) return NotFound(path);
  if (found->second->bytes.size() > max_bytes)
    return {{}, path + " is larger than " + std::to_string(max_bytes) + " bytes"};
  bytes = found->second->bytes;
  return {};
}

Status MemoryFileSystem::Rename(const std::string& from, const std::string& to) {
  if (!names_.contains(from)) return NotFound(from);
  ApplyChange([from, to](Names& names) {
    const auto found = names.find(from);
    if (found == names.end()) return;
    names[to] = found->second;
    names.erase(from);
  });
  return {};
}

Status MemoryFileSystem::Remove(const std::string& path) {
  if (!names_.contains(path)) return NotFound(path);
  ApplyChange([path](Names& names) { names.erase(path); });
  return {};
}

Status MemoryFileSystem::SyncFolder(const std::string&) {
  synced_names_ = names_;
  pending_changes_.clear();
  return {};
}

Status MemoryFileSystem::List(const std::string& folder, bool, std::vector<std::string>& names) {
  names.clear();
  for (const auto& [path, node] : names_) {
    if (path.rfind(folder + "/", 0) == 0) names.push_back(path.substr(folder.size() + 1));
  }
  return {};
}

Status MemoryFileSystem::AcquireLock(const std::string& path, std::unique_ptr<Lock>& lock) {
  if (!locks_->insert(path).second) return {{}, path + " is locked by another process"};
  lock = std::make_unique<HeldLock>(locks_, path);
  return {};
}

std::string* MemoryFileSystem::Content(const std::string& path) {
  const auto found = names_.find(path);
  return found == names_.end() ? nullptr : &found->second->bytes;
}

std::unique_ptr<MemoryFileSystem> MemoryFileSystem::Copy(const Names& names, const PowerLoss* loss) const {
  auto copy = std::make_unique<MemoryFileSystem>();
  std::map<const Node*, std::shared_ptr<Node>> nodes;  // copy by original; all names of a file share one copy
  for (const auto& [path, node] : names) {
    auto& copied = nodes[node.get()];
    if (!copied) {
      copied = std::make_shared<Node>(*node);
      if (loss != nullptr) {
        const std::string tail = copied->bytes.substr(copied->synced);
        copied->bytes.resize(copied->synced);
        if (loss->surviving_tail && !tail.empty()) copied->bytes += loss->surviving_tail(tail);
        copied->synced = copied->bytes.size();
      }
    }
    copy->names_[path] = copied;
  }
  copy->synced_names_ = copy->names_;
  return copy;
}

std::unique_ptr<MemoryFileSystem> MemoryFileSystem::AfterPowerLoss(const PowerLoss& loss) const {
  Names names = synced_names_;
  for (std::size_t i = 0; i < pending_changes_.size(); ++i) {
    if (loss.keeps_change && loss.keeps_change(i)) pending_changes_[i](names);
  }
  return Copy(names, &loss);
}

std::unique_ptr<MemoryFileSystem> MemoryFileSystem::AfterProcessDeath() const {
  auto copy = Copy(names_, nullptr);
  // In the copy, unsynced changes are still unsynced, because a power loss may follow. The synced names of
  // the copy refer to the copied files.
  std::map<const Node*, std::shared_ptr<Node>> nodes;
  for (const auto& [path, node] : names_) nodes[node.get()] = copy->names_[path];
  copy->synced_names_.clear();
  for (const auto& [path, node] : synced_names_) {
    auto& copied = nodes[node.get()];
    if (!copied) copied = std::make_shared<Node>(*node);
    copy->synced_names_[path] = copied;
  }
  if (!pending_changes_.empty()) {
    const Names now = copy->names_;
    copy->pending_changes_.push_back([now](Names& names) { names = now; });
  }
  return copy;
}

}  // namespace gateway::storage
