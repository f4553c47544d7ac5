/** @file Calls of the advice service about steps that are not ready yet. */
#include "dispatch/owner_base.hpp"
#include "dispatch/route_func.hpp"

#include <algorithm>

namespace rattan::dispatch {

namespace {

/** Between looks at the steps whose predecessors run. */
constexpr millis LOOK_PERIOD{50};
/** Tickets that expire sooner are renewed, since a call takes up to 100 ms. */
constexpr millis RENEWAL_MARGIN{300};
/**
 * Tickets live 2.3 s, so these cover predecessors that run for up to 9 s. Later
 * ones are asked about when they are ready.
 */
constexpr int MAX_CALLS_AHEAD = 4;

/** Tells whether tasks of a step still have to be placed. */
bool is_placed(const step_entry& step) {
    return step.ready && step.waiting == 0;
}

} // namespace

void owner::note_step_placed(const runnable_step& step) {
    const job_entry& job = *jobs_.find(step.ref.job);
    const auto& steps = job.record.spec.steps;
    const bool has_successor =
        std::any_of(steps.begin(), steps.end(), [&](const step_spec& other) {
            return std::find(other.after.begin(), other.after.end(),
                             step.ref.step) != other.after.end();
        });
    // Slow calls are scarce, and a step of such a queue is long.
    if (has_successor && advice_call_duration(*step.queue->advice, 1) <
                             advice_table::SLOW_CALL_THRESHOLD)
        ahead_.emplace(step.ref.job, step.ref.repeat);
}

void owner::ask_ahead(const owner_clock& clock) {
    if (clock.now < next_look_ahead_)
        return;
    next_look_ahead_ = clock.now + LOOK_PERIOD;
    for (auto position = ahead_.begin(); position != ahead_.end();) {
        const auto& [id, repeat] = *position;
        const job_entry* job = jobs_.find(id);
        const queue_config* queue =
            job == nullptr || job->ended() || !job->repeats.contains(repeat)
                ? nullptr
                : find_queue(config_, job->record.queue);
        if (queue != nullptr && queue->advice &&
            ask_ahead(*job, repeat, *queue, clock))
            ++position;
        else
            position = ahead_.erase(position);
    }
}

bool owner::ask_ahead(const job_entry& job, std::int32_t repeat,
                      const queue_config& queue, const owner_clock& clock) {
    const auto& specs = job.record.spec.steps;
    const auto& steps = job.repeats.at(repeat).steps;
    bool awaited = false;
    for (std::size_t s = 0; s < steps.size(); ++s) {
        const auto& after = specs[s].after;
        if (steps[s].ready ||
            !std::all_of(after.begin(), after.end(), [&](int earlier) {
                return is_placed(steps[static_cast<std::size_t>(earlier)]);
            }))
            continue;
        awaited = true;
        const runnable_step step{
            .ref = {job.record.id, repeat, static_cast<std::int32_t>(s)},
            .priority = queue.priority,
            .remaining = specs[s].estimate,
            .spec = &specs[s],
            .queue = &queue};
        step_advice& advice = advice_.for_step(step.ref);
        if (advice.calls_ahead < MAX_CALLS_AHEAD &&
            slots_with_tickets(step, clock.now + RENEWAL_MARGIN) <
                specs[s].count &&
            advice_.has_spare_host(clock.now) &&
            request_advice(step, clock, clock.now + RENEWAL_MARGIN)) {
            ++advice.calls_ahead;
            ++calls_ahead_;
        }
    }
    return awaited;
}

std::int32_t owner::slots_with_tickets(const runnable_step& step,
                                       mono_time usable_until) {
    std::int32_t slots = 0;
    for (const auto& [id, ticket] : advice_.for_step(step.ref).eligible) {
        const target_state* target = targets_.find(id);
        if (ticket.expires > usable_until && target != nullptr &&
            target->schedulable)
            slots += free_slots(step, *target);
    }
    return slots;
}

} // namespace rattan::dispatch
