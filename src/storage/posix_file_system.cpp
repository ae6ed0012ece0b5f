// File system that uses POSIX system calls.
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <utility>

#include "storage/file_system.hpp"

namespace gateway::storage {
namespace {

constexpr mode_t kFileMode = 0640;

// Returns the error of a failed system call. `error` is an errno value.
Status SystemError(const char* call, const std::string& path, int error = errno) {
  return {std::error_code(error, std::generic_category()), std::string(call) + " " + path};
}

// Owns a file descriptor. A negative value means that no file is open.
class FileDescriptor {
 public:
  explicit FileDescriptor(int fd) : fd_(fd) {}
  FileDescriptor(FileDescriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  ~FileDescriptor() {
    if (fd_ >= 0) ::close(fd_);
  }
  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }

 private:
  int fd_;
};

int OpenRetrying(const std::string& path, int flags) {
  int fd = -1;
  do {
    fd = ::open(path.c_str(), flags | O_CLOEXEC, kFileMode);
  } while (fd < 0 && errno == EINTR);
  return fd;
}

class PosixFile : public File {
 public:
  PosixFile(FileDescriptor fd, std::string path) : fd_(std::move(fd)), path_(std::move(path)) {}

  Status Append(std::string_view bytes) override {
    while (!bytes.empty()) {
      const ssize_t written = ::write(fd_.get(), bytes.data(), bytes.size());
      if (written < 0 && errno == EINTR) continue;
      if (written < 0) return SystemError("write", path_);
      bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return {};
  }

  // A failed sync is not retried, not even after EINTR. A second sync could succeed although the first sync
  // has lost pages.
  Status Sync() override { return ::fdatasync(fd_.get()) == 0 ? Status{} : SystemError("sync", path_); }

 private:
  const FileDescriptor fd_;
  const std::string path_;
};

class PosixLock : public FileSystem::Lock {
 public:
  explicit PosixLock(FileDescriptor fd) : fd_(std::move(fd)) {}

 private:
  const FileDescriptor fd_;
};

class PosixFileSystem : public FileSystem {
 public:
  Status Create(const std::string& path, std::unique_ptr<File>& file) override {
    FileDescriptor fd(OpenRetrying(path, O_WRONLY | O_CREAT | O_TRUNC | O_APPEND));
    if (!fd) return SystemError("create", path);
    file = std::make_unique<PosixFile>(std::move(fd), path);
    return {};
  }

  Status Read(const std::string& path, std::uint64_t max_bytes, std::string& bytes) override {
    const FileDescriptor fd(OpenRetrying(path, O_RDONLY));
    if (!fd) return SystemError("open", path);
    struct stat file_stat {};
    if (::fstat(fd.get(), &file_stat) != 0) return SystemError("stat", path);
    if (!S_ISREG(file_stat.st_mode)) return {{}, path + " is not a regular file"};
    if (static_cast<std::uint64_t>(file_stat.st_size) > max_bytes) {
      return {{}, path + " is larger than " + std::to_string(max_bytes) + " bytes"};
    }
    bytes.assign(static_cast<std::size_t>(file_stat.st_size), '\0');
    std::size_t filled = 0;
    while (filled < bytes.size()) {
      const ssize_t count = ::read(fd.get(), bytes.data() + filled, bytes.size() - filled);
      if (count < 0 && errno == EINTR) continue;
      if (count < 0) return SystemError("read", path);
      if (count == 0) break;
      filled += static_cast<std::size_t>(count);
    }
    bytes.resize(filled);
    return {};
  }

  Status Rename(const std::string& from, const std::string& to) override {
    return ::rename(from.c_str(), to.c_str()) == 0 ? Status{} : SystemError("rename", from);
  }

  Status Remove(const std::string& path) override {
    return ::unlink(path.c_str()) == 0 ? Status{} : SystemError("remove", path);
  }

  Status SyncFolder(const std::string& folder) override {
    const FileDescriptor fd(OpenRetrying(folder, O_RDONLY | O_DIRECTORY));
    if (!fd) return SystemError("open", folder);
    return ::fsync(fd.get()) == 0 ? Status{} : SystemError("sync", folder);
  }

  Status List(const std::string& folder, bool create_missing, std::vector<std::string>& names) override {
    std::error_code ec;
    if (create_missing) std::filesystem::create_directories(folder, ec);
    if (ec) return {ec, "create " + folder};
    names.clear();
    for (std::filesystem::directory_iterator entry(folder, ec), end; !ec && entry != end;
         entry.increment(ec)) {
      names.push_back(entry->path().filename().string());
    }
    if (ec) return {ec, "list " + folder};
    std::sort(names.begin(), names.end());
    return {};
  }

  Status AcquireLock(const std::string& path, std::unique_ptr<Lock>& lock) override {
    FileDescriptor fd(OpenRetrying(path, O_RDWR | O_CREAT));
    if (!fd) return SystemError("open", path);
    if (::flock(fd.get(), LOCK_EX | LOCK_NB) != 0) {
      return errno == EWOULDBLOCK ? Status{{}, path + " is locked by another process"}
                                  : SystemError("lock", path);
    }
    lock = std::make_unique<PosixLock>(std::move(fd));
    return {};
  }
};

}  // namespace

std::unique_ptr<FileSystem> MakePosixFileSystem() { return std::make_unique<PosixFileSystem>(); }

}  // namespace gateway::storage
