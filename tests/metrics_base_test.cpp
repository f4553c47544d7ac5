#include "base/metrics_base.hpp"

#include <gtest/gtest.h>

namespace rattan {

TEST(metrics_base_test, text_contains_counters_histograms_and_process_metrics) {
    metrics_registry metrics;
    metrics.counter("requests") = 3;
    for (const std::int64_t micros : {1, 100, 1'000, 1'000'000'000})
        metrics.histogram("check").record(micros);
    const std::string text = metrics.text();
    EXPECT_NE(text.find("rattan_requests_total 3\n"), std::string::npos);
    EXPECT_NE(text.find("rattan_check_seconds_count 4\n"), std::string::npos);
    EXPECT_NE(text.find("process_cpu_seconds_total"), std::string::npos);
}

// Guards against a quote in the name of a queue that makes the text unreadable.
TEST(metrics_base_test, label_values_are_escaped) {
    EXPECT_EQ(labelled_name("wait", "queue", "q"), R"(wait{queue="q"})");
    EXPECT_EQ(labelled_name("wait", "queue", "a\"b\\c\nd"),
              R"(wait{queue="a\"b\\c\nd"})");
}

TEST(metrics_base_test, quantile_is_the_upper_edge_of_its_bucket) {
    latency_histogram histogram;
    for (int i = 0; i < 99; ++i)
        histogram.record(100);
    histogram.record(50'000);
    EXPECT_NEAR(histogram.quantile(0.5), 100, 30);
    EXPECT_NEAR(histogram.quantile(1.0), 50'000, 15'000);
}

} // namespace rattan
