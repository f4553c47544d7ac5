/** @file Orders to targets, questions about steps, and their answers. */
#pragma once

#include "dispatch/dispatch_type.hpp"

#include <string>
#include <vector>

namespace rattan::dispatch {

/** Which life of which target an order is for. */
struct target_address {
    target_id id;
    std::string address; ///< IP and port.
};

/** Starts one run. */
struct start_order {
    task_id task;
    std::int32_t run = 0;
    std::string payload;
    std::string checkpoint;        ///< Empty: from the beginning.
    std::string ticket;            ///< Empty: the queue needs none.
    std::int64_t lease_end_ms = 0; ///< On the target's clock.
    std::int64_t fencing_token = 0;
};

/** Why a target refused an order. */
enum class order_refusal {
    none,
    stale_token,           ///< It has seen a higher fence.
    stale_run,             ///< A run that high was there already.
    lease_expired,         ///< The lease asked for has passed.
    insufficient_capacity, ///< It guards its capacity.
    invalid_ticket,        ///< The ticket is missing or not valid any more.
    other,                 ///< Malformed, unhealthy or another life.
};

/** How an order ended. */
struct order_answer {
    bool answered = false; ///< An answer came.
    bool sent = false;     ///< It may have reached the target.
    bool done = false;     ///< Answered with success.
    order_refusal refusal = order_refusal::none;
    std::int64_t clock_ms = 0; ///< 0: the answer carried none.
};

/** Extends the lease and lists what a target runs. */
struct poll_order {
    std::int64_t lease_end_ms = 0; ///< 0: the lease is left as it is.
    std::int64_t fencing_token = 0;
    std::int64_t last_seen = 0; ///< Ends up to this are forgotten.
    millis wait{0};             ///< The answer waits this long for an end.
    millis timeout{1000};
    bool concurrent = false; ///< Another look at this target is under way.
};

struct poll_answer {
    order_answer order;
    bool concurrent = false; ///< As in its order.
    std::int64_t incarnation = 0;
    std::vector<listed_run> running;
    std::vector<listed_end> ended;
};

/** A target that may run a step, and its ticket. */
struct eligible_target {
    target_id target;
    std::string ticket;
};

/** How a call to the advice service ended. */
struct advice_answer {
    bool ok = false;
    std::vector<eligible_target> eligible;
    millis ticket_lifetime{0};
};

} // namespace rattan::dispatch
