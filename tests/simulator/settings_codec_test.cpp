// Tests of the settings codec: which keys set which settings.
#include "simulator/settings_codec.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace gateway::simulator {
namespace {

TEST(SettingsCodec, ParsesKnownKeysAndIgnoresUnknownKeys) {
  const policy::Settings settings =
      ParseSettings({"categories.1.name=b", "categories.0.name=a", "categories.count=2",
                     "categories.0.idempotency=token", "categories.0.group=cell", "projects.0.quotaPerS=12.5",
                     "limits.retryAfter=true", "limits.maxRetryAfterMs=600.0", "familyInfo.warmKeys=true",
                     "report.fields=inflight,util", "who.knows=this"});
  ASSERT_EQ(settings.classes.size(), 2u);
  EXPECT_EQ(settings.classes[0].name, "a");
  EXPECT_EQ(settings.classes[0].idempotency, policy::Idempotency::kIdempotencyKey);
  EXPECT_EQ(settings.classes[0].deduplication_scope, policy::DeduplicationScope::kCell);
  EXPECT_EQ(settings.tenants.at(0).quota_per_second, 12.5);
  EXPECT_EQ(settings.maximum_retry_after, 600);
  EXPECT_TRUE(settings.send_retry_after && settings.endpoints_cache_keys);
  EXPECT_EQ(settings.load_report_fields, (std::vector<std::string>{"inflight", "util"}));
}

}  // namespace
}  // namespace gateway::simulator
