/** @file The order of placement by the cost of a delay. */
#include "dispatch/owner_base.hpp"
#include "dispatch/route_func.hpp"

#include <algorithm>
#include <numeric>

namespace rattan::dispatch {

namespace {

/** A job older than this multiple of its objective has no value left. */
constexpr int WORTHLESS_MULTIPLE = 3;
/** Bounds of the factors and the sum of work, against overflow. */
constexpr std::int64_t MAX_MILLI_CORES = 1'000'000;
constexpr std::int64_t MAX_TASK_MS = 100'000'000;
constexpr std::int64_t MAX_WORK = 1'000'000'000'000'000;

std::int64_t work_of(const step_spec& step, std::int32_t tasks,
                     millis task_time) {
    const std::int64_t work =
        std::int64_t{tasks} *
        std::clamp<std::int64_t>(step.demand.milli_cores, 1, MAX_MILLI_CORES) *
        std::clamp<std::int64_t>(task_time.count(), 1, MAX_TASK_MS);
    return std::min(work, MAX_WORK);
}

bool is_runnable(const step_entry& step) {
    return step.ready && step.waiting > 0;
}

bool is_runnable(const repeat_entry& repeat) {
    return std::any_of(
        repeat.steps.begin(), repeat.steps.end(),
        [](const step_entry& step) { return is_runnable(step); });
}

} // namespace

millis owner::corrected_estimate(const queue_id& queue,
                                 const step_ref& step) const {
    const step_spec* spec = jobs_.spec(step);
    return spec == nullptr
               ? millis(0)
               : corrections_.corrected(queue, step, spec->estimate);
}

void owner::record_run_time(const task_id& task, millis run_time) {
    jobs_.record_run_time(task, run_time);
    const job_entry* job = jobs_.find(task.step.job);
    const task_entry* entry = jobs_.find(task);
    // A run that resumed from a checkpoint took less than the whole task.
    if (job == nullptr || entry == nullptr ||
        (entry->run > 1 && !entry->checkpoint.empty()))
        return;
    corrections_.add(job->record.queue, task.step,
                     jobs_.spec(task.step)->estimate, run_time);
}

void owner::record_job_work(const job_record& record) {
    std::int64_t work = 0;
    for (const step_spec& step : record.spec.steps)
        work =
            std::min(MAX_WORK, work + work_of(step, step.count, step.estimate));
    typical_work_[record.queue].add(work);
}

bool owner::within_rate(const job_record& record) {
    const organisation_config* organisation =
        find_organisation(config_, record.organisation);
    if (organisation == nullptr || organisation->weight <= 0)
        return true;
    constexpr double MS_PER_SECOND = 1000;
    return rate_windows_[record.organisation].admit(
        record.accepted_ms,
        {.window = settings_.rate_window,
         .jobs = organisation->weight * (1 + settings_.rate_overage) *
                     static_cast<double>(settings_.rate_window.count()) /
                     MS_PER_SECOND +
                 settings_.rate_slack_jobs});
}

void owner::classify_inherited_jobs() {
    std::vector<job_entry*> jobs;
    for (const job_id& id : live_jobs_)
        jobs.push_back(jobs_.find(id));
    // The jobs are read in any order; counted in that order, the later ones
    // would count as a burst.
    std::stable_sort(jobs.begin(), jobs.end(),
                     [](const job_entry* a, const job_entry* b) {
                         return a->record.accepted_ms < b->record.accepted_ms;
                     });
    for (job_entry* job : jobs) {
        job->over_rate = !within_rate(job->record);
        record_job_work(job->record);
    }
}

std::vector<owner::runnable_step>
owner::steps_by_delay_cost(const owner_clock& clock) const {
    std::vector<runnable_step> steps;
    std::vector<work_key> keys;
    for (const job_id& id : live_jobs_) {
        const job_entry& job = *jobs_.find(id);
        if (!job.ended())
            add_runnable_steps(job, clock, steps, keys);
    }
    // Keys and references move in place of steps, which are larger.
    std::vector<std::size_t> order(steps.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        if (const auto result = keys[a] <=> keys[b]; result != 0)
            return result < 0;
        return steps[a].ref < steps[b].ref;
    });
    std::vector<runnable_step> out;
    out.reserve(steps.size());
    for (const std::size_t index : order)
        out.push_back(std::move(steps[index]));
    return out;
}

void owner::add_runnable_steps(const job_entry& job, const owner_clock& clock,
                               std::vector<runnable_step>& steps,
                               std::vector<work_key>& keys) const {
    const queue_config* queue = nullptr;
    const job_spec& spec = job.record.spec;
    for (const auto& [number, repeat] : job.repeats) {
        if (!is_runnable(repeat))
            continue;
        if (queue == nullptr)
            queue = find_queue(config_, job.record.queue);
        if (queue == nullptr)
            return;
        std::vector<millis> estimates;
        std::int64_t remaining_work = 0;
        for (std::size_t s = 0; s < spec.steps.size(); ++s) {
            estimates.push_back(corrections_.corrected(
                queue->name,
                {job.record.id, number, static_cast<std::int32_t>(s)},
                spec.steps[s].estimate));
            // Uncorrected like the work of a typical job of the queue.
            if (repeat.steps[s].waiting > 0)
                remaining_work = std::min(
                    MAX_WORK, remaining_work + work_of(spec.steps[s],
                                                       repeat.steps[s].waiting,
                                                       spec.steps[s].estimate));
        }
        const repeat_estimate estimate =
            estimate_repeat(spec, repeat, estimates);
        const millis objective(
            static_cast<std::int64_t>(
                queue->stretch *
                static_cast<double>(estimate.critical_path.count())) +
            queue->objective.count());
        const std::int64_t start_ms =
            spec.repeats == 0
                ? job.record.accepted_ms
                : spec.first_due_ms + number * spec.interval.count();
        const millis age(clock.wall_ms - start_ms);
        const auto typical = typical_work_.find(queue->name);
        for (std::size_t s = 0; s < repeat.steps.size(); ++s) {
            if (!is_runnable(repeat.steps[s]))
                continue;
            work_input input{.priority = queue->priority,
                             .until_objective = objective - age,
                             .until_no_value =
                                 objective * WORTHLESS_MULTIPLE - age,
                             .expected = estimate.remaining[s],
                             .remaining_work = remaining_work,
                             .typical_work = typical == typical_work_.end()
                                                 ? remaining_work
                                                 : typical->second.value(),
                             .over_rate = job.over_rate,
                             .begun = job.state == job_state::running};
            // A step without an end has no objective.
            if (spec.steps[s].long_lived) {
                input.until_objective = objective;
                input.until_no_value = objective * WORTHLESS_MULTIPLE;
                input.expected = millis(0);
            }
            keys.push_back(settings_.work_order(input));
            const millis next_loss = input.expected <= input.until_objective
                                         ? input.until_objective
                                         : input.until_no_value;
            steps.push_back(
                {.ref = {job.record.id, number, static_cast<std::int32_t>(s)},
                 .priority = queue->priority,
                 .over_rate = job.over_rate,
                 .lateness = input.expected <= input.until_objective  ? 0
                             : input.expected <= input.until_no_value ? 1
                                                                      : 2,
                 .due_ms = start_ms + objective.count(),
                 .remaining = estimate.remaining[s],
                 .spec = &spec.steps[s],
                 .queue = queue,
                 .order_class = keys.back().order_class,
                 .slack = next_loss - input.expected});
        }
    }
}

} // namespace rattan::dispatch
