/** @file Work that waits for targets, by queue and organisation. */
#pragma once

#include "dispatch/dispatch_type.hpp"

#include <compare>
#include <map>
#include <set>

namespace rattan::dispatch {

/** Jobs that are ordered alike but for their times and sizes. */
struct work_group {
    queue_id queue;
    bool over_rate = false; ///< Of organisations beyond their rate.

    auto operator<=>(const work_group&) const = default;
};

/** Sum of the waiting work that is still of value. */
struct waiting_work {
    struct entry {
        int priority = 0; ///< Of the queue; 0 is the most urgent.
        std::map<organisation_id, std::int64_t> work;
    };
    std::map<work_group, entry> groups;
    /** Organisations with a waiting task that exceeds their resource limit. */
    std::set<organisation_id> at_limit;
};

} // namespace rattan::dispatch
