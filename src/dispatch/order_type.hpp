/** @file Orders to targets, calls of the advice service, and their answers. */
#pragma once

#include "dispatch/dispatch_type.hpp"

#include <string>
#include <vector>

namespace rattan::dispatch {

/** Destination of an order. */
struct target_address {
    target_id id;
    std::string address; ///< IP and port.
};

/** Order to start a run. */
struct start_order {
    task_id task;
    std::int32_t run = 0;
    std::string payload;
    std::string checkpoint;        ///< Empty: start from the beginning.
    std::string ticket;            ///< Empty: the queue requires none.
    std::int64_t lease_end_ms = 0; ///< End of the lease on the target's clock.
    std::int64_t fencing_token = 0;
};

/** Why a target refused an order. */
enum class order_refusal {
    none,
    stale_token,   ///< The target has seen a higher fencing token.
    stale_run,     ///< The target has seen this run number or a higher one.
    lease_expired, ///< The requested lease has already ended.
    insufficient_capacity, ///< The task does not fit on the target.
    invalid_ticket,        ///< The ticket is missing or has expired.
    other, ///< Malformed order, unhealthy target or another incarnation.
};

/** Outcome of an order. */
struct order_answer {
    bool answered = false;
    bool sent = false; ///< The order may have reached the target.
    bool done = false; ///< The target carried out the order.
    order_refusal refusal = order_refusal::none;
    std::int64_t clock_ms = 0; ///< Clock of the target; 0: not in the answer.
    std::int64_t fencing_token = 0; ///< Of the order.
    /** The order had a ticket, which only one process of a target accepts. */
    bool ticketed = false;
};

/** Order that renews the lease of a target and asks for the runs on it. */
struct poll_order {
    /** End of the lease on the target's clock; 0: no renewal. */
    std::int64_t lease_end_ms = 0;
    std::int64_t fencing_token = 0;
    /** The target drops ends up to this sequence number. */
    std::int64_t last_seen = 0;
    /** The target delays its answer for up to this long until a run ends. */
    millis wait{0};
    millis timeout{1000};
    /** Sent while another poll of the target is pending. */
    bool concurrent = false;
};

/** Outcome of a poll with the runs that the target reports. */
struct poll_answer {
    order_answer order;
    bool concurrent = false; ///< As in the order.
    /** As in the order: `ended` lacks the ends up to this one. */
    std::int64_t last_seen = 0;
    /** False: runs may exist that `running` does not contain. */
    bool complete = true;
    /** False: runs may have ended whose ends `ended` does not contain. */
    bool ends_complete = true;
    std::int64_t incarnation = 0;
    std::vector<listed_run> running;
    std::vector<listed_end> ended;
};

/** A target that may run a step, and the ticket for it. */
struct eligible_target {
    target_id target;
    std::string ticket;
};

/** Outcome of a call to the advice service. */
struct advice_answer {
    bool ok = false;
    std::vector<eligible_target> eligible;
    millis ticket_lifetime{0};
};

} // namespace rattan::dispatch
