// Counts what became of the requests, in bounded memory whatever their number. No I/O, no clock.
#ifndef GATEWAY_LAB_RECORDER_HPP_
#define GATEWAY_LAB_RECORDER_HPP_

#include <memory>
#include <vector>

#include "base/histogram.hpp"
#include "lab/results.hpp"
#include "lab/schedule.hpp"

namespace gateway::lab {

enum class End { kInAim, kLate, kRefused, kFailed };

class Recorder {
 public:
  explicit Recorder(const Experiment& experiment);

  void Arrived(const Arrival& arrival, Millis late_by);  // late_by: the lab's own delay behind the schedule
  // A request has ended, with its retries; `took`: from its scheduled time to the last byte, where it was
  // served.
  void Ended(const Arrival& arrival, End end, Millis took);
  std::uint64_t arrived() const { return arrived_; }

  // Adds the figures of the whole play but its warm-up, of each fault, and the series.
  void Write(Play& play) const;

 private:
  struct Count {
    std::uint64_t arrived = 0, in_aim = 0, late = 0, refused = 0, failed = 0;
  };
  struct ClassFigures {
    Count count;
    base::Histogram latency;  // microseconds
  };
  static void Add(Count& count, End end);
  double Share(Millis from,
               Millis to) const;  // in aim, of those that arrived then; negative: too few arrived
  void WriteRecovery(const Fault& fault, std::size_t number, Play& play) const;

  const Experiment& experiment_;
  std::vector<ClassFigures> classes_;
  std::vector<Count> fine_;  // windows of kFine ms
  struct Coarse {
    Count count;
    base::Histogram latency;
  };
  Millis coarse_width_;
  std::vector<std::unique_ptr<Coarse>> coarse_;
  base::Histogram lateness_;
  std::uint64_t arrived_ = 0;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_RECORDER_HPP_
