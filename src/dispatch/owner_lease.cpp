/** @file Leases of targets, and runs whose leases have ended. */
#include "dispatch/owner_base.hpp"

#include <algorithm>

namespace rattan::dispatch {

namespace {

/** Allows for rounding and for the time that killing the run takes. */
constexpr millis LEASE_EXPIRY_MARGIN{100};
constexpr millis MAX_ORDER_TIME{
    1000}; ///< From sending an order to its timeout.

} // namespace

mono_time owner::latest_lease_end(mono_time now) const {
    const auto longest = static_cast<std::int64_t>(
        static_cast<double>(settings_.max_lease.count()) / MIN_CLOCK_RATE);
    return now + millis(longest) + settings_.stop_duration + MAX_ORDER_TIME;
}

void owner::grant_lease(target_state& target, std::int64_t lease_end_ms,
                        mono_time now) const {
    target.lease_end_ms = std::max(target.lease_end_ms, lease_end_ms);
    target.all_leases_end =
        std::max(target.all_leases_end, latest_lease_end(now));
}

bool owner::run_expired(const target_state& target, const run_entry& run,
                        mono_time now) const {
    if (run.phase == run_phase::recording)
        return false;
    // Without the clock of the process that may hold the run, or for a run of
    // an earlier owner, local time decides.
    if (run.phase == run_phase::inherited || target.clock_ms == 0 ||
        target.restart_suspected != mono_time{})
        return now >= inherited_leases_end(target) &&
               now >= target.all_leases_end;
    return target_table::leases_expired(
        target, now, LEASE_EXPIRY_MARGIN + settings_.stop_duration);
}

void owner::expire_runs(target_state& target, const owner_clock& clock) {
    if (target.runs.empty() || target.responsive)
        return;
    std::vector<task_id> gone;
    for (const auto& [task, run] : target.runs)
        if (run_expired(target, run, clock.now) &&
            start_expired(task, run, clock.now))
            gone.push_back(task);
    suspects_.runs_expired(target, gone);
    for (const task_id& task : gone) {
        end_start_wait(target, task, target.runs.at(task), "expired", clock);
        output_.log("run_lapsed", task.step.job,
                    "target=" + target.entry.id.value);
        release_run(target, task);
    }
}

} // namespace rattan::dispatch
