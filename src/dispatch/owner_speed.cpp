/** @file Slow targets, stragglers, and the speed of best-effort runs. */
#include "dispatch/owner_base.hpp"

#include <algorithm>
#include <utility>

namespace rattan::dispatch {

namespace {

constexpr int FULL_SPEED_PERCENT = 100;
/** Time after which a degraded target is probed with a task again. */
constexpr millis DEGRADED_BACKOFF{1500};
/**
 * If more than one target in this many is degraded, the estimates are wrong
 * rather than the targets.
 */
constexpr std::size_t TARGETS_PER_DEGRADED = 3;
/** Beyond this progress a restart is not worthwhile. */
constexpr std::int32_t NEARLY_DONE_PERCENT = 80;

} // namespace

void owner::record_progress(target_state& target, run_entry& run,
                            const listed_run& listed) {
    const std::int64_t poll_clock_ms = target.last_poll_clock_ms;
    const std::int64_t previous_clock_ms =
        std::exchange(run.percent_clock_ms, poll_clock_ms);
    const step_spec* spec = jobs_.spec(listed.task.step);
    // Null if the repeat has ended.
    const task_entry* task = jobs_.find(listed.task);
    if (previous_clock_ms == 0 || spec == nullptr || task == nullptr ||
        task->moved || spec->long_lived || run.phase != run_phase::running ||
        run.speed_percent < FULL_SPEED_PERCENT)
        return;
    target.health.add({.step = listed.task.step,
                       .estimate = spec->estimate,
                       .percent = listed.percent - run.percent,
                       .elapsed = millis(poll_clock_ms - previous_clock_ms)});
}

void owner::assess_speed(target_state& target, const owner_clock& clock) {
    const target_speed speed = target.health.assess(target.degraded);
    record_unfinished(target, clock.now);
    move_stragglers(target, clock);
    if (speed == target_speed::unknown)
        return;
    const bool degraded = speed != target_speed::normal;
    if (std::exchange(target.degraded, degraded) != degraded)
        output_.log(degraded ? "target_sluggish" : "target_working", {},
                    "target=" + target.entry.id.value +
                        (speed == target_speed::stalled ? " hanging" : ""));
    if (!degraded || too_many_degraded())
        return;
    target.backoff_until = clock.now + DEGRADED_BACKOFF;
    if (speed != target_speed::stalled)
        return; // A slow target may still end its runs soon.
    move_runs(target, clock,
              [](const task_id&, const step_entry&, const run_entry& run) {
                  return run.percent < NEARLY_DONE_PERCENT;
              });
}

void owner::move_runs(
    target_state& target, const owner_clock& clock,
    const std::function<bool(const task_id&, const step_entry&,
                             const run_entry&)>& selected) {
    std::vector<task_id> moving;
    for (const auto& [task, run] : target.runs) {
        const step_spec* spec = jobs_.spec(task.step);
        const task_entry* entry = jobs_.find(task);
        if (entry == nullptr || entry->moved || spec->long_lived ||
            spec->gang || run.phase != run_phase::running ||
            // A further start would count against the limit for suspects.
            suspects_.suspicion_of(task) != suspicion::none ||
            run.speed_percent < FULL_SPEED_PERCENT)
            continue;
        if (selected(task, *jobs_.find(task.step), run))
            moving.push_back(task);
    }
    for (const task_id& task : moving) {
        output_.log("straggler_moved", task.step.job,
                    "target=" + target.entry.id.value);
        // A task is moved only once: one that is slow on every target would
        // otherwise be moved for ever.
        task_entry& entry = *jobs_.find(task);
        entry.moved = true;
        entry.avoid_target = target.entry.id;
        stop_run(target, task, clock);
    }
}

void owner::move_stragglers(target_state& target, const owner_clock& clock) {
    move_runs(
        target, clock,
        [&](const task_id& task, const step_entry& step, const run_entry& run) {
            if (!is_straggler({.elapsed = clock.now - run.started,
                               .percent = run.percent,
                               .peer_time = step.longest_run_time}))
                return false;
            if (!may_copy(*jobs_.spec(task.step)))
                return true;
            copies_wanted_.insert(task);
            schedule_due_ = true;
            return false;
        });
}

bool owner::too_many_degraded() const {
    const auto& all = targets_.all();
    const auto count =
        std::count_if(all.begin(), all.end(),
                      [](const auto& item) { return item.second.degraded; });
    return static_cast<std::size_t>(count) * TARGETS_PER_DEGRADED > all.size();
}

void owner::throttle_best_effort(target_state& target) {
    if (target.best_effort_milli_cores == 0)
        return;
    // Ratio of a tail latency to its target above which best-effort tasks are
    // throttled, and below which they speed up again.
    constexpr double THROTTLE_RATIO = 0.85;
    constexpr double RECOVERY_RATIO = 0.6;
    double worst_ratio = 0;
    for (const auto& [task, run] : target.runs)
        if (run.tail_latency_target.count() > 0)
            worst_ratio = std::max(
                worst_ratio,
                static_cast<double>(run.measurement) /
                    static_cast<double>(run.tail_latency_target.count()));
    for (auto& [task, run] : target.runs) {
        if (!run.best_effort || run.phase != run_phase::running)
            continue;
        int speed = run.speed_percent;
        if (worst_ratio > 1)
            speed = 0;
        else if (worst_ratio > THROTTLE_RATIO)
            speed = speed / 2;
        else if (worst_ratio < RECOVERY_RATIO)
            speed = std::min(FULL_SPEED_PERCENT, speed + 20);
        if (speed != run.speed_percent)
            run.speed_confirmed = false;
        run.speed_percent = speed;
        // Orders of different speeds may overtake each other, so the next one
        // waits for the answer. One that failed is repeated after each poll.
        if (!run.speed_confirmed && !run.speed_order_pending)
            send_speed(target, task, run);
    }
}

void owner::send_speed(target_state& target, const task_id& task,
                       run_entry& run) {
    run.speed_order_pending = true;
    output_.throttle(address_of(target), task, run.run, run.speed_percent,
                     target.fencing_token);
}

void owner::throttle_answered(const target_id& id, const task_id& task,
                              std::int32_t run_number, int percent,
                              const order_answer& answer) {
    refused_as_stale(id, answer);
    target_state* target = targets_.find(id);
    if (target == nullptr)
        return;
    // It may be carried out after a newer one, which would not be repeated.
    if (answer.sent && !answer.answered)
        raise_fencing_token(*target);
    const auto found = target->runs.find(task);
    if (found == target->runs.end() || found->second.run != run_number)
        return;
    run_entry& run = found->second;
    run.speed_order_pending = false;
    if (run.speed_percent == percent)
        run.speed_confirmed = answer.done;
    else if (run.phase == run_phase::running)
        send_speed(*target, task, run);
}

} // namespace rattan::dispatch
