/** @file An open-loop load of quick checks. */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rattan::standin {

/** What to send. */
struct load_options {
    std::vector<std::string> gates; ///< Base URLs, taken in turn.
    std::vector<std::string> keys;  ///< Taken in turn.
    std::string plan;
    int rate = 1'000; ///< Checks a second.
    int duration_ms = 5'000;
    int work_ms = 0; ///< A runner takes this long.
    int deadline_ms = 1'000;
    bool idempotent = false;
};

/** What came of it. */
struct load_report {
    std::uint64_t sent = 0;
    std::map<long, std::uint64_t> statuses; ///< 0: no answer.
    std::vector<std::int64_t> micros;       ///< Of answers 200, sorted.

    /** Latency in milliseconds of a part of the answers. */
    [[nodiscard]] double quantile_ms(double fraction) const;
};

/**
 * Sends at a fixed rate, whatever the answers do. Latencies count from the
 * time at which a check was to be sent.
 */
load_report run_load(const load_options& options);

} // namespace rattan::standin
