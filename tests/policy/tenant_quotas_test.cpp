// Tests of how requests within and beyond the quota of their tenant are treated.
#include "policy/tenant_quotas.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

#include "fake_gateway.hpp"

namespace gateway::policy::testing {
namespace {

TEST(TenantQuotasTest, SendsRequestsWithinQuotaFirst) {
  Settings settings = MakeSettings();
  settings.tenants = {{"small", 10}, {"big", 10}};
  FakeGateway gateway(settings);
  for (int i = 0; i < 20; ++i) gateway.SendRequest("big" + std::to_string(i), "view", 2000, "big");
  gateway.now += 150;
  gateway.SendRequest("small", "view", 2000, "small");
  gateway.AddEndpoints(1);
  // The order is: requests of the tenant "big" within its quota, the request of the tenant "small", requests
  // of "big" beyond its quota.
  ASSERT_FALSE(gateway.sent.empty());
  std::vector<std::string> order;
  for (std::size_t i = 0; i < gateway.sent.size(); ++i) {
    order.push_back(gateway.sent[i].request);
    gateway.FinishAttempt(gateway.sent[i].request, "s0", AttemptResult::kServed, 20);
  }
  const auto position = std::find(order.begin(), order.end(), "small") - order.begin();
  EXPECT_LE(position, 12);
  EXPECT_EQ(order.size(), 21u);
}

TEST(TenantQuotasTest, SendsRequestOfUnknownTenantAfterRequestsWithinQuota) {
  Settings settings = MakeSettings();
  settings.tenants = {{"known", 100}};
  FakeGateway gateway(settings);
  gateway.SendRequest("of_unknown_tenant", "view", 2000, "unknown");
  gateway.SendRequest("of_known_tenant", "view", 2000, "known");
  gateway.AddEndpoints(1);
  gateway.AdvanceTime(10);
  ASSERT_EQ(gateway.sent.size(), 2u);
  EXPECT_EQ(gateway.sent[0].request, "of_known_tenant");
}

TEST(TenantQuotasTest, AllowsTwoRequestsAtOnceWhenShareOfQuotaIsBelowOnePerSecond) {
  Settings settings = MakeSettings();
  settings.gateway_count = 300;
  settings.tenants = {{"t", 30}};  // the share of each gateway is 0.1 requests per second
  FakeGateway gateway(settings);
  gateway.AddEndpoints(3);
  // Failed requests of another tenant raise the failure rate, so that no request beyond quota is sent.
  for (int i = 0; i < 20; ++i) {
    const std::string id = "f" + std::to_string(i);
    if (const std::string endpoint = FakeGateway::SentEndpoint(gateway.SendRequest(id, "pay", 2000, "other"));
        !endpoint.empty()) {
      gateway.now += 50;
      gateway.FinishAttempt(id, endpoint, AttemptResult::kError, 50);
    }
  }
  gateway.now += 20000;
  EXPECT_EQ(FakeGateway::CountActions<Send>(gateway.SendRequest("a", "view", 2000, "t")), 1);
  EXPECT_EQ(FakeGateway::CountActions<Send>(gateway.SendRequest("b", "view", 2000, "t")), 1);
  EXPECT_EQ(FakeGateway::CountActions<Send>(gateway.SendRequest("beyond_quota", "view", 2000, "other")), 0);
}

TEST(TenantQuotasTest, GrantsAnEqualShareOfTheQuotaToEachGateway) {
  Settings settings = MakeSettings();
  settings.gateway_count = 2;
  settings.tenants = {{"limited", 10}, {"unlimited", 0}};
  TenantQuotas quotas(settings);
  for (int i = 0; i < 5; ++i)
    EXPECT_TRUE(quotas.TakeToken("limited", 100000)) << "a share of 5 per second allows 5 requests at once";
  EXPECT_FALSE(quotas.TakeToken("limited", 100199));
  EXPECT_TRUE(quotas.TakeToken("limited", 100201));
  for (int i = 0; i < 100; ++i) EXPECT_TRUE(quotas.TakeToken("unlimited", 0));
  EXPECT_FALSE(quotas.TakeToken("unknown", 100000));
}

}  // namespace
}  // namespace gateway::policy::testing
