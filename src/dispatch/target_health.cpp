#include "dispatch/target_health.hpp"

#include <algorithm>

namespace rattan::dispatch {

namespace {

/** Shorter observations are not conclusive. */
constexpr millis MIN_OBSERVATION{300};
constexpr double FULL_PERCENT = 100;
/**
 * Ratio to the expected progress below which a step is slow. Estimates may be
 * off by a factor of up to five.
 */
constexpr double SLOW_PROGRESS_RATIO = 0.15;
constexpr double MIN_PROGRESS_PERCENT = 1; ///< Less may be rounding.
/** Expected progress after which no progress means a stall. */
constexpr double STALL_EXPECTED_PERCENT = 20;
/** Run times within a step vary by a third; this ratio is far beyond that. */
constexpr double STRAGGLER_RATIO = 1.7;
/** A restart has to be faster than the remaining time by this factor. */
constexpr double RESTART_GAIN = 1.2;
constexpr millis RESTART_TIME{300};       ///< To stop, store and start a run.
constexpr std::size_t MIN_SLOW_STEPS = 3; ///< Steps that have to agree.

} // namespace

bool is_straggler(const straggler_sample& run) {
    if (run.peer_time.count() <= 0 ||
        static_cast<double>(run.elapsed.count()) <
            STRAGGLER_RATIO * static_cast<double>(run.peer_time.count()))
        return false;
    const double remaining_ms = static_cast<double>(run.elapsed.count()) *
                                (FULL_PERCENT - run.percent) /
                                std::max(1, run.percent);
    return remaining_ms >
           RESTART_GAIN *
               static_cast<double>((run.peer_time + RESTART_TIME).count());
}

void target_health::add(const progress_sample& sample) {
    if (sample.estimate.count() <= 0 || sample.elapsed.count() <= 0)
        return;
    step_progress& progress = steps_[sample.step];
    progress.elapsed += sample.elapsed;
    progress.expected_percent += FULL_PERCENT *
                                 static_cast<double>(sample.elapsed.count()) /
                                 static_cast<double>(sample.estimate.count());
    progress.gained_percent += sample.percent;
}

target_speed target_health::assess(bool was_degraded) {
    std::size_t slow = 0;
    std::size_t observed = 0;
    bool progressed = false;
    double expected_percent = 0;
    for (const auto& [step, progress] : steps_) {
        if (progress.elapsed < MIN_OBSERVATION)
            continue;
        ++observed;
        expected_percent =
            std::max(expected_percent, progress.expected_percent);
        progressed =
            progressed || progress.gained_percent >= MIN_PROGRESS_PERCENT;
        if (progress.gained_percent <
            SLOW_PROGRESS_RATIO * progress.expected_percent)
            ++slow;
    }
    // Long tasks show progress rarely, so their samples are accumulated.
    if (observed == 0 ||
        (!progressed && expected_percent < STALL_EXPECTED_PERCENT))
        return target_speed::unknown;
    steps_.clear();
    if (!progressed)
        return target_speed::stalled;
    if (slow == observed && (was_degraded || observed >= MIN_SLOW_STEPS))
        return target_speed::slow;
    return target_speed::normal;
}

} // namespace rattan::dispatch
