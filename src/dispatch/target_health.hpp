/** @file Whether a target works, judged by the progress of its tasks. */
#pragma once

#include "dispatch/dispatch_type.hpp"

#include <map>

namespace rattan::dispatch {

/** How far one run got between two lists of its target. */
struct progress_sample {
    step_ref step;
    millis estimate{0};       ///< Of a whole task; rough.
    std::int32_t percent = 0; ///< Gained.
    millis passed{0};
};

/** What the samples of a target say. */
enum class target_pace : std::uint8_t {
    unknown, ///< Too few tasks, or too short a time.
    working,
    slow,    ///< Several times slower than estimates can be off.
    hanging, ///< No task gets on.
};

/** A run beside those of the same step that have ended. */
struct peer_sample {
    millis elapsed{0};
    std::int32_t percent = 0; ///< Done.
    millis peers{0};          ///< Longest time that one took; 0: none ended.
};

/** Tells whether a run would end sooner if it began again elsewhere. */
bool falls_behind(const peer_sample& run);

/**
 * Collects a target's samples. Estimates are off by half and more, so tasks of
 * one step count as one witness, and one witness alone proves only a hang.
 */
class target_health {
public:
    /** Takes what one list says. */
    void add(const progress_sample& sample);

    /**
     * Judges what was added since the last verdict, and begins anew.
     * @param suspected The last verdict was bad: one witness is enough.
     */
    target_pace verdict(bool suspected);

private:
    /** One step's tasks on the target. */
    struct witness {
        millis passed{0};    ///< Of the task that was watched longest.
        double expected = 0; ///< Percent, by the estimate; sum over tasks.
        double gained = 0;   ///< Percent; sum over tasks.
    };

    std::map<step_ref, witness> witnesses_;
};

} // namespace rattan::dispatch
