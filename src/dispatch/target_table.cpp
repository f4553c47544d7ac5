#include "dispatch/target_table.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace rattan::dispatch {

namespace {

/** Time from reading a target's clock to handling the answer. */
constexpr millis MAX_ANSWER_AGE{1000};

} // namespace

resources allocation_for(const resources& demand, bool best_effort) {
    resources out = demand;
    if (best_effort)
        out.milli_cores = 0;
    return out;
}

target_state& target_table::add_or_update(const target_entry& entry) {
    target_state& target = targets_[entry.id];
    target.entry = entry;
    target.listed = true;
    return target;
}

void target_table::mark_delisted(const target_id& id) {
    if (target_state* target = find(id))
        target->listed = false;
}

void target_table::remove_delisted(mono_time now) {
    std::erase_if(targets_, [now](const auto& item) {
        const target_state& target = item.second;
        return !target.poll_pending && !target.needs_polls(now);
    });
}

run_entry& target_table::add_run(target_state& target, const task_id& task,
                                 run_entry run) {
    assert(!target.runs.contains(task));
    target.allocated += allocation_for(run.demand, run.best_effort);
    if (run.best_effort)
        target.best_effort_milli_cores += run.demand.milli_cores;
    usage_[run.organisation] += run.demand;
    ++run_counts_[task];
    return target.runs[task] = std::move(run);
}

void target_table::remove_run(target_state& target, const task_id& task) {
    const auto found = target.runs.find(task);
    if (found == target.runs.end())
        return;
    const run_entry& run = found->second;
    target.allocated -= allocation_for(run.demand, run.best_effort);
    if (run.best_effort)
        target.best_effort_milli_cores -= run.demand.milli_cores;
    usage_[run.organisation] -= run.demand;
    const auto count = run_counts_.find(task);
    if (--count->second == 0)
        run_counts_.erase(count);
    target.runs.erase(found);
}

void target_table::set_clock(target_state& target, std::int64_t clock_ms,
                             mono_time now) {
    if (clock_ms <= 0)
        return;
    target.answered = true;
    target.clock_ms = clock_ms;
    target.clock_received_at = now;
}

bool target_table::clock_fits(const target_state& target, std::int64_t clock_ms,
                              mono_time now) {
    if (clock_ms <= 0 || target.clock_ms <= 0)
        return true;
    const std::int64_t estimate = target.estimated_clock_ms(now);
    const auto drift = static_cast<std::int64_t>(
        static_cast<double>((now - target.clock_received_at).count()) *
        (1 - MIN_CLOCK_RATE));
    return clock_ms >= estimate - drift - MAX_ANSWER_AGE.count() &&
           clock_ms <= estimate + MAX_ANSWER_AGE.count();
}

bool target_table::leases_expired(const target_state& target, mono_time now,
                                  millis margin) {
    const double elapsed =
        static_cast<double>((now - target.clock_received_at - margin).count()) *
        MIN_CLOCK_RATE;
    return static_cast<double>(target.clock_ms) + elapsed >
           static_cast<double>(target.lease_end_ms);
}

resources target_table::usage(const organisation_id& organisation) const {
    const auto found = usage_.find(organisation);
    return found == usage_.end() ? resources{} : found->second;
}

target_state* target_table::find(const target_id& id) {
    const auto found = targets_.find(id);
    return found == targets_.end() ? nullptr : &found->second;
}

} // namespace rattan::dispatch
