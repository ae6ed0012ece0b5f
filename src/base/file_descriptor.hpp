// A class that owns a file descriptor.
#ifndef GATEWAY_BASE_FILE_DESCRIPTOR_HPP_
#define GATEWAY_BASE_FILE_DESCRIPTOR_HPP_

#include <unistd.h>

#include <utility>

namespace gateway::base {

// Owns at most one file descriptor. Closes the descriptor when the object is destroyed or assigned to. A
// default-constructed object is empty: it owns no descriptor.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  // Takes ownership of `fd`. A negative `fd` creates an empty object.
  explicit FileDescriptor(int fd) : fd_(fd) {}
  FileDescriptor(FileDescriptor&& other) noexcept : fd_(other.Release()) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    if (this == &other) return *this;
    Close();
    fd_ = other.Release();
    return *this;
  }
  ~FileDescriptor() { Close(); }

  explicit operator bool() const { return fd_ >= 0; }
  // Returns the descriptor, or -1 if this object is empty.
  int get() const { return fd_; }
  // Transfers ownership to the caller and leaves this object empty.
  int Release() { return std::exchange(fd_, -1); }

 private:
  void Close() {
    if (fd_ >= 0) ::close(fd_);
  }

  int fd_ = -1;
};

}  // namespace gateway::base

#endif  // GATEWAY_BASE_FILE_DESCRIPTOR_HPP_
