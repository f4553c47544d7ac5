/** @file Expected waits of new jobs, as the owner tells them to all hosts. */
#pragma once

#include "dispatch/dispatch_type.hpp"

#include <optional>
#include <vector>

namespace rattan::dispatch {

/** Time until work of a new job of a queue is placed. */
struct queue_wait {
    queue_id queue;
    /** Nothing if it is not known or short. */
    std::optional<millis> wait;
    /** The same for an organisation that is beyond its submission rate. */
    std::optional<millis> over_rate_wait;

    bool operator==(const queue_wait&) const = default;
};

/** Time for which a new job waits for the resource limit of its organisation.
 */
struct organisation_wait {
    organisation_id organisation;
    queue_id queue;
    millis wait{0};

    bool operator==(const organisation_wait&) const = default;
};

/** Expected waits of all queues. What is missing is not known or short. */
struct expected_waits {
    std::vector<queue_wait> queues;
    std::vector<organisation_wait> organisations;
    /** Organisations beyond their submission rate. */
    std::vector<organisation_id> over_rate;

    /** Wait of a new job of an organisation; 0: not known or short. */
    [[nodiscard]] millis wait_of(const queue_id& queue,
                                 const organisation_id& organisation) const;

    bool operator==(const expected_waits&) const = default;
};

} // namespace rattan::dispatch
