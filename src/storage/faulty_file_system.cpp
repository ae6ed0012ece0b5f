#include "storage/faulty_file_system.hpp"

namespace gateway::storage {

class FaultyFileSystem::FaultyFile : public File {
 public:
  FaultyFile(FaultyFileSystem& system, std::string path, std::unique_ptr<File> underlying)
      : system_(system), path_(std::move(path)), underlying_(std::move(underlying)) {}
  Status Append(std::string_view bytes) override {
    const Fault fault = system_.hook_(Call::kAppend, path_);
    if (fault.skip) return {};
    if (!fault.error) return underlying_->Append(bytes);
    if (Status partial = underlying_->Append(bytes.substr(0, fault.partial_bytes)); !partial.ok())
      return partial;
    return {fault.error, "write " + path_};
  }
  Status Sync() override {
    return system_.Run(Call::kSync, path_, [this] { return underlying_->Sync(); });
  }

 private:
  FaultyFileSystem& system_;
  const std::string path_;
  const std::unique_ptr<File> underlying_;
};

template <typename Forward>
Status FaultyFileSystem::Run(Call call, const std::string& path, Forward forward) {
  const Fault fault = hook_(call, path);
  if (fault.error) return {fault.error, path};
  return fault.skip ? Status{} : forward();
}

Status FaultyFileSystem::Create(const std::string& path, std::unique_ptr<File>& file) {
  return Run(Call::kCreate, path, [&] {
    std::unique_ptr<File> underlying;
    Status status = underlying_.Create(path, underlying);
    if (status.ok()) file = std::make_unique<FaultyFile>(*this, path, std::move(underlying));
    return status;
  });
}

Status FaultyFileSystem::Read(const std::string& path, std::uint64_t max_bytes, std::string& bytes) {
  return Run(Call::kRead, path, [&] { return underlying_.Read(path, max_bytes, bytes); });
}

Status FaultyFileSystem::Rename(const std::string& from, const std::string& to) {
  return Run(Call::kRename, from, [&] { return underlying_.Rename(from, to); });
}

Status FaultyFileSystem::Remove(const std::string& path) {
  return Run(Call::kRemove, path, [&] { return underlying_.Remove(path); });
}

Status FaultyFileSystem::SyncFolder(const std::string& folder) {
  return Run(Call::kSyncFolder, folder, [&] { return underlying_.SyncFolder(folder); });
}

Status FaultyFileSystem::List(const std::string& folder, bool create_missing,
                              std::vector<std::string>& names) {
  return Run(Call::kList, folder, [&] { return underlying_.List(folder, create_missing, names); });
}

Status FaultyFileSystem::AcquireLock(const std::string& path, std::unique_ptr<Lock>& lock) {
  return Run(Call::kLock, path, [&] { return underlying_.AcquireLock(path, lock); });
}

}  // namespace gateway::storage
