#include "cli/run.hpp"

#include <fmt/format.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <memory>
#include <random>
#include <stdexcept>

#include "base/clock.hpp"
#include "base/log.hpp"
#include "base/supervisor.hpp"

namespace gateway::cli {
namespace {

using base::Level;
using base::Millis;
using base::Supervisor;

constexpr int kCrashLoopExitCode = 4;
constexpr int kSignalExitCodeBase = 128;   // exit code after signal N: 128 + N
constexpr int kParentExitedExitCode = 97;  // the supervisor exited before the forked child called exec
constexpr int kExecFailedExitCode = 98;    // the forked child could not execute /bin/sh
constexpr double kMillisPerSecond = 1000;
constexpr double kNanosPerMilli = 1e6;

// Starts the command with /bin/sh. When this process ends for any reason, the kernel sends SIGTERM to the
// child.
pid_t StartProcess(const std::string& command, bool with_saved_state) {
  const std::string shell_command = "exec " + command;
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid < 0) throw std::runtime_error(std::string("can't start a process: fork: ") + std::strerror(errno));
  if (pid > 0) return pid;
  prctl(PR_SET_PDEATHSIG, SIGTERM);
  if (getppid() != parent) _exit(kParentExitedExitCode);
  sigset_t no_signals;
  sigemptyset(&no_signals);
  sigprocmask(SIG_SETMASK, &no_signals, nullptr);
  with_saved_state ? unsetenv("ELDERHEAD_WITHOUT_STATE") : setenv("ELDERHEAD_WITHOUT_STATE", "1", 1);
  execl("/bin/sh", "sh", "-c", shell_command.c_str(), nullptr);
  _exit(kExecFailedExitCode);
}

std::string StatusText(int status) {
  return WIFSIGNALED(status) ? fmt::format("signal {}", WTERMSIG(status))
                             : fmt::format("exit code {}", WEXITSTATUS(status));
}

int ExitCode(int status) {
  return WIFSIGNALED(status) ? kSignalExitCodeBase + WTERMSIG(status) : WEXITSTATUS(status);
}

bool IsSuccess(int status) { return WIFEXITED(status) && WEXITSTATUS(status) == 0; }

bool IsTerminationSignal(int signal) { return signal == SIGTERM || signal == SIGINT; }

// Blocks the signals that the supervisor waits for, so that none is missed, and returns them.
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int number : {SIGCHLD, SIGTERM, SIGINT, SIGHUP, SIGUSR1, SIGUSR2}) sigaddset(&signals, number);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

int WaitForSignal(const sigset_t& signals) {
  for (;;) {
    if (const int signal = sigwaitinfo(&signals, nullptr); signal > 0) return signal;
  }
}

// Returns 0 if no signal arrives within `timeout`.
int WaitForSignal(const sigset_t& signals, Millis timeout) {
  const timespec duration{static_cast<time_t>(timeout / kMillisPerSecond),
                          static_cast<long>(std::fmod(timeout, kMillisPerSecond) * kNanosPerMilli)};
  for (;;) {
    if (const int signal = sigtimedwait(&signals, nullptr, &duration); signal > 0) return signal;
    if (errno == EAGAIN) return 0;
  }
}

// One run of a gateway process, from its start to its exit. Times are on the monotonic clock.
struct GatewayRun {
  pid_t pid = 0;
  int status = 0;  // the status from waitpid
  Millis exited_at = 0;
  Millis duration = 0;
};

class GatewaySupervisor {
 public:
  explicit GatewaySupervisor(std::string command) : command_(std::move(command)) {}

  // Runs the gateway and restarts it as supervisor_ decides. Returns the exit code of this program.
  int Run() {
    for (;;) {
      const GatewayRun run = RunGateway();
      const Supervisor::Decision decision = supervisor_.OnProcessExit(
          {run.exited_at, run.duration, termination_requested_ || IsSuccess(run.status), with_saved_state_},
          std::uniform_real_distribution<double>()(random_));
      if (decision.action == Supervisor::Action::kStop) return ExitCode(run.status);
      if (decision.action == Supervisor::Action::kStopCrashLoop) {
        LogCrashLoop(run);
        return kCrashLoopExitCode;
      }
      with_saved_state_ = decision.action == Supervisor::Action::kRestart;
      LogCrash(run, decision.backoff);
      if (const int signal = WaitForBackoff(run.exited_at + decision.backoff))
        return kSignalExitCodeBase + signal;
    }
  }

 private:
  // Starts a gateway, forwards signals to it, and returns once it has exited.
  GatewayRun RunGateway() {
    const Millis started = base::MonotonicNow();
    GatewayRun run;
    run.pid = StartProcess(command_, with_saved_state_);
    base::Log(Level::kInfo, "run", "started",
              fmt::format("run: started process {}{}", run.pid,
                          with_saved_state_ ? "" : " without its saved state"),
              {{"process", run.pid}});
    for (bool exited = false; !exited;) {
      const int signal = WaitForSignal(signals_);
      if (signal == SIGCHLD) {
        exited = waitpid(run.pid, &run.status, WNOHANG) == run.pid;
        continue;
      }
      termination_requested_ = termination_requested_ || IsTerminationSignal(signal);
      kill(run.pid, signal);
    }
    run.exited_at = base::MonotonicNow();
    run.duration = run.exited_at - started;
    return run;
  }

  // Waits until the monotonic clock reaches `until`. Returns the termination signal that interrupted the
  // wait, or 0.
  int WaitForBackoff(Millis until) const {
    while (base::MonotonicNow() < until) {
      const int signal = WaitForSignal(signals_, std::max(0.0, until - base::MonotonicNow()));
      if (IsTerminationSignal(signal)) return signal;
    }
    return 0;
  }

  static void LogCrashLoop(const GatewayRun& run) {
    base::Log(
        Level::kError, "run", "gave_up",
        fmt::format("run: not restarting after a crash loop; the last process exited with {} after {:.0f} ms",
                    StatusText(run.status), run.duration));
  }

  void LogCrash(const GatewayRun& run, Millis backoff) const {
    base::Log(Level::kWarning, "run", "crashed",
              fmt::format("run: process {} exited with {} after {:.0f} ms; restarting in {:.0f} ms{}",
                          run.pid, StatusText(run.status), run.duration, backoff,
                          with_saved_state_ ? "" : " without its saved state"),
              {{"process", run.pid}, {"ran_ms", run.duration}, {"wait_ms", backoff}});
  }

  const std::string command_;
  const sigset_t signals_ = BlockSignals();
  Supervisor supervisor_{{}};
  std::mt19937_64 random_{std::random_device{}()};
  // Whether the running process, or during a backoff the next process, loads its saved state.
  bool with_saved_state_ = true;
  bool termination_requested_ = false;
};

}  // namespace

void AddRun(CLI::App& app, const ProgramPaths& programs, Command& selected) {
  const auto command = std::make_shared<std::string>(programs.gateway);
  CLI::App* const run = app.add_subcommand("run", "Supervises one gateway and restarts it after a crash");
  run->add_option("--command", *command, "Shell command that starts the gateway")->capture_default_str();
  run->footer(
      "Exit codes: the exit code of the command if it succeeds or exits after a termination signal, 128 + N "
      "if signal N ends the command or arrives while no gateway runs, 4 after a crash loop.\n"
      "Example: NODE_CONFIG=n3.json gatewayctl run");
  SelectWhenGiven(*run, selected, [command] { return GatewaySupervisor(*command).Run(); });
}

}  // namespace gateway::cli
