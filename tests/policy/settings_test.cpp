// Tests of the validation of settings.
#include "policy/settings.hpp"

#include <gtest/gtest.h>

#include <stdexcept>
#include <string>

#include "fake_gateway.hpp"

namespace gateway::policy::testing {
namespace {

TEST(SettingsTest, ErrorTextContainsTheNameOfTheInvalidField) {
  const auto error_text = [](auto change) -> std::string {
    Settings settings = MakeSettings();
    change(settings);
    try {
      Policy policy(settings, 1);
    } catch (const std::invalid_argument& error) {
      return error.what();
    }
    return "";
  };
  EXPECT_NE(error_text([](Settings& settings) { settings.classes.clear(); }).find("classes"),
            std::string::npos);
  EXPECT_NE(error_text([](Settings& settings) { settings.classes[0].deadline = 0; }).find("deadline"),
            std::string::npos);
  EXPECT_NE(error_text([](Settings& settings) {
              settings.classes[0].latency_objective = -1;
            }).find("latency_objective"),
            std::string::npos);
  EXPECT_NE(error_text([](Settings& settings) {
              settings.tenants = {{"t", -1}};
            }).find("quota"),
            std::string::npos);
  EXPECT_NE(error_text([](Settings& settings) { settings.gateway_count = 0; }).find("gateway_count"),
            std::string::npos);
  EXPECT_EQ(error_text([](Settings&) {}), "");
}

TEST(SettingsTest, ErrorFieldIsTheNameOfTheInvalidField) {
  const auto expect_field = [](const std::string& field, void (*invalidate)(Settings&)) {
    Settings settings = MakeSettings();
    invalidate(settings);
    try {
      ValidateSettings(settings);
      ADD_FAILURE() << "ValidateSettings accepted an invalid value of " << field;
    } catch (const SettingsError& error) {
      EXPECT_EQ(error.field(), field);
    }
  };
  expect_field("classes", [](Settings& s) { s.classes.clear(); });
  expect_field("classes", [](Settings& s) { s.classes.resize(65, s.classes[0]); });
  expect_field("classes.deadline", [](Settings& s) { s.classes[2].deadline = 0; });
  expect_field("classes.latency_objective", [](Settings& s) { s.classes[2].latency_objective = 0; });
  expect_field("classes.priority_weight", [](Settings& s) { s.classes[2].priority_weight = -1; });
  expect_field("classes.late_weight", [](Settings& s) { s.classes[2].late_weight = -1; });
  expect_field("classes.deduplication_window", [](Settings& s) { s.classes[2].deduplication_window = -1; });
  expect_field("tenants.quota_per_second", [](Settings& s) { s.tenants = {{"t", -1}}; });
  expect_field("gateway_count", [](Settings& s) { s.gateway_count = 0; });
  expect_field("max_attempts", [](Settings& s) { s.max_attempts = 0; });
  expect_field("streams_per_connection", [](Settings& s) { s.streams_per_connection = 0; });
  expect_field("maximum_poll_interval", [](Settings& s) { s.maximum_poll_interval = 0; });
  expect_field("maximum_retry_after", [](Settings& s) { s.maximum_retry_after = -1; });
  expect_field("warm_up_initial_fraction", [](Settings& s) { s.warm_up_initial_fraction = 1.1; });
  expect_field("warm_up_duration", [](Settings& s) { s.warm_up_duration = -1; });
  expect_field("overload_factor", [](Settings& s) { s.overload_factor = 0; });
}

}  // namespace
}  // namespace gateway::policy::testing
