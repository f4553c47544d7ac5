#include "dispatch/target_health.hpp"

#include <algorithm>

namespace rattan::dispatch {

namespace {

constexpr millis WATCHED{300}; ///< A shorter time says too little.
constexpr double WHOLE = 100;  ///< Percent.
/** Of the progress by the estimate; estimates are off by up to five times. */
constexpr double SLOW_SHARE = 0.15;
constexpr double MOVED = 1;          ///< Percent; less is rounding.
constexpr double HANG_EXPECTED = 20; ///< Percent that should have come.
/** Times of a step's tasks differ by a third; this is far beyond it. */
constexpr double BEHIND = 1.7;
constexpr double AGAIN = 1.2;  ///< How much sooner it has to end elsewhere.
constexpr millis RESTART{300}; ///< Stop, record and start.
constexpr std::size_t FEWEST_SLOW = 3; ///< Steps that agree.

} // namespace

bool falls_behind(const peer_sample& run) {
    if (run.peers.count() <= 0 ||
        static_cast<double>(run.elapsed.count()) <
            BEHIND * static_cast<double>(run.peers.count()))
        return false;
    const double left = static_cast<double>(run.elapsed.count()) *
                        (WHOLE - run.percent) / std::max(1, run.percent);
    return left > AGAIN * static_cast<double>((run.peers + RESTART).count());
}

void target_health::add(const progress_sample& sample) {
    if (sample.estimate.count() <= 0 || sample.passed.count() <= 0)
        return;
    witness& one = witnesses_[sample.step];
    one.passed += sample.passed;
    one.expected += WHOLE * static_cast<double>(sample.passed.count()) /
                    static_cast<double>(sample.estimate.count());
    one.gained += sample.percent;
}

target_pace target_health::verdict(bool suspected) {
    std::size_t slow = 0;
    std::size_t seen = 0;
    bool moved = false;
    double expected = 0;
    for (const auto& [step, one] : witnesses_) {
        if (one.passed < WATCHED)
            continue;
        ++seen;
        expected = std::max(expected, one.expected);
        moved = moved || one.gained >= MOVED;
        if (one.gained < SLOW_SHARE * one.expected)
            ++slow;
    }
    // Long tasks move seldom: their time is summed up.
    if (seen == 0 || (!moved && expected < HANG_EXPECTED))
        return target_pace::unknown;
    witnesses_.clear();
    if (!moved)
        return target_pace::hanging;
    if (slow == seen && (suspected || seen >= FEWEST_SLOW))
        return target_pace::slow;
    return target_pace::working;
}

} // namespace rattan::dispatch
