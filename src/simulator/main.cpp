// simulator_adapter: runs policies for the simulator. Reads lines of the wire protocol from standard input
// and writes replies to standard output. Exits with 0 at the end of the input, and with 1 after an error.
// Prints an error as one line on standard error, with the number of the input line if this line is invalid.
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <stdexcept>
#include <string>
#include <string_view>

#include "simulator/policy_host.hpp"

namespace {

constexpr std::size_t kChunkBytes = 64 * 1024;

// Thrown if standard output can't be written because the simulator has exited. The program then exits without
// an error message.
class OutputClosed : public std::exception {};

// Returns the number of bytes read into `chunk`, or 0 at the end of the input.
std::size_t ReadInput(std::string& chunk) {
  for (;;) {
    const ssize_t count = read(STDIN_FILENO, chunk.data(), chunk.size());
    if (count >= 0) return static_cast<std::size_t>(count);
    if (errno != EINTR)
      throw std::runtime_error(std::string("can't read standard input: ") + std::strerror(errno));
  }
}

void WriteOutput(std::string_view text) {
  while (!text.empty()) {
    const ssize_t written = write(STDOUT_FILENO, text.data(), text.size());
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) throw OutputClosed();
    text.remove_prefix(static_cast<std::size_t>(written));
  }
}

// Splits the input into lines, passes the lines to the policy host and writes the replies of the host.
class LineProcessor {
 public:
  // Throws std::runtime_error with the line number if the policy host rejects a line.
  void Process(std::string_view input) {
    pending_ += input;
    std::size_t start = 0;
    for (std::size_t end; (end = pending_.find('\n', start)) != std::string::npos; start = end + 1) {
      ++line_number_;
      ProcessLine(std::string_view(pending_).substr(start, end - start));
    }
    pending_.erase(0, start);
  }

  // Must be called at the end of the input. Throws std::runtime_error if the input ends inside a line or a
  // batch.
  void Finish() {
    if (!pending_.empty()) Fail(line_number_ + 1, "input ends inside a line");
    if (host_.InBatch()) Fail(line_number_, "input ends inside a batch");
  }

 private:
  [[noreturn]] static void Fail(unsigned long long line_number, const std::string& text) {
    throw std::runtime_error("line " + std::to_string(line_number) + ": " + text);
  }

  void ProcessLine(std::string_view line) {
    try {
      host_.ProcessLine(line);
    } catch (const std::exception& error) {
      Fail(line_number_, error.what());
    }
    WriteOutput(host_.TakeReply());
  }

  gateway::simulator::PolicyHost host_;
  std::string pending_;  // received bytes of a line whose line feed has not been received
  unsigned long long line_number_ = 0;
};

}  // namespace

int main() {
  try {
    LineProcessor processor;
    std::string chunk(kChunkBytes, '\0');
    while (const std::size_t count = ReadInput(chunk)) {
      processor.Process(std::string_view(chunk).substr(0, count));
    }
    processor.Finish();
  } catch (const OutputClosed&) {
    return 1;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "simulator_adapter: %s\n", error.what());
    return 1;
  }
  return 0;
}
