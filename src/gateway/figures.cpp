#include "figures.hpp"

#include <nlohmann/json.hpp>

namespace opalswitch::gateway {

Figures::Figures(const Settings& settings) {
  for (const ClassSettings& c : settings.classes) classes_[c.name];
}

void Figures::Answered(const std::string& class_name, unsigned status, bool whole) {
  const auto found = classes_.find(class_name);
  if (found == classes_.end()) return;
  Counts& counts = found->second;
  ++(!whole                           ? counts.errors
     : status == 200                  ? counts.ok
     : status == 429 || status == 503 ? counts.shed
                                      : counts.errors);
}

std::string Figures::ToJson(std::size_t active, std::size_t pool_size, std::size_t pool_ejected) const {
  nlohmann::ordered_json all;
  nlohmann::ordered_json& responses = all["responses"] = nlohmann::ordered_json::object();
  for (const auto& [name, c] : classes_) {
    responses[name] = {{"ok", c.ok}, {"shed", c.shed}, {"errors", c.errors}};
  }
  all["tries"] = tries_;
  all["active"] = active;
  all["pool_size"] = pool_size;
  all["pool_ejected"] = pool_ejected;
  return all.dump();
}

}  // namespace opalswitch::gateway
