/** @file Second copies of stragglers of steps that allow them. */
#include "dispatch/owner_base.hpp"
#include "dispatch/route_func.hpp"

#include <algorithm>
#include <string_view>
#include <tuple>
#include <utility>

namespace rattan::dispatch {

namespace {

/**
 * Free processors in multiples of what waits: a step may run on a part of the
 * targets only.
 */
constexpr std::int64_t FREE_PER_WAITING = 2;

/** Tells whether a start may still be carried out. */
bool start_unconfirmed(const run_entry& run) {
    return run.started == mono_time{} && run.phase != run_phase::recording;
}

} // namespace

bool owner::may_copy(const step_spec& spec) const {
    // A copy would start from the beginning, and its checkpoints would take
    // the place of newer ones.
    return settings_.scheduling.place_by_expected_end &&
           spec.speculation_allowed && !spec.checkpoints && !spec.gang &&
           !spec.long_lived && !spec.best_effort;
}

void owner::place_copies(const std::vector<runnable_step>& steps,
                         const owner_clock& clock) {
    for (const task_id& task : std::exchange(copies_wanted_, {}))
        place_copy(task, steps, clock);
}

bool owner::room_is_wanted(const std::vector<runnable_step>& steps,
                           int priority, const resources& demand) {
    std::int64_t free = -demand.milli_cores;
    for (const target_state* target : schedulable_)
        free += target->free_resources().milli_cores;
    for (const runnable_step& step : steps)
        if (const step_entry* entry = jobs_.find(step.ref);
            entry != nullptr && step.priority <= priority)
            free -= FREE_PER_WAITING * entry->waiting *
                    step.spec->demand.milli_cores;
    return free < 0;
}

void owner::place_copy(const task_id& task,
                       const std::vector<runnable_step>& steps,
                       const owner_clock& clock) {
    const job_entry* job = jobs_.find(task.step.job);
    task_entry* entry = jobs_.find(task);
    const step_spec* spec = jobs_.spec(task.step);
    if (job == nullptr || entry == nullptr || spec == nullptr || job->ended() ||
        entry->phase != task_phase::placed || entry->moved ||
        !entry->crashes.empty() || targets_.run_count(task) != 1)
        return;
    const queue_config* queue = find_queue(config_, job->record.queue);
    const target_state* current = targets_.find(entry->target);
    if (queue == nullptr || current == nullptr)
        return;
    const auto found = current->runs.find(task);
    if (found == current->runs.end() || found->second.run != entry->run ||
        found->second.phase != run_phase::running || !found->second.timed)
        return;
    const run_entry& run = found->second;
    const auto straggles = [&](double slowness) {
        const auto peer_ms = static_cast<double>(
            jobs_.find(task.step)->longest_run_time.count());
        return is_straggler({.elapsed = clock.now - run.started,
                             .percent = run.percent,
                             .peer_time = millis(static_cast<std::int64_t>(
                                 peer_ms * slowness))});
    };
    if (!straggles(1))
        return;
    const runnable_step step{.ref = task.step,
                             .priority = queue->priority,
                             .spec = spec,
                             .queue = queue};
    if (!spec->demand.fits_in(remaining_quota(step)) ||
        room_is_wanted(steps, queue->priority, spec->demand))
        return;
    target_state* best = nullptr;
    const auto rank = [](const target_state& target) {
        return std::tuple(speed_class(target.speed.slowness),
                          target.free_resources().milli_cores,
                          std::string_view(target.entry.id.value));
    };
    for (target_state* target : candidate_targets(step, clock))
        if (target != current && !target->runs.contains(task) &&
            !target->speed.slow_itself && !target->speed.probing &&
            !target->degraded && !target->unproven_suspect &&
            (best == nullptr || rank(*target) < rank(*best)))
            best = target;
    if (best == nullptr) {
        // The tickets of the step may have expired.
        if (queue->advice) {
            copies_wanted_.insert(task);
            request_advice(step, clock, clock.now);
        }
        return;
    }
    if (!straggles(best->speed.slowness))
        return;
    output_.log("straggler_copied", task.step.job,
                "target=" + current->entry.id.value +
                    " copy=" + best->entry.id.value);
    entry->moved = true;
    entry->avoid_target = current->entry.id;
    place_task(step, task.index, entry->run + 1, *best, clock);
}

void owner::stop_other_runs(const task_id& task, const owner_clock& clock) {
    if (!targets_.has_run(task))
        return;
    for (auto& [id, target] : targets_.all())
        if (target.runs.contains(task))
            stop_run(target, task, clock);
}

bool owner::other_start_unconfirmed(const task_id& task) const {
    if (!targets_.has_run(task))
        return false;
    const auto& all = targets_.all();
    return std::any_of(all.begin(), all.end(), [&](const auto& item) {
        const auto run = item.second.runs.find(task);
        return run != item.second.runs.end() && start_unconfirmed(run->second);
    });
}

std::int64_t owner::acknowledgeable_end(target_state& target) const {
    std::erase_if(target.held_ends, [this](const auto& held) {
        return !other_start_unconfirmed(held.second);
    });
    return target.held_ends.empty()
               ? target.last_applied_end
               : std::min(target.last_applied_end,
                          target.held_ends.begin()->first - 1);
}

} // namespace rattan::dispatch
