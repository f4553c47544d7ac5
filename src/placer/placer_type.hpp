/** @file State that a placer keeps of its workers, tasks and jobs. */
#pragma once

#include "rattan/job_type.hpp"
#include "rattan/order_type.hpp"
#include "rattan/record_type.hpp"
#include "rattan/worker_type.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rattan {

/** A standby renews leases for an unreachable owner for at most this long. */
constexpr millis STANDBY_RENEWAL_LIMIT{65 * 60 * 1000};

/** Identity and time limits of a placer. */
struct placer_options {
    host_id host;
    data_centre_id data_centre;
    std::int64_t incarnation = 0;
    std::string address;  ///< RPC address for its peers.
    millis lease{15'000}; ///< A worker stops its tasks when this runs out.
    /** Largest clock drift over a lease, in percent of the lease. */
    std::int64_t drift_percent = 2;
    /** Silence of the owner after which a peer claims its data centre. */
    millis owner_timeout{3'000};
    /** Shortest time between polls of a worker with tasks that complete. */
    millis min_poll_period{500};
    millis retry_backoff{1'000}; ///< Back-off after the first failed attempt.
};

/** Phase of a task, as the placer knows it. */
enum class task_phase {
    preparing, ///< Reservation of resources requested, not confirmed.
    prepared,  ///< Reserved, or a single task that needs no reservation.
    starting,  ///< Start requested, not confirmed.
    running,
    stopping, ///< Stop requested, not confirmed.
};

/** A task that is on a worker, or may be. */
struct placed_task {
    task_phase phase = task_phase::preparing;
    organisation_name organisation;
    resources shape;
    bool checkpoint = false;         ///< Saves its state when it is stopped.
    bool sent = false;               ///< The order of its phase has been sent.
    bool unacknowledged = false;     ///< That order has no valid answer yet.
    bool runs_to_completion = false; ///< Ends by itself, unlike a watch.
    mono_time since{}; ///< Time of placement; once it runs, of its start.
};

/** State of a worker as known to the owner of its data centre. */
struct worker_view {
    worker_info info;
    bool listed = false;         ///< On the platform's current host list.
    bool was_listed = false;     ///< Has been on it since this owner's claim.
    bool leaving = false;        ///< Is being drained; gets no new tasks.
    bool epoch_accepted = false; ///< Rejects the orders of earlier owners.
    bool enlisted = false;       ///< The log allows tasks for its process.
    /** No task of an earlier owner on it is unaccounted for. */
    bool inventory_known = false;
    bool in_flight = false;      ///< An order awaits its answer.
    bool unacknowledged = false; ///< The last order has no valid answer.
    std::int64_t instance = 0;   ///< Its process, by the last answer.
    std::int64_t sequence = 0;
    std::int64_t clock_ms = 0; ///< Its own clock at the last answer.
    mono_time answered_at{};   ///< Arrival of the last answer.
    mono_time lease_expiry{};  ///< All leases of this owner end by then.
    mono_time ordered_at{};    ///< Time of the last order.
    std::map<task_ref, placed_task> tasks;
    std::vector<listed_task> listing; ///< Tasks by the last answer.
    resources committed;              ///< Sum over `tasks`.
    std::int64_t handled_event = 0;   ///< Number of the last event handled.
    /** Handled events whose effect on the job is not in the log yet. */
    std::map<std::int64_t, job_id> unrecorded_events;
    int failures = 0; ///< Consecutive failed tasks.
    mono_time backoff_until{};

    /** Resources that are not committed. */
    [[nodiscard]] resources room() const { return info.owned - committed; }
};

/** Why a job does not run. */
enum class wait_reason {
    none,
    queued,             ///< No placement has been tried yet.
    takeover,           ///< An earlier owner may have started it.
    organisation_limit, ///< The quota left to this data centre is too small.
    no_room,            ///< No workers have room for its tasks.
    start_record,       ///< Its start record is not in the log yet.
    holding,            ///< Placed; not all of its reservations are confirmed.
    backoff,            ///< Waits after a failed attempt.
    out_of_service,     ///< Its data centre is out of service.
    stopping,           ///< Its tasks are being stopped.
    ending,             ///< Its end record is not in the log yet.
};

/** Name of a wait reason in dumps and answers. */
const char* wait_reason_name(wait_reason reason);

/** What the placer works towards for a job. */
enum class job_goal {
    run,  ///< Run it; queue it again when its tasks were stopped.
    end,  ///< Stop its tasks, then append its end record.
    move, ///< Stop its tasks, then move it to another data centre.
};

/** State of a job as known to its placer. */
struct job_view {
    job_spec spec;
    std::int64_t accepted_at = 0;             ///< Log position of acceptance.
    std::map<std::int32_t, worker_id> placed; ///< Workers by task index.
    std::set<std::int32_t> done;
    job_goal goal = job_goal::run;
    job_outcome outcome = job_outcome::done; ///< Used when the goal is `end`.
    std::string reason;                      ///< Explains the outcome.
    bool start_uncertain = false; ///< An earlier owner may have started it.
    bool started = false;         ///< Start orders may have been sent.
    std::int32_t attempts = 0;
    mono_time not_before{};
    mono_time waiting_since{};
    wait_reason waiting = wait_reason::queued;

    /** Whether all tasks have succeeded. */
    [[nodiscard]] bool complete() const {
        return static_cast<std::int32_t>(done.size()) == spec.tasks;
    }
    /** Tasks of a gang start together; those of a watch are independent. */
    [[nodiscard]] bool is_gang() const { return spec.kind != work_kind::watch; }
};

/** An order and its destination. */
struct outgoing_order {
    worker_id worker;
    std::string address;
    worker_order order;
};

/** Orders to send to workers and records to append to the log. */
struct placer_output {
    std::vector<outgoing_order> orders;
    std::vector<log_entry> records;
};

} // namespace rattan
