// Validation of the settings.
#include <gtest/gtest.h>

#include <stdexcept>
#include <string>

#include "fake_gateway.hpp"

namespace gateway::policy::testing {
namespace {

TEST(SettingsTest, ErrorNamesTheInvalidField) {
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

}  // namespace
}  // namespace gateway::policy::testing
