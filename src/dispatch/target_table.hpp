/** @file Targets: what runs there, until when, and whether they answer. */
#pragma once

#include "dispatch/dispatch_type.hpp"
#include "dispatch/order_type.hpp"
#include "dispatch/target_health.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <unordered_map>

namespace rattan::dispatch {

/** How far the order that starts a run has got. */
enum class run_phase : std::uint8_t {
    recording, ///< Chosen; not yet in the store, so not yet sent.
    starting,  ///< Sent.
    running,   ///< Confirmed by its target.
    stopping,  ///< Ordered to stop.
    suspect,   ///< Recorded by an earlier owner; not yet listed.
};

/** A run that exists on a target, or may. */
struct run_entry {
    std::int32_t run = 0;
    run_phase phase = run_phase::recording;
    resources demand; ///< What it takes of the target.
    bool best_effort = false;
    bool long_lived = false;
    organisation_id organisation;
    std::string ticket;
    mono_time ticket_until{}; ///< The ticket is refused after this.
    mono_time since{};        ///< When the phase began.
    mono_time started{};      ///< When its target confirmed it.
    mono_time stop_acked{};   ///< When its target confirmed the stop.
    bool stop_sent = false;
    bool doubtful = false;         ///< Nobody knows whether it has begun.
    std::int32_t percent = 0;      ///< As last listed.
    std::int64_t percent_ms = 0;   ///< Clock of the target then; 0: never.
    std::int64_t measurement = 0;  ///< As last listed.
    millis tail_latency_target{0}; ///< Of a serving task; 0: none.
    std::int32_t pace = 100;       ///< Share of its speed that it has.
};

/** A target and what is believed about it. */
struct target_state {
    target_entry entry;
    bool listed = true; ///< The platform's list still names it.
    std::map<task_id, run_entry> runs;
    resources used; ///< Without the processors of fillers.
    std::int64_t best_effort_milli_cores = 0; ///< Milli-cores asked by fillers.

    std::int64_t clock_ms = 0;     ///< The target's clock, as last told.
    mono_time clock_at{};          ///< When it was told.
    std::int64_t lease_end_ms = 0; ///< Latest lease end of any order sent.

    std::int64_t applied_end = 0; ///< Number of the last end taken in.
    std::int64_t stored_end = 0;  ///< The last one that is in the store.

    std::int64_t listed_ms = 0; ///< Its clock at the last list taken in.
    bool usable = false;        ///< In this round of placement.
    bool fenced = false;        ///< Has listed its runs to this owner.
    bool looking = false;
    bool answers = false; ///< The last look was answered.
    mono_time look_sent{};
    mono_time look_due{};
    int failed_in_a_row = 0; ///< Runs of it, over all jobs.
    mono_time sick_until{};  ///< Gets no work before.
    target_health health;    ///< By the progress of its tasks.
    bool sluggish = false;   ///< The last verdict was slow or hanging.

    [[nodiscard]] resources room() const { return entry.capacity - used; }

    /** Tells whether a task that ends by itself is there. */
    [[nodiscard]] bool has_short_run() const {
        return std::any_of(runs.begin(), runs.end(), [](const auto& item) {
            return !item.second.long_lived;
        });
    }

    /** The target's clock now, at the speed of ours. */
    [[nodiscard]] std::int64_t clock_now(mono_time now) const {
        return clock_ms + (now - clock_at).count();
    }
};

/** Most that a target's clock may be slow. Source: the runners' protocol. */
constexpr double SLOWEST_CLOCK = 0.98;

/** What a task takes of a target's room: fillers take no processors. */
resources room_taken(const resources& demand, bool best_effort);

/** All targets; changes go through its commands. */
class target_table {
public:
    /** Takes an entry of the list. @return The target. */
    target_state& enlist(const target_entry& entry);

    /** The list no longer names a target. */
    void delist(const target_id& id);

    /** Forgets delisted targets without runs. */
    void sweep();

    /** Counts a run on a target. @pre No run of the task is there. */
    run_entry& add_run(target_state& target, const task_id& task,
                       run_entry run);

    /** The run is gone. */
    void remove_run(target_state& target, const task_id& task);

    /** Takes a target's clock as told at `now`. */
    static void set_clock(target_state& target, std::int64_t clock_ms,
                          mono_time now);

    /** Tells whether every lease given has ended, on the slowest clock. */
    [[nodiscard]] static bool lapsed(const target_state& target, mono_time now,
                                     millis margin);

    /** What an organisation has running, or may have. */
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
