#include "lab/experiment.hpp"

namespace gateway::lab {

Experiment Experiment::WithoutFaults() const {
  Experiment without = *this;
  std::erase_if(without.faults, [](const Fault& fault) { return fault.kind != FaultKind::kBurst; });
  return without;
}

int Experiment::HostCount() const {
  int count = 0;
  for (const HostGroup& group : host_groups) count += group.count;
  return count;
}

double Experiment::Capacity() const {
  constexpr double kMillisPerSecond = 1000;
  double work = 0;
  double shares = 0;
  for (const TrafficClass& traffic_class : classes) {
    work += traffic_class.share * traffic_class.work;
    shares += traffic_class.share;
  }
  double cores = 0;  // equivalent number of cores of speed 1
  for (const HostGroup& group : host_groups) cores += group.count * group.cores * group.speed;
  return work > 0 ? cores * kMillisPerSecond * shares / work : 0;
}

}  // namespace gateway::lab
