/** @file Assesses the speed of targets by the progress of their tasks. */
#pragma once

#include "dispatch/dispatch_type.hpp"

#include <map>

namespace rattan::dispatch {

/** Progress of a run between two polls of its target. */
struct progress_sample {
    step_ref step;
    millis estimate{0};       ///< Run time of a whole task.
    std::int32_t percent = 0; ///< Progress made in `elapsed`.
    millis elapsed{0};
};

/** Speed of a target as shown by the progress of its tasks. */
enum class target_speed : std::uint8_t {
    unknown, ///< Too few samples or too short an observation.
    normal,
    slow,    ///< Much slower than errors of the estimates could explain.
    stalled, ///< No task makes progress.
};

/** A run, compared with the completed ones of its step. */
struct straggler_sample {
    millis elapsed{0};
    std::int32_t percent = 0; ///< Progress so far.
    millis peer_time{0};      ///< Longest completed run of the step; 0: none.
};

/**
 * Tells whether a run is likely to end sooner if restarted on another target.
 */
bool is_straggler(const straggler_sample& run);

/**
 * Collects progress samples of a target. Estimates may be off by half or more
 * and share their error within a step, so the tasks of one step count as a
 * single observation, and one observation alone can show only a stall.
 */
class target_health {
public:
    /** Adds the progress of one run. */
    void add(const progress_sample& sample);

    /**
     * Assesses the samples added since the last conclusive assessment and
     * discards them if they are conclusive.
     * @param was_degraded The last assessment was slow or stalled, so a single
     * step is enough to confirm it.
     */
    target_speed assess(bool was_degraded);

private:
    /** Progress of one step's tasks on the target. */
    struct step_progress {
        millis elapsed{0};           ///< Summed over samples.
        double expected_percent = 0; ///< By the estimate; summed over samples.
        double gained_percent = 0;   ///< Summed over samples.
    };

    std::map<step_ref, step_progress> steps_;
};

} // namespace rattan::dispatch
