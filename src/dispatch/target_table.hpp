/** @file Targets with their runs, leases and responsiveness. */
#pragma once

#include "dispatch/dispatch_type.hpp"
#include "dispatch/order_type.hpp"
#include "dispatch/target_health.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <unordered_map>

namespace rattan::dispatch {

/** Phase of a run on a target. */
enum class run_phase : std::uint8_t {
    recording, ///< Placed, but not yet stored; no start order has been sent.
    starting,  ///< A start order has been sent.
    running,   ///< Confirmed by the target.
    stopping,  ///< A stop order is due or has been sent.
    inherited, ///< Recorded by an earlier owner; not reported yet.
};

/** A run that exists or may exist on a target. */
struct run_entry {
    std::int32_t run = 0;
    run_phase phase = run_phase::recording;
    resources demand;
    bool best_effort = false;
    bool long_lived = false;
    organisation_id organisation;
    std::string ticket;
    mono_time ticket_expires{};
    mono_time phase_since{}; ///< Start of the phase or of the last stop order.
    mono_time started{};     ///< When the target confirmed the start.
    mono_time stop_acked{};  ///< When the target confirmed the stop.
    bool stop_sent = false;
    /** The start order had no answer and may still be carried out. */
    bool start_uncertain = false;
    std::int32_t percent = 0; ///< As last reported.
    /** Target's clock at that report; 0: none. */
    std::int64_t percent_clock_ms = 0;
    std::int64_t measurement = 0; ///< As last reported.
    /** Of a serving task; 0: not a serving task. */
    millis tail_latency_target{0};
    std::int32_t speed_percent = 100; ///< Speed limit of a best-effort task.
};

/** A target as seen by the owner. */
struct target_state {
    target_entry entry;
    bool listed = true; ///< Still in the platform's list.
    std::map<task_id, run_entry> runs;
    resources allocated; ///< Without the processors of best-effort tasks.
    /** Requested by best-effort tasks. */
    std::int64_t best_effort_milli_cores = 0;

    std::int64_t clock_ms = 0; ///< The target's clock as of its last answer.
    bool answered = false;     ///< Any process of the target has answered.
    mono_time clock_received_at{}; ///< Local time of that answer.
    std::int64_t lease_end_ms = 0; ///< Latest end of a lease in any order sent.

    /** Sequence number of the last end processed. */
    std::int64_t last_applied_end = 0;
    /** Sequence number of the last end whose effects are stored. */
    std::int64_t last_stored_end = 0;

    /** The target's clock at the last poll processed. */
    std::int64_t last_poll_clock_ms = 0;
    bool schedulable = false; ///< In this placement round.
    /** Has reported its runs under this owner's fencing token. */
    bool fenced = false;
    bool poll_pending = false;
    /**
     * The last poll was answered. A start that could not be sent or was refused
     * as `other` resets this.
     */
    bool responsive = false;
    mono_time poll_sent_at{};
    mono_time next_poll{};
    int consecutive_failures = 0; ///< Of runs of any job.
    mono_time backoff_until{};    ///< Receives no work before this time.
    target_health health;
    /** Last assessed as slow or stalled; reset by a run that ends in time. */
    bool degraded = false;

    [[nodiscard]] resources free_resources() const {
        return entry.capacity - allocated;
    }

    /** Tells whether a run is present that ends by itself. */
    [[nodiscard]] bool has_finite_run() const {
        return std::any_of(runs.begin(), runs.end(), [](const auto& item) {
            return !item.second.long_lived;
        });
    }

    /** Extrapolates the target's clock at the rate of the local one. */
    [[nodiscard]] std::int64_t estimated_clock_ms(mono_time now) const {
        return clock_ms + (now - clock_received_at).count();
    }
};

/**
 * Slowest rate of a target's clock relative to the local one. Specified by the
 * runners' protocol.
 */
constexpr double MIN_CLOCK_RATE = 0.98;

/**
 * Resources that a task reserves on a target. Best-effort tasks reserve no
 * processors.
 */
resources allocation_for(const resources& demand, bool best_effort);

/** All targets of a cell and the resource usage of organisations. */
class target_table {
public:
    /** Adds or updates a target from its list entry. */
    target_state& add_or_update(const target_entry& entry);

    /** Records that a target is no longer in the platform's list. */
    void mark_delisted(const target_id& id);

    /** Removes delisted targets without runs. */
    void remove_delisted();

    /**
     * Adds a run to a target and reserves its resources.
     * @pre The target has no run of the task.
     */
    run_entry& add_run(target_state& target, const task_id& task,
                       run_entry run);

    /** Removes a run and frees its resources. */
    void remove_run(target_state& target, const task_id& task);

    /** Records a target's clock as received at `now`. */
    static void set_clock(target_state& target, std::int64_t clock_ms,
                          mono_time now);

    /**
     * Tells whether all leases have ended even if the target's clock has run at
     * the slowest rate.
     * @param margin Additional time to allow.
     */
    [[nodiscard]] static bool leases_expired(const target_state& target,
                                             mono_time now, millis margin);

    /** Resources of all runs of an organisation that exist or may exist. */
    [[nodiscard]] resources usage(const organisation_id& organisation) const;

    [[nodiscard]] target_state* find(const target_id& id);

    [[nodiscard]] std::map<target_id, target_state>& all() { return targets_; }
    [[nodiscard]] const std::map<target_id, target_state>& all() const {
        return targets_;
    }

private:
    std::map<target_id, target_state> targets_;
    std::unordered_map<organisation_id, resources> usage_;
};

} // namespace rattan::dispatch
