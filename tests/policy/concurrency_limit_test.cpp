// Tests of the number of concurrent attempts that are sent to an endpoint.
#include <gtest/gtest.h>

#include <cstddef>
#include <limits>
#include <string>

#include "fake_gateway.hpp"

namespace gateway::policy::testing {
namespace {

TEST(ConcurrencyLimitTest, QueuesRequestsAboveTheLimit) {
  FakeGateway gateway;
  gateway.AddEndpoints(1);
  gateway.ServeRequests(40);
  int sent = 0;
  for (int i = 0; i < 200; ++i) {
    sent += FakeGateway::CountActions<Send>(gateway.SendRequest("r" + std::to_string(i)));
  }
  EXPECT_GE(sent, 1);
  EXPECT_LT(sent, 60);
}

TEST(ConcurrencyLimitTest, LimitsRequestsBeyondQuotaWhenEndpointIsBusy) {
  Settings settings = MakeSettings();
  settings.tenants = {{"small", 1000}, {"big", 0.001}};
  settings.load_report_fields = {"util"};
  const auto sent_at_once = [&](const char* tenant, double utilization) {
    FakeGateway gateway(settings);
    gateway.AddEndpoints(1);
    for (int i = 0; i < 100; ++i) {
      const std::string id = "w" + std::to_string(i);
      gateway.SendRequest(id, "view", 2000, "small");
      gateway.now += 20;
      gateway.Handle(AttemptOutcome{id, 0, "s0", AttemptResult::kServed, true, 20, {utilization}});
    }
    int sent = 0;
    // Consumes the token of the tenant "big" if it has one, so that its further requests are beyond quota.
    gateway.SendRequest("own", "view", 2000, "big");
    gateway.FinishAttempt("own", "s0", AttemptResult::kServed, 20);
    for (int i = 0; i < 30; ++i) {
      sent +=
          FakeGateway::CountActions<Send>(gateway.SendRequest("r" + std::to_string(i), "view", 2000, tenant));
    }
    return sent;
  };
  EXPECT_GE(sent_at_once("small", 0.8), 2);
  EXPECT_LT(sent_at_once("big", 0.8), sent_at_once("small", 0.8));
  EXPECT_EQ(sent_at_once("big", 0.3), sent_at_once("small", 0.3));
}

// Serves 60 requests one after the other. The first response reports the utilization `first_utilization`, and
// the other responses report `utilization`. Then 30 requests arrive at the same time. Returns the number of
// attempts that are sent for these 30 requests.
int SentAfterLoadReports(double utilization, double first_utilization = 0.5) {
  constexpr int kReports = 60;
  Settings settings = MakeSettings();
  settings.load_report_fields = {"inflight", "util"};
  FakeGateway gateway(settings);
  gateway.AddEndpoints(1);
  int reports = 0;
  for (int i = 0; reports < kReports && i < 20 * kReports; ++i) {
    const std::string id = "r" + std::to_string(i);
    const bool sent = !FakeGateway::SentEndpoint(gateway.SendRequest(id)).empty();
    gateway.AdvanceTime(50);
    if (!sent) continue;
    gateway.Handle(AttemptOutcome{
        id, 0, "s0", AttemptResult::kServed, true, 50, {3, reports == 0 ? first_utilization : utilization}});
    ++reports;
  }
  gateway.AdvanceTime(5000);
  int in_flight = 0;
  for (int i = 0; i < 30; ++i) {
    in_flight += FakeGateway::CountActions<Send>(gateway.SendRequest("burst" + std::to_string(i)));
  }
  return in_flight;
}

TEST(ConcurrencyLimitTest, LowersLimitWhenEndpointReportsHighUtilization) {
  const int sent_at_half_load = SentAfterLoadReports(0.5);
  const int sent_at_full_load = SentAfterLoadReports(1.0);
  EXPECT_GE(sent_at_half_load, 2);
  EXPECT_EQ(sent_at_full_load, 1);  // at least 1, so that the gateway notices when the endpoint recovers
}

TEST(ConcurrencyLimitTest, ReservesMoreCapacityWithManyGateways) {
  // With few gateways, a utilization of 0.85 is acceptable. With eight gateways it is too high, since each
  // gateway sends attempts without knowledge of the other gateways.
  const auto count_sends = [](double utilization) {
    Settings settings = MakeSettings();
    settings.gateway_count = 8;
    settings.load_report_fields = {"util"};
    FakeGateway gateway(settings);
    gateway.AddEndpoints(1);
    std::size_t finished = 0;
    for (int i = 0; i < 4000; ++i) {
      gateway.SendRequest("r" + std::to_string(i));
      gateway.AdvanceTime(50);
      for (; finished < gateway.sent.size(); ++finished) {
        gateway.Handle(AttemptOutcome{
            gateway.sent[finished].request, 0, "s0", AttemptResult::kServed, true, 50, {utilization}});
      }
    }
    return finished;
  };
  EXPECT_GT(count_sends(0.6), 2 * count_sends(0.85)) << count_sends(0.85);
}

TEST(ConcurrencyLimitTest, IgnoresIncompleteOrInvalidLoadReports) {
  const double nan = std::numeric_limits<double>::quiet_NaN();
  EXPECT_EQ(SentAfterLoadReports(1.0, nan), 1);  // the valid reports after the invalid one still count
  EXPECT_EQ(SentAfterLoadReports(1.0, -1e9), 1);
  Settings settings = MakeSettings();
  settings.load_report_fields = {"inflight", "util"};
  FakeGateway gateway(settings);
  gateway.AddEndpoints(1);
  gateway.SendRequest("short");
  gateway.Handle(AttemptOutcome{"short", 0, "s0", AttemptResult::kServed, true, 50, {3}});
  EXPECT_FALSE(FakeGateway::SentEndpoint(gateway.SendRequest("next")).empty());
}

TEST(ConcurrencyLimitTest, InitialLimitIsHigherWithKeyCachingAndLowerWithLoadReports) {
  const auto sent_at_once = [](bool endpoints_cache_keys, bool reports) {
    Settings settings = MakeSettings();
    settings.endpoints_cache_keys = endpoints_cache_keys;
    if (reports) settings.load_report_fields = {"util"};
    FakeGateway gateway(settings);
    gateway.AddEndpoints(1);
    int sent = 0;
    for (int i = 0; i < 40; ++i) {
      sent += FakeGateway::CountActions<Send>(gateway.SendRequest("r" + std::to_string(i)));
    }
    return sent;
  };
  EXPECT_GT(sent_at_once(true, false), sent_at_once(false, false));
  EXPECT_LT(sent_at_once(false, true), sent_at_once(false, false));
}

}  // namespace
}  // namespace gateway::policy::testing
