/** @file Begin of an ownership: the runs that earlier owners recorded. */
#include "dispatch/owner_base.hpp"

#include <algorithm>

namespace rattan::dispatch {

void owner::take_over(const owner_clock& clock) {
    inherited_leases_end_ = all_earlier_leases_end(clock);
    for (const job_id& id : live_jobs_)
        inherit_task_runs(*jobs_.find(id), clock);
    for (const auto& [id, job] : jobs_.all())
        inherit_leftover_runs(job, clock);
    // Without jobs, no owner has sent a start lately.
    if (!jobs_.all().empty())
        earlier_starts_at_ = clock.now;
    apply_handover();
    if (settings_.scheduling.order_by_delay_cost)
        classify_inherited_jobs();
    schedule_due_ = true;
}

void owner::inherit_task_runs(const job_entry& job, const owner_clock& clock) {
    for (const auto& [number, repeat] : job.repeats)
        for (size_t s = 0; s < repeat.steps.size(); ++s) {
            const step_ref step{job.record.id, number,
                                static_cast<std::int32_t>(s)};
            const std::vector<task_entry>& tasks = repeat.steps[s].tasks;
            for (size_t i = 0; i < tasks.size(); ++i) {
                if (tasks[i].phase != task_phase::placed)
                    continue;
                const recorded_run run{
                    .task = {step, static_cast<std::int32_t>(i)},
                    .run = tasks[i].run,
                    .target = tasks[i].target,
                    .incarnation = tasks[i].incarnation};
                target_state& target = inherit_target(run, clock);
                suspects_.run_inherited(target, run.task, run.incarnation);
                run_entry& inherited = inherit_run(target, run, clock);
                inherited.confirmed = tasks[i].confirmed;
                await_inherited_start(run.task, inherited, clock);
            }
        }
}

void owner::inherit_leftover_runs(const job_entry& job,
                                  const owner_clock& clock) {
    if (!job.leftover_runs.empty())
        output_.log("leftover_runs", job.record.id,
                    "runs=" + std::to_string(job.leftover_runs.size()) +
                        " first=" + job.leftover_runs[0].target.value);
    for (const recorded_run& run : job.leftover_runs) {
        target_state& target = inherit_target(run, clock);
        // A later run of the task on the same target holds its room already.
        if (target.runs.contains(run.task))
            continue;
        request_stop(target, run.task, inherit_run(target, run, clock));
    }
}

target_state& owner::inherit_target(const recorded_run& run,
                                    const owner_clock& clock) {
    target_state* target = targets_.find(run.target);
    if (target == nullptr) {
        target = &targets_.add_or_update(
            {.id = run.target, .incarnation = run.incarnation});
        target->listed = false;
        raise_fencing_token(*target);
    }
    if (run.incarnation > target->incarnation)
        replace_process(*target, run.incarnation, clock);
    // The earlier owner may not have known of the restart: its orders gave the
    // new process leases by the old clock.
    if (run.incarnation != target->incarnation)
        target->all_leases_end =
            std::max(target->all_leases_end,
                     latest_lease_end(clock.now) + settings_.max_unconfirmed);
    return *target;
}

run_entry& owner::inherit_run(target_state& target, const recorded_run& run,
                              const owner_clock& clock) {
    const step_spec& spec = *jobs_.spec(run.task.step);
    return targets_.add_run(
        target, run.task,
        {.run = run.run,
         .phase = run_phase::inherited,
         .incarnation = run.incarnation,
         .demand = spec.demand,
         .best_effort = spec.best_effort,
         .long_lived = spec.long_lived,
         .organisation = jobs_.find(run.task.step.job)->record.organisation,
         .phase_since = clock.now,
         .tail_latency_target = spec.tail_latency_target,
         .speed_confirmed = false});
}

} // namespace rattan::dispatch
