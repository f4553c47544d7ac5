/** @file Until when the leases of an owner last after it has resigned. */
#pragma once

#include "rattan/unit_type.hpp"

#include "dispatch/dispatch_type.hpp"

#include <optional>
#include <vector>

namespace rattan::dispatch {

/**
 * What an owner that resigns knows about the leases granted by itself and by
 * earlier owners. Times count from the resignation. Without it, each new owner
 * would wait for the leases of all earlier ones again.
 */
struct lease_handover {
    /** A target that does not answer. */
    struct silent_target {
        target_id target;
        std::int64_t incarnation = 0;
        millis remaining{0}; ///< Its leases have ended after this time.
    };

    /** The leases of all targets have ended after this time. */
    millis remaining{0};
    /** Targets whose leases end earlier than that. */
    std::vector<silent_target> silent;
    /**
     * No start that had no answer so far can be carried out after this time.
     * Nothing: not known.
     */
    std::optional<millis> starts;
};

} // namespace rattan::dispatch
