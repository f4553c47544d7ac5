/** @file Targets with their runs, leases and responsiveness. */
#pragma once

#include "dispatch/dispatch_type.hpp"
#include "dispatch/order_type.hpp"
#include "dispatch/speed_table.hpp"
#include "dispatch/target_health.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace rattan::dispatch {

/** Phase of a run on a target. */
enum class run_phase : std::uint8_t {
    recording, ///< Placed, but not yet stored; no start order has been sent.
    starting,  ///< A start order has been sent.
    running,   ///< Confirmed by the target.
    stopping,  ///< A stop order is due or has been sent.
    inherited, ///< Recorded by an earlier owner; not reported yet.
    /**
     * Confirmed before a restart of the target became known: either process may
     * have carried out the start. Not reported by the new process yet.
     */
    unconfirmed,
};

/** A run that exists or may exist on a target. */
struct run_entry {
    std::int32_t run = 0;
    run_phase phase = run_phase::recording;
    /** Process of the target that was known when the start was sent. */
    std::int64_t incarnation = 0;
    resources demand;
    bool best_effort = false;
    bool long_lived = false;
    organisation_id organisation;
    std::string ticket;
    mono_time ticket_expires{};
    mono_time phase_since{}; ///< Start of the phase or of the last stop order.
    mono_time started{};     ///< When the target confirmed the start.
    mono_time stop_acked{};  ///< When the target confirmed the stop.
    std::int64_t started_clock_ms = 0; ///< Target's clock then; 0: unknown.
    bool timed = false;                ///< `started` is the time of its start.
    /** For this long after its start the target has reported the run. */
    millis survived{0};
    bool stop_sent = false;
    /** The start order had no answer and may still be carried out. */
    bool start_uncertain = false;
    /** The start order is on its way, and its outcome is not known yet. */
    bool start_pending = false;
    /** The target has confirmed the start or has listed the run. */
    bool confirmed = false;
    /**
     * No process of the target can carry out the start any more after this
     * time, and the task does not run again before. Zero: it need not wait.
     */
    mono_time start_void_at{};
    std::int32_t percent = 0; ///< As last reported.
    /** Target's clock at that report; 0: none. */
    std::int64_t percent_clock_ms = 0;
    std::int64_t measurement = 0; ///< As last reported.
    /** Of a serving task; 0: not a serving task. */
    millis tail_latency_target{0};
    std::int32_t speed_percent = 100; ///< Speed limit of a best-effort task.
    /** The target has this limit; it starts every run at full speed. */
    bool speed_confirmed = true;
    bool speed_order_pending = false;
};

/** Sequence number of an end; each process of a target counts from 1. */
struct end_position {
    std::int64_t incarnation = 0;
    std::int64_t sequence = 0;
};

/** An order without an answer may be carried out until this much later. */
constexpr millis MAX_ORDER_DELAY{15'000};

/** Tells whether an order that had no answer by a time may still arrive. */
inline bool may_arrive(mono_time unanswered_at, mono_time now) {
    return unanswered_at != mono_time{} &&
           now - unanswered_at <= MAX_ORDER_DELAY;
}

/** A target as seen by the owner. */
struct target_state {
    target_entry entry;
    bool listed = true; ///< Still in the platform's list.
    /**
     * Newest process known, from the list of targets or from an answer. The
     * list may still describe an earlier one.
     */
    std::int64_t incarnation = 0;
    /**
     * Token of the orders to this target. It rises with each new process and
     * once a start or a poll has no answer: whichever process has received a
     * later order refuses the earlier ones.
     */
    std::int64_t fencing_token = 0;
    /** When that process became known. */
    mono_time incarnation_since{};
    /**
     * An answer did not fit the clock of the known process, so another one may
     * have taken its place. Reset by a poll sent later than this.
     */
    mono_time restart_suspected{};
    std::map<task_id, run_entry> runs;
    /** When the last start without an answer became known; zero: never. */
    mono_time start_unanswered_at{};
    /** The same for starts that any later process of the target accepts. */
    mono_time unguarded_start_at{};
    /** Until when the target is guarded with `guard_token`. */
    mono_time guarded_until{};
    std::int64_t guard_token = 0;
    resources allocated; ///< Without the processors of best-effort tasks.
    /** Requested by best-effort tasks. */
    std::int64_t best_effort_milli_cores = 0;

    std::int64_t clock_ms = 0; ///< The target's clock as of its last answer.
    bool answered = false;     ///< Any process of the target has answered.
    mono_time clock_received_at{}; ///< Local time of that answer.
    std::int64_t lease_end_ms = 0; ///< Latest end of a lease in any order sent.
    /**
     * All leases granted by this owner have ended by this time, whichever
     * process of the target received them.
     */
    mono_time all_leases_end{};

    /** Sequence number of the last end processed, in the known process. */
    std::int64_t last_applied_end = 0;
    /** Sequence number of the last end whose effects are stored. */
    std::int64_t last_stored_end = 0;
    /** Successful ends that are not acknowledged yet, and their tasks. */
    std::map<std::int64_t, task_id> held_ends;

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
    /** When a poll of a responsive target had no answer; zero: never. */
    mono_time silent_since{};
    mono_time poll_sent_at{};
    mono_time next_poll{};
    int consecutive_failures = 0; ///< Of runs of any job.
    mono_time backoff_until{};    ///< Receives no work before this time.
    target_health health;
    /** Last assessed as slow or stalled; reset by a run that ends in time. */
    bool degraded = false;

    /** @name Placement by expected end; unused without it. */
    ///@{
    expected_speed speed;
    bool avoided = false; ///< Much slower than the others at present.
    mono_time next_unfinished_check{};
    ///@}

    /** @name Set by `crash_suspects` in each placement round. */
    ///@{
    int unproven_runs = 0;
    bool unproven_suspect = false; ///< One of them is of a suspect.
    bool exclusive = false; ///< Receives no other runs until that is proven.
    ///@}

    [[nodiscard]] resources free_resources() const {
        return entry.capacity - allocated;
    }

    /** Tells whether a start without an answer may still be carried out. */
    [[nodiscard]] bool start_may_arrive(mono_time now) const {
        return may_arrive(start_unanswered_at, now);
    }

    /**
     * Tells whether polls may still show something: a delisted target may be
     * alive, and its next process has to be found before a late start arrives
     * there.
     */
    [[nodiscard]] bool needs_polls(mono_time now) const {
        return listed || !runs.empty() || start_may_arrive(now);
    }

    /** Tells whether the list describes the newest process known. */
    [[nodiscard]] bool entry_current() const {
        return entry.incarnation == 0 || entry.incarnation == incarnation;
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

    /** Removes delisted targets that need not be polled any more. */
    void remove_delisted(mono_time now);

    /**
     * Adds a run to a target and reserves its resources.
     * @pre The target has no run of the task.
     */
    run_entry& add_run(target_state& target, const task_id& task,
                       run_entry run);

    /** Removes a run and frees its resources. */
    void remove_run(target_state& target, const task_id& task);

    /** Records the clock of a target's known process as received at `now`. */
    static void set_clock(target_state& target, std::int64_t clock_ms,
                          mono_time now);

    /**
     * Tells whether an answer can come from the known process of a target. A
     * process that has taken its place counts time from its own start.
     * @param clock_ms Clock in the answer; 0: none, which fits.
     */
    [[nodiscard]] static bool clock_fits(const target_state& target,
                                         std::int64_t clock_ms, mono_time now);

    /**
     * Tells whether all leases have ended even if the target's clock has run at
     * the slowest rate.
     * @param margin Additional time to allow.
     */
    [[nodiscard]] static bool leases_expired(const target_state& target,
                                             mono_time now, millis margin);

    /** Resources of all runs of an organisation that exist or may exist. */
    [[nodiscard]] resources usage(const organisation_id& organisation) const;

    /** Tells whether a run of a task exists or may exist on any target. */
    [[nodiscard]] bool has_run(const task_id& task) const {
        return run_counts_.contains(task);
    }

    /** Number of targets with a run of a task. */
    [[nodiscard]] int run_count(const task_id& task) const {
        const auto found = run_counts_.find(task);
        return found == run_counts_.end() ? 0 : found->second;
    }

    [[nodiscard]] target_state* find(const target_id& id);

    [[nodiscard]] std::map<target_id, target_state>& all() { return targets_; }
    [[nodiscard]] const std::map<target_id, target_state>& all() const {
        return targets_;
    }

private:
    std::map<target_id, target_state> targets_;
    std::unordered_map<organisation_id, resources> usage_;
    /** Number of targets with a run of each task; none are left out. */
    std::unordered_map<task_id, int> run_counts_;
};

} // namespace rattan::dispatch
