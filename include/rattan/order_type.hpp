/** @file Messages between placers and workers. */
#pragma once

#include "rattan/id_type.hpp"
#include "rattan/unit_type.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace rattan {

/** A task that a worker is told to run. */
struct task_order {
    task_ref task;
    organisation_name organisation;
    resources shape;
    std::int64_t run_ms = 0; ///< Expected run time; 0 if unknown.
    std::string payload;
};

/**
 * One message to a worker. A worker rejects it if its owner is lower than the
 * highest owner seen so far, or if it comes from the same owner and its
 * sequence is not higher than that of the last message.
 */
struct worker_order {
    epoch owner;
    std::int64_t instance = 0; ///< Process that it addresses; 0: any.
    std::int64_t sequence = 0; ///< 0: only renews the lease and asks for tasks.
    /**
     * End of the lease by the worker's own clock, as of its last answer; 0: no
     * change. An order that arrives later starts nothing.
     */
    std::int64_t lease_until_ms = 0;
    std::vector<task_order> prepare;  ///< Reserve resources, do not start.
    std::vector<task_order> start;    ///< Start, whether prepared or not.
    std::vector<task_ref> checkpoint; ///< Checkpoint, then stop.
    std::vector<task_ref> stop;
    std::int64_t seen_event = 0; ///< Events up to this one are recorded.
    std::string known_listing;   ///< Digest of the last task list received.
};

/** State of a task on a worker. */
enum class worker_task_state {
    prepared,
    running,
    stopping, ///< Told to stop; still uses its resources.
};

/** A task in a worker's task list. */
struct listed_task {
    task_ref task;
    organisation_name organisation;
    resources shape;
    worker_task_state state = worker_task_state::running;
};

/** How a task ended on a worker. */
enum class task_outcome {
    done,
    failed,
    stopped, ///< By an order.
    lapsed,  ///< The worker's lease expired.
    refused, ///< Never started: not enough free resources.
};

/** The end of a task; the worker reports it until it is acknowledged. */
struct task_event {
    std::int64_t number = 0; ///< Counted by the worker, from 1.
    task_ref task;
    task_outcome outcome = task_outcome::done;
};

/** Whether a worker carried out an order. */
enum class order_verdict {
    obeyed,
    fenced,    ///< A higher owner has sent orders.
    overtaken, ///< A later order of the same owner arrived first.
    replaced,  ///< It addressed an earlier process of the worker.
};

/** A worker's answer to an order. */
struct worker_answer {
    order_verdict verdict = order_verdict::obeyed;
    epoch fence;               ///< Highest owner seen.
    std::int64_t instance = 0; ///< Above 0; changes when the worker restarts.
    std::int64_t clock_ms = 0; ///< The worker's clock when it answered.
    bool same_listing = false; ///< `tasks` is omitted: nothing changed.
    std::string listing;       ///< Digest of the current task list.
    std::vector<listed_task> tasks;
    std::vector<task_event> events;
};

} // namespace rattan
