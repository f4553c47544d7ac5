/** @file Orders to workers and their answers. */
#pragma once

#include "rattan/id_type.hpp"
#include "rattan/unit_type.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace rattan {

/** A task that a worker is to run. */
struct task_order {
    task_ref task;
    organisation_name organisation;
    resources shape;
    std::int64_t run_ms = 0; ///< As the caller expects it; 0 is unknown.
    std::string payload;
};

/**
 * One message to a worker. A worker obeys no owner below the highest it has
 * seen and, from one owner, no sequence that is not above the last.
 */
struct worker_order {
    epoch owner;
    std::int64_t instance = 0; ///< Worker process it is for; 0: any.
    std::int64_t sequence = 0; ///< 0 renews and lists, nothing else.
    /**
     * By the worker's own clock, from its last answer; 0: no change. Nothing
     * is started by an order that arrives after this.
     */
    std::int64_t lease_until_ms = 0;
    std::vector<task_order> prepare;  ///< Hold resources, do not start.
    std::vector<task_order> start;    ///< Start, prepared before or not.
    std::vector<task_ref> checkpoint; ///< Save state, then stop.
    std::vector<task_ref> stop;
    std::int64_t seen_event = 0; ///< Ends up to this one are on record.
    std::string known_listing;   ///< Digest of the listing that we hold.
};

/** How a task stands on a worker. */
enum class worker_task_state {
    prepared,
    running,
    stopping, ///< Told to stop; its resources are still in use.
};

/** One task on a worker. */
struct listed_task {
    task_ref task;
    organisation_name organisation;
    resources shape;
    worker_task_state state = worker_task_state::running;
};

/** How a task left a worker. */
enum class task_outcome {
    done,
    failed,  ///< It ran and did not succeed.
    stopped, ///< Because of an order.
    lapsed,  ///< Its lease ran out.
    refused, ///< It was never started: no room.
};

/** The end of a task; a worker keeps it until it is on record. */
struct task_event {
    std::int64_t number = 0; ///< From 1, a worker's own count.
    task_ref task;
    task_outcome outcome = task_outcome::done;
};

/** Whether a worker did what an order says. */
enum class order_verdict {
    obeyed,
    fenced,    ///< A higher owner has spoken.
    overtaken, ///< A later order of the same owner came first.
    replaced,  ///< It was for an earlier process of this worker.
};

/** A worker's answer. */
struct worker_answer {
    order_verdict verdict = order_verdict::obeyed;
    epoch fence;               ///< Highest owner that has spoken.
    std::int64_t instance = 0; ///< Tells a restarted worker; over 0.
    std::int64_t clock_ms = 0; ///< The worker's clock at the answer.
    bool same_listing = false; ///< `tasks` left out: as in the digest sent.
    std::string listing;       ///< Digest of the present listing.
    std::vector<listed_task> tasks;
    std::vector<task_event> events;
};

} // namespace rattan
