/** @file What a placer knows of its workers and jobs. */
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

/** A standby renews leases for a silent owner no longer than this. */
constexpr millis CARE_LIMIT{65 * 60 * 1000};

/** Time limits of a placer. */
struct placer_options {
    host_id host;
    data_centre_id data_centre;
    std::int64_t incarnation = 0;
    std::string address;  ///< Of its calls, for peers.
    millis lease{15'000}; ///< A worker without orders stops its tasks.
    /** Clocks run apart by this part of a lease at most, in percent. */
    std::int64_t drift_percent = 2;
    /** How long a peer is silent before its data centre is claimed. */
    millis owner_timeout{3'000};
    /** Workers with tasks that end are asked no more often than this. */
    millis shortest_poll{500};
    millis retry_backoff{1'000}; ///< First wait after a failed attempt.
};

/** How a task stands in the placer's mind. */
enum class task_phase {
    preparing, ///< Told to hold resources, not confirmed.
    prepared,  ///< Holds resources.
    starting,  ///< Told to start, not confirmed.
    running,
    stopping, ///< Told to stop, not confirmed.
};

/** A task that is or may be on a worker. */
struct placed_task {
    task_phase phase = task_phase::preparing;
    organisation_name organisation;
    resources shape;
    bool checkpoint = false; ///< Save its state when stopping.
    bool sent = false;       ///< An order with it has gone out.
    bool unclear = false;    ///< That order was not answered.
    bool ends = false;       ///< It is expected to end by itself.
    mono_time since{};       ///< When its phase began.
};

/** A worker as its owner sees it. */
struct worker_view {
    worker_info info;
    bool listed = false;       ///< On the platform's list.
    bool was_listed = false;   ///< On it at some time under this owner.
    bool leaving = false;      ///< Gets no new work.
    bool fenced = false;       ///< Has obeyed this owner.
    bool enlisted = false;     ///< This process of it may get work, by the log.
    bool cleared = false;      ///< Provably runs nothing of an earlier owner.
    bool in_flight = false;    ///< An order waits for its answer.
    bool unclear = false;      ///< The last order was not answered.
    std::int64_t instance = 0; ///< Its process, as last answered.
    std::int64_t sequence = 0;
    std::int64_t clock_ms = 0; ///< Its clock at the last answer.
    mono_time answered{};      ///< When that answer came.
    mono_time lapsed{};        ///< After this its leases are over.
    mono_time ordered{};       ///< When the last order went out.
    std::map<task_ref, placed_task> tasks;
    std::vector<listed_task> listing; ///< As last answered.
    resources committed;              ///< Of all tasks that may be on it.
    std::int64_t handled_event = 0;   ///< Last one that was acted upon.
    std::map<std::int64_t, job_id> unseen_events; ///< Not on record yet.
    int failures = 0; ///< Tasks that failed in a row.
    mono_time avoid_until{};

    /** What is not committed. */
    [[nodiscard]] resources room() const { return info.owned - committed; }
};

/** Why a job does not run yet. */
enum class wait_reason {
    none,
    queued,             ///< Not looked at yet.
    takeover,           ///< An earlier owner may have started it.
    organisation_limit, ///< The team's slice is spent.
    no_room,            ///< No workers have room for its shape.
    start_record,       ///< Its start must be on record first.
    holding,            ///< Some of its tasks hold resources, others not yet.
    backoff,            ///< Waits after a failed attempt.
    out_of_service,     ///< Its data centre is out of service.
    stopping,           ///< Tasks of it are being stopped.
    ending,             ///< Its end is on its way into the log.
};

/** Name of a reason, for dumps and answers. */
const char* wait_reason_name(wait_reason reason);

/** What is to happen when nothing of a job runs any more. */
enum class job_goal {
    run,   ///< Queue it (again).
    end,   ///< Put its end on record.
    leave, ///< Move it to another data centre.
};

/** A job as its placer sees it. */
struct job_view {
    job_spec spec;
    std::int64_t accepted_at = 0;
    std::map<std::int32_t, worker_id> placed; ///< Where tasks may be.
    std::set<std::int32_t> done;
    job_goal goal = job_goal::run;
    job_outcome outcome = job_outcome::done; ///< When the goal is `end`.
    std::string reason;                      ///< Of the outcome.
    bool doubtful = false; ///< An earlier owner may have started it.
    bool started = false;  ///< Orders to start have gone out.
    std::int32_t attempts = 0;
    mono_time not_before{};
    mono_time waiting_since{};
    wait_reason waiting = wait_reason::queued;

    /** Tells whether all tasks ended well. */
    [[nodiscard]] bool complete() const {
        return static_cast<std::int32_t>(done.size()) == spec.tasks;
    }
    /** Gangs start together; the tasks of a watch stand alone. */
    [[nodiscard]] bool is_gang() const { return spec.kind != work_kind::watch; }
};

/** An order and where it goes. */
struct outgoing_order {
    worker_id worker;
    std::string address;
    worker_order order;
};

/** What a placer wants done. */
struct placer_output {
    std::vector<outgoing_order> orders;
    std::vector<log_entry> records;
};

} // namespace rattan
