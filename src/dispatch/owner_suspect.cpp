/** @file Placement of suspects and the end of jobs that crash targets. */
#include "dispatch/owner_base.hpp"

namespace rattan::dispatch {

void owner::place_suspects(const runnable_step& step,
                           const std::vector<target_state*>& candidates,
                           const owner_clock& clock) {
    const step_entry& entry = *jobs_.find(step.ref);
    for (std::int32_t i = 0; i < step.spec->count; ++i) {
        const task_entry& task = entry.tasks[static_cast<size_t>(i)];
        const task_id id{step.ref, i};
        if (task.phase != task_phase::waiting || targets_.has_run(id) ||
            suspects_.suspicion_of(id) == suspicion::none)
            continue;
        if (!step.spec->demand.fits_in(remaining_quota(step)))
            return;
        target_state* target = suspects_.choose(
            id, candidates, [&](const target_state& candidate) {
                return free_slots(step, candidate) > 0;
            });
        if (target != nullptr)
            place_task(step, i, task.run + 1, *target, clock);
    }
}

void owner::give_up_convicted(const owner_clock& clock) {
    for (const job_id& id : suspects_.take_convicted()) {
        if (!jobs_.abandon(id, clock.wall_ms))
            continue;
        output_.log("job_given_up", id, "cause=task_convicted");
        stop_job(*jobs_.find(id), clock);
    }
}

} // namespace rattan::dispatch
