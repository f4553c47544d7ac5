/** @file What the owner tells other hosts about expected waits. */
#include "dispatch/admission_func.hpp"
#include "dispatch/owner_base.hpp"
#include "dispatch/route_func.hpp"

namespace rattan::dispatch {

namespace {

/** The store takes 20 to 40 ms; later than this it counts as not responding. */
constexpr millis MAX_STORE_TIME{1000};

bool counts(const step_spec& spec) {
    return !spec.long_lived && !spec.best_effort;
}

} // namespace

void owner::note_submitted(const job_entry& job, const owner_clock& clock) {
    const job_spec& spec = job.record.spec;
    if (!settings_.scheduling.order_by_delay_cost || spec.repeats > 0)
        return;
    std::int64_t work = 0;
    for (const step_spec& step : spec.steps)
        if (counts(step))
            work = add_work(work, task_work(step.demand.milli_cores,
                                            step.estimate, step.count));
    wait_estimate_.work_submitted({job.record.queue, job.over_rate},
                                  job.record.organisation, work, clock.now);
}

void owner::note_placed(const job_entry& job, const step_spec& spec) {
    if (settings_.scheduling.order_by_delay_cost && counts(spec))
        wait_estimate_.work_placed(
            {job.record.queue, job.over_rate}, job.record.organisation,
            task_work(spec.demand.milli_cores, spec.estimate, 1));
}

void owner::update_expected_waits(const owner_clock& clock) {
    if (!settings_.scheduling.order_by_delay_cost ||
        !wait_estimate_.due(clock.now))
        return;
    waiting_work waiting;
    std::map<organisation_id, resources> quotas;
    for (const job_id& id : live_jobs_) {
        const job_entry& job = *jobs_.find(id);
        const queue_config* queue = find_queue(config_, job.record.queue);
        if (job.ended() || queue == nullptr)
            continue;
        const job_spec& spec = job.record.spec;
        const organisation_id& organisation = job.record.organisation;
        const std::int64_t value_time =
            VALUE_MULTIPLE * job_objective(*queue, job.critical_path).count();
        std::int64_t work = 0;
        for (const auto& [number, repeat] : job.repeats) {
            const std::int64_t start_ms =
                spec.repeats == 0
                    ? job.record.accepted_ms
                    : spec.first_due_ms + number * spec.interval.count();
            if (clock.wall_ms - start_ms >= value_time)
                continue;
            for (std::size_t s = 0; s < repeat.steps.size(); ++s) {
                const step_entry& step = repeat.steps[s];
                if (step.waiting == 0 || !counts(spec.steps[s]))
                    continue;
                const resources& demand = spec.steps[s].demand;
                work = add_work(work, task_work(demand.milli_cores,
                                                spec.steps[s].estimate,
                                                step.waiting));
                if (!step.ready)
                    continue;
                auto quota = quotas.find(organisation);
                if (quota == quotas.end())
                    quota = quotas
                                .emplace(organisation,
                                         remaining_quota(organisation))
                                .first;
                if (!demand.fits_in(quota->second))
                    waiting.at_limit.insert(organisation);
            }
        }
        if (work == 0)
            continue;
        waiting_work::entry& entry =
            waiting.groups[{job.record.queue, job.over_rate}];
        entry.priority = queue->priority;
        std::int64_t& sum = entry.work[organisation];
        sum = add_work(sum, work);
    }
    const bool confirmed =
        may_send_orders(clock.now) &&
        (!store_pending_ || clock.now - stored_at_ <= MAX_STORE_TIME);
    wait_estimate_.update(waiting, confirmed, clock.now);
}

} // namespace rattan::dispatch
