#include "dispatch/job_table.hpp"

#include "dispatch/job_size.hpp"

#include <algorithm>
#include <cassert>
#include <limits>
#include <utility>

namespace rattan::dispatch {

namespace {

/** Tells whether all steps that a step depends on are done. */
bool predecessors_done(const job_spec& spec, const repeat_entry& repeat,
                       size_t step) {
    return std::all_of(spec.steps[step].after.begin(),
                       spec.steps[step].after.end(), [&](int earlier) {
                           const auto& predecessor =
                               repeat.steps[static_cast<size_t>(earlier)];
                           return predecessor.done ==
                                  static_cast<std::int32_t>(
                                      predecessor.tasks.size());
                       });
}

} // namespace

millis critical_path_length(const job_spec& spec) {
    std::vector<millis> finish(spec.steps.size(), millis(0));
    millis longest{0};
    for (size_t i = 0; i < spec.steps.size(); ++i) {
        millis start{0};
        for (const int earlier : spec.steps[i].after)
            start = std::max(start, finish[static_cast<size_t>(earlier)]);
        finish[i] = start + spec.steps[i].estimate;
        longest = std::max(longest, finish[i]);
    }
    return longest;
}

repeat_estimate estimate_repeat(const job_spec& spec,
                                const repeat_entry& repeat) {
    std::vector<millis> estimates;
    estimates.reserve(spec.steps.size());
    for (const step_spec& step : spec.steps)
        estimates.push_back(step.estimate);
    return estimate_repeat(spec, repeat, estimates);
}

repeat_estimate estimate_repeat(const job_spec& spec,
                                const repeat_entry& repeat,
                                const std::vector<millis>& estimates) {
    const size_t count = spec.steps.size();
    std::vector<millis> finish(count, millis(0));
    repeat_estimate out;
    out.remaining.assign(count, millis(0));
    std::vector<millis> duration(count);
    for (size_t i = 0; i < count; ++i) {
        const step_entry& step = repeat.steps[i];
        const bool done =
            step.done == static_cast<std::int32_t>(step.tasks.size());
        duration[i] = done && step.longest_run_time.count() > 0
                          ? step.longest_run_time
                          : estimates[i];
        millis start{0};
        for (const int earlier : spec.steps[i].after)
            start = std::max(start, finish[static_cast<size_t>(earlier)]);
        finish[i] = start + duration[i];
        out.critical_path = std::max(out.critical_path, finish[i]);
    }
    // A step has a higher index than the steps that it depends on.
    for (size_t i = count; i-- > 0;) {
        out.remaining[i] += duration[i];
        for (const int earlier : spec.steps[i].after) {
            millis& tail = out.remaining[static_cast<size_t>(earlier)];
            tail = std::max(tail, out.remaining[i]);
        }
    }
    return out;
}

std::vector<recorded_run> unawaited_runs(const job_entry& job) {
    std::vector<recorded_run> out = job.leftover_runs;
    if (!job.ended())
        return out;
    for (const auto& [number, repeat] : job.repeats)
        for (size_t s = 0; s < repeat.steps.size(); ++s) {
            const std::vector<task_entry>& tasks = repeat.steps[s].tasks;
            for (size_t i = 0; i < tasks.size(); ++i) {
                if (tasks[i].phase != task_phase::placed)
                    continue;
                const step_ref step{job.record.id, number,
                                    static_cast<std::int32_t>(s)};
                out.push_back({.task = {step, static_cast<std::int32_t>(i)},
                               .run = tasks[i].run,
                               .target = tasks[i].target,
                               .incarnation = tasks[i].incarnation});
            }
        }
    return out;
}

bool job_table::accept(job_record record) {
    const auto [found, added] = jobs_.try_emplace(record.id);
    if (!added)
        return false;
    found->second.record = std::move(record);
    found->second.critical_path =
        critical_path_length(found->second.record.spec);
    charge(found->second, job_state_bytes(found->second.record.spec));
    return true;
}

std::int64_t job_table::next_due_ms(const job_entry& job) {
    const job_spec& spec = job.record.spec;
    if (job.ended() || job.next_repeat >= std::max(1, spec.repeats))
        return std::numeric_limits<std::int64_t>::max();
    if (!job.repeats.empty() &&
        (job.repeat_without_memory ||
         job.repeats.size() >= max_repeats_in_progress(spec)))
        return std::numeric_limits<std::int64_t>::max();
    if (spec.repeats == 0)
        return 0;
    return spec.first_due_ms + job.next_repeat * spec.interval.count();
}

bool job_table::start_due_repeats(job_entry& job, std::int64_t wall_ms,
                                  mono_time now) {
    bool started = false;
    while (next_due_ms(job) <= wall_ms) {
        if (job.repeats.size() >= reserved_repeats(job.record.spec)) {
            const std::size_t bytes = repeat_state_bytes(job.record.spec);
            job.repeat_without_memory =
                !budget_.admits(job.record.organisation, bytes);
            if (job.repeat_without_memory)
                break;
            charge(job, job.state_bytes + bytes);
        }
        repeat_entry& repeat = job.repeats[job.next_repeat++];
        repeat.steps.reserve(job.record.spec.steps.size());
        for (const step_spec& spec : job.record.spec.steps) {
            step_entry step;
            step.tasks.resize(static_cast<size_t>(spec.count));
            step.waiting = spec.count;
            repeat.steps.push_back(std::move(step));
        }
        mark_ready_steps(job, repeat, now);
        started = true;
    }
    return started;
}

void job_table::mark_ready_steps(job_entry& job, repeat_entry& repeat,
                                 mono_time now) {
    for (size_t i = 0; i < repeat.steps.size(); ++i) {
        step_entry& step = repeat.steps[i];
        if (step.ready || !predecessors_done(job.record.spec, repeat, i))
            continue;
        step.ready = true;
        step.ready_since = now;
    }
}

void job_table::place(const task_id& id, std::int32_t run,
                      const target_entry& on) {
    task_entry* task = find(id);
    step_entry* step = find(id.step);
    assert(task != nullptr && task->phase == task_phase::waiting);
    assert(run > task->run);
    --step->waiting;
    task->phase = task_phase::placed;
    task->confirmed = false;
    task->run = run;
    task->target = on.id;
    task->incarnation = on.incarnation;
    mark_changed(id.step.job);
}

void job_table::place_copy(const task_id& id, std::int32_t run,
                           const target_entry& on) {
    task_entry* task = find(id);
    assert(task != nullptr && task->phase == task_phase::placed);
    assert(run > task->run);
    add_leftover_run({.task = id,
                      .run = task->run,
                      .target = task->target,
                      .incarnation = task->incarnation});
    task->run = run;
    task->target = on.id;
    task->incarnation = on.incarnation;
    mark_changed(id.step.job);
}

void job_table::begin(const job_id& id) {
    job_entry* job = find(id);
    if (job != nullptr && job->state == job_state::pending)
        job->state = job_state::running;
}

void job_table::confirm(const task_id& id, std::int32_t run) {
    task_entry* task = find(id);
    if (task == nullptr || task->phase != task_phase::placed ||
        task->run != run || std::exchange(task->confirmed, true))
        return;
    mark_changed(id.step.job);
}

void job_table::requeue(const task_id& id) {
    task_entry* task = find(id);
    if (task == nullptr || task->phase == task_phase::waiting ||
        task->phase == task_phase::done)
        return;
    task->phase = task_phase::waiting;
    task->target = {};
    task->incarnation = 0;
    ++find(id.step)->waiting;
    mark_changed(id.step.job);
}

void job_table::add_leftover_run(const recorded_run& run) {
    job_entry* job = find(run.task.step.job);
    const step_spec* step = spec(run.task.step);
    if (step == nullptr || run.task.index < 0 ||
        run.task.index >= step->count || run.task.step.repeat < 0 ||
        run.task.step.repeat > MAX_REPEATS || run.run > MAX_RUN_NUMBER)
        return;
    if (std::find(job->leftover_runs.begin(), job->leftover_runs.end(), run) !=
        job->leftover_runs.end())
        return;
    job->leftover_runs.push_back(run);
    mark_changed(run.task.step.job);
}

void job_table::remove_leftover_run(const task_id& task, std::int32_t run,
                                    const target_id& target) {
    job_entry* job = find(task.step.job);
    if (job == nullptr)
        return;
    const auto removed =
        std::erase_if(job->leftover_runs, [&](const recorded_run& other) {
            return other.task == task && other.run == run &&
                   other.target == target;
        });
    if (removed > 0)
        mark_changed(task.step.job);
}

void job_table::record_run_time(const task_id& id, millis run_time) {
    if (step_entry* step = find(id.step))
        step->longest_run_time = std::max(step->longest_run_time, run_time);
}

void job_table::complete(const task_id& id, std::int64_t wall_ms,
                         mono_time now) {
    job_entry* job = find(id.step.job);
    step_entry* step = find(id.step);
    if (job == nullptr || step == nullptr)
        return;
    begin(id.step.job);
    const bool gang = spec(id.step)->gang;
    for (size_t i = 0; i < step->tasks.size(); ++i) {
        task_entry& task = step->tasks[i];
        if ((!gang && static_cast<std::int32_t>(i) != id.index) ||
            task.phase == task_phase::done)
            continue;
        if (task.phase == task_phase::waiting)
            --step->waiting;
        task.phase = task_phase::done;
        task.target = {};
        ++step->done;
    }
    mark_changed(id.step.job);
    if (step->done == static_cast<std::int32_t>(step->tasks.size()))
        finish_step(*job, id.step, wall_ms, now);
}

void job_table::finish_step(job_entry& job, const step_ref& ref,
                            std::int64_t wall_ms, mono_time now) {
    repeat_entry& repeat = job.repeats.at(ref.repeat);
    ++repeat.steps_done;
    if (repeat.steps_done < static_cast<std::int32_t>(repeat.steps.size()))
        return mark_ready_steps(job, repeat, now);
    if (job.repeats.size() > reserved_repeats(job.record.spec))
        charge(job, job.state_bytes - repeat_state_bytes(job.record.spec));
    job.repeat_without_memory = false;
    job.repeats.erase(ref.repeat);
    ++job.repeats_done;
    if (job.repeats_done < std::max(1, job.record.spec.repeats) || job.ended())
        return;
    job.state = job_state::completed;
    job.ended_ms = wall_ms;
}

bool job_table::fail(const task_id& id, std::int32_t run,
                     std::optional<int> max_attempts, std::int64_t wall_ms) {
    job_entry* job = find(id.step.job);
    task_entry* task = find(id);
    if (task == nullptr || task->phase == task_phase::done ||
        run > MAX_RUN_NUMBER)
        return false;
    begin(id.step.job);
    const step_spec& definition = *spec(id.step);
    step_entry& step = *find(id.step);
    if (task->phase == task_phase::placed && task->run == run) {
        task->avoid_target = task->target;
        requeue(id);
    }
    if (definition.long_lived)
        return false; // Long-lived tasks are restarted without limit.
    if (std::find(task->failed.begin(), task->failed.end(), run) !=
        task->failed.end())
        return false;
    task->failed.push_back(run);
    auto attempts = static_cast<std::int32_t>(task->failed.size());
    if (definition.gang) {
        if (step.last_failed_run < run) {
            step.last_failed_run = run;
            ++step.failed_runs;
        }
        attempts = step.failed_runs;
    }
    mark_changed(id.step.job);
    if (!max_attempts || attempts < *max_attempts || job->ended())
        return false;
    job->state = job_state::failed;
    job->ended_ms = wall_ms;
    return true;
}

bool job_table::fail_if_exhausted(const job_id& id, int max_attempts,
                                  std::int64_t wall_ms) {
    job_entry* job = find(id);
    if (job == nullptr || job->ended())
        return false;
    for (const auto& [number, repeat] : job->repeats)
        for (size_t s = 0; s < repeat.steps.size(); ++s) {
            const step_entry& step = repeat.steps[s];
            const step_spec& definition = job->record.spec.steps[s];
            if (step.waiting == 0 || definition.long_lived)
                continue;
            const bool exhausted = std::any_of(
                step.tasks.begin(), step.tasks.end(),
                [&](const task_entry& task) {
                    const auto attempts =
                        definition.gang
                            ? step.failed_runs
                            : static_cast<std::int32_t>(task.failed.size());
                    return task.phase == task_phase::waiting &&
                           attempts >= max_attempts;
                });
            if (!exhausted)
                continue;
            job->state = job_state::failed;
            job->ended_ms = wall_ms;
            mark_changed(id);
            return true;
        }
    return false;
}

bool job_table::abandon(const job_id& id, std::int64_t wall_ms) {
    job_entry* job = find(id);
    if (job == nullptr || job->ended())
        return false;
    job->state = job_state::failed;
    job->ended_ms = wall_ms;
    mark_changed(id);
    return true;
}

bool job_table::cancel(const job_id& id, std::int64_t wall_ms) {
    job_entry* job = find(id);
    if (job == nullptr || job->ended())
        return false;
    job->state = job_state::cancelled;
    job->ended_ms = wall_ms;
    mark_changed(id);
    return true;
}

void job_table::record_checkpoint(const task_id& id,
                                  const std::string& checkpoint) {
    if (checkpoint.empty())
        return;
    task_entry* task = find(id);
    if (task == nullptr || task->phase == task_phase::done)
        return;
    job_entry& job = *find(id.step.job);
    std::size_t bytes = job.state_bytes;
    const auto keep = [&](task_entry& kept) {
        const std::size_t before =
            std::max(kept.checkpoint.size(), USUAL_CHECKPOINT_BYTES);
        kept.checkpoint = checkpoint;
        bytes += std::max(checkpoint.size(), USUAL_CHECKPOINT_BYTES) - before;
    };
    if (!spec(id.step)->gang)
        keep(*task);
    else
        for (task_entry& member : find(id.step)->tasks)
            keep(member);
    charge(job, bytes);
}

void job_table::remove(const job_id& id) {
    if (job_entry* job = find(id))
        charge(*job, 0);
    jobs_.erase(id);
    changed_.erase(id);
}

void job_table::drop_definition(const job_id& id) {
    job_entry& job = *find(id);
    std::string().swap(job.record.spec.payload);
    std::vector<step_spec>().swap(job.record.spec.steps);
    job.repeats.clear();
    charge(job, ENDED_JOB_BYTES);
}

void job_table::charge(job_entry& job, std::size_t bytes) {
    budget_.add(job.record.organisation, bytes);
    budget_.remove(job.record.organisation, job.state_bytes);
    job.state_bytes = bytes;
}

job_entry* job_table::find(const job_id& id) {
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
}

const job_entry* job_table::find(const job_id& id) const {
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
}

step_entry* job_table::find(const step_ref& ref) {
    job_entry* job = find(ref.job);
    if (job == nullptr)
        return nullptr;
    const auto repeat = job->repeats.find(ref.repeat);
    if (repeat == job->repeats.end() || ref.step < 0 ||
        static_cast<size_t>(ref.step) >= repeat->second.steps.size())
        return nullptr;
    return &repeat->second.steps[static_cast<size_t>(ref.step)];
}

task_entry* job_table::find(const task_id& id) {
    step_entry* step = find(id.step);
    if (step == nullptr || id.index < 0 ||
        static_cast<size_t>(id.index) >= step->tasks.size())
        return nullptr;
    return &step->tasks[static_cast<size_t>(id.index)];
}

const step_spec* job_table::spec(const step_ref& ref) const {
    const job_entry* job = find(ref.job);
    if (job == nullptr || ref.step < 0 ||
        static_cast<size_t>(ref.step) >= job->record.spec.steps.size())
        return nullptr;
    return &job->record.spec.steps[static_cast<size_t>(ref.step)];
}

void job_table::restore(job_entry job, mono_time now) {
    const job_id id = job.record.id;
    if (job_entry* earlier = find(id))
        charge(*earlier, 0);
    job.state_bytes = 0;
    jobs_[id] = std::move(job);
    job_entry& kept = jobs_[id];
    const job_spec& spec = kept.record.spec;
    const std::size_t reserved =
        spec.steps.empty() ? 0 : reserved_repeats(spec);
    charge(kept,
           spec.steps.empty()
               ? ENDED_JOB_BYTES
               : job_state_bytes(spec) +
                     (std::max(kept.repeats.size(), reserved) - reserved) *
                         repeat_state_bytes(spec));
    kept.critical_path = critical_path_length(kept.record.spec);
    for (auto& [number, repeat] : kept.repeats)
        mark_ready_steps(kept, repeat, now);
}

} // namespace rattan::dispatch
