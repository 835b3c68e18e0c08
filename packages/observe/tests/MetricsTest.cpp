#include <gtest/gtest.h>
#include <ridgeferry/observe/Metrics.h>

namespace ridgeferry::observe {
namespace {

TEST(MetricsTest, ExposesCountersGaugesAndSummaries)
{
  Metrics metrics;
  metrics.Count("calls_total");
  metrics.Count(WithLabel("ends_total", "result", "a\"b"), 2);
  metrics.Count(
    WithLabels("prompts_total", { { "size", "1k-2k" }, { "end", "l\\ate" } }));
  metrics.Set("queued", 3);
  for (int i = 1; i <= 1000; ++i) {
    metrics.Observe(WithLabel("seconds", "class", "urgent"), i);
  }
  const std::string text = metrics.Expose();
  for (const char* line : {
         "# TYPE ridgeferry_calls_total counter\n",
         "ridgeferry_calls_total 1\n",
         "ridgeferry_ends_total{result=\"a\\\"b\"} 2\n",
         "ridgeferry_prompts_total{size=\"1k-2k\",end=\"l\\\\ate\"} 1\n",
         "# TYPE ridgeferry_queued gauge\n",
         "ridgeferry_queued 3\n",
         "# TYPE ridgeferry_seconds summary\n",
         "ridgeferry_seconds_sum{class=\"urgent\"} 500500\n",
         "ridgeferry_seconds_count{class=\"urgent\"} 1000\n",
       }) {
    EXPECT_NE(text.find(line), std::string::npos) << line << "in\n" << text;
  }
  const std::string median =
    "ridgeferry_seconds{class=\"urgent\",quantile=\"0.5\"} ";
  const std::size_t at = text.find(median);
  ASSERT_NE(at, std::string::npos);
  EXPECT_NEAR(std::stod(text.substr(at + median.size())), 500, 25);
}

} // namespace
} // namespace ridgeferry::observe
