// What operators read: plain counters, raised where the thing happens. Each process counts from 0.
#ifndef OPALSWITCH_GATEWAY_FIGURES_HPP_
#define OPALSWITCH_GATEWAY_FIGURES_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "opalswitch/policy.hpp"

namespace opalswitch::gateway {

class Figures {
 public:
  explicit Figures(const Settings& settings);

  // A request of the class has ended with an answer of this status, whose last byte was written; a broken one
  // has failed whatever its status.
  void Answered(const std::string& class_name, unsigned status, bool whole = true);
  // An attempt's last byte was written to a host.
  void Tried() { ++tries_; }

  // One line of JSON. What is no counter is handed in: requests under way, hosts listed, hosts avoided.
  std::string ToJson(std::size_t active, std::size_t pool_size, std::size_t pool_ejected) const;

 private:
  struct Counts {
    std::uint64_t ok = 0, shed = 0, errors = 0;
  };
  std::map<std::string, Counts> classes_;  // every class of the settings, from the start
  std::uint64_t tries_ = 0;
};

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_GATEWAY_FIGURES_HPP_
