// Records the results of the requests of one run. Its memory does not grow with the number of requests. Has
// no I/O and no clock.
#ifndef GATEWAY_LAB_RECORDER_HPP_
#define GATEWAY_LAB_RECORDER_HPP_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "base/histogram.hpp"
#include "lab/results.hpp"
#include "lab/schedule.hpp"

namespace gateway::lab {

// The final result of a client's request, after its retries. kLate: after the objective, within the deadline.
enum class RequestResult { kInObjective, kLate, kRejected, kFailed };

class Recorder {
 public:
  // `experiment` must outlive the recorder.
  explicit Recorder(const Experiment& experiment);

  // `lateness`: how far the lab itself lags behind the schedule.
  void OnArrival(const Arrival& arrival, Millis lateness);

  // `latency`: from the scheduled time of the request to the last byte of its response, if it was served.
  void OnRequestEnd(const Arrival& arrival, RequestResult result, Millis latency);

  std::uint64_t arrived() const { return arrived_; }

  // Adds to `run` its figures, the figures of each fault, and the time series. The figures of the run exclude
  // its warm-up.
  void WriteTo(RunResult& run) const;

 private:
  struct Counts {
    std::uint64_t arrived = 0;
    std::uint64_t in_objective = 0;
    std::uint64_t late = 0;
    std::uint64_t rejected = 0;
    std::uint64_t failed = 0;

    void Add(RequestResult result);
    void Add(const Counts& other);
  };
  struct CountsWithLatency {
    Counts counts;
    base::Histogram latency;  // of served requests, in microseconds
  };

  Counts& FineWindowFor(const Arrival& arrival);
  CountsWithLatency& CoarseWindowFor(const Arrival& arrival);
  double ShareInObjective(Millis from, Millis to) const;
  bool NextFaultBegins(const Fault& fault, Millis by) const;
  Millis RecoveredAt(const Fault& fault, Millis start, double share_before) const;
  double MissedInObjective(Millis start, Millis end, double share_before) const;
  void WriteRecovery(const Fault& fault, std::size_t number, RunResult& run) const;
  void WriteClasses(RunResult& run) const;
  void WriteTotals(RunResult& run) const;
  void WriteLateness(RunResult& run) const;
  void WriteWindows(RunResult& run) const;

  const Experiment& experiment_;
  std::vector<CountsWithLatency> classes_;  // by class, without the warm-up
  std::vector<Counts> fine_windows_;
  Millis coarse_window_;  // length of each coarse window
  std::vector<std::unique_ptr<CountsWithLatency>> coarse_windows_;
  base::Histogram lateness_;  // of the lab itself, in microseconds
  std::uint64_t arrived_ = 0;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_RECORDER_HPP_
