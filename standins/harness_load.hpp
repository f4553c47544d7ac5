/** @file An open-loop load generator for quick checks. */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rattan::standin {

struct load_options {
    std::vector<std::string> gates; ///< Base URLs, taken in turn.
    std::vector<std::string> keys;  ///< Taken in turn.
    std::string plan;
    int checks_per_s = 1'000; ///< Send rate.
    int duration_ms = 5'000;
    int work_ms = 0; ///< Execution time at the runner.
    int deadline_ms = 1'000;
    bool idempotent = false;
};

struct load_report {
    std::uint64_t sent = 0;
    std::map<long, std::uint64_t>
        statuses; ///< Count by HTTP status; 0: no response.
    std::vector<std::int64_t>
        latencies_us; ///< Of responses with status 200, sorted.

    /** Latency quantile in milliseconds; 0 without any response. */
    [[nodiscard]] double quantile_ms(double fraction) const;
};

/**
 * Sends at a fixed rate, independent of the responses. Latencies are measured
 * from the scheduled send time of each check.
 */
load_report run_load(const load_options& options);

} // namespace rattan::standin
