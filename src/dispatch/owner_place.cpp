/** @file Scheduling: which tasks start next, and on which targets. */
#include "dispatch/owner_base.hpp"
#include "dispatch/route_func.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string_view>
#include <tuple>

namespace rattan::dispatch {

namespace {

/** A job older than this multiple of its objective has no value left. */
constexpr int WORTHLESS_MULTIPLE = 3;
/**
 * Capacity asked about in multiples of the capacity needed, since some targets
 * turn out to be ineligible.
 */
constexpr double ASK_FACTOR_QUICK = 2.0;
constexpr double ASK_FACTOR_SLOW = 4.0;
constexpr size_t MIN_ASKED_TARGETS = 8;
/**
 * The same for gangs, which need room for all tasks from one call, and in large
 * cells, where more steps wait for the same hosts.
 */
constexpr size_t MIN_ASKED_TARGETS_WIDE = 24;
constexpr size_t LARGE_CELL_TARGETS = 120;
/** Targets named in one call to the advice service. */
constexpr size_t MAX_ASKED_TARGETS = 100;
/** Added to the expected duration of a call. */
constexpr millis ADVICE_TIMEOUT_MARGIN{1500};
constexpr std::int32_t MAX_SLOTS_PER_TARGET = 64;
/** More would not fit into one answer of the target, see `resource_shares`. */
constexpr std::int32_t MAX_RUNS_PER_TARGET = 2000;
/** Between placement rounds while only suspects wait. */
constexpr millis SUSPECT_PERIOD{50};

std::int64_t slots_in(std::int64_t available, std::int64_t demand) {
    return demand <= 0 ? MAX_SLOTS_PER_TARGET
                       : std::max<std::int64_t>(0, available / demand);
}

/** Number of tasks of a given demand that fit into the available resources. */
std::int32_t slots_for(const resources& available, const resources& demand) {
    return static_cast<std::int32_t>(std::min<std::int64_t>(
        {MAX_SLOTS_PER_TARGET,
         slots_in(available.milli_cores, demand.milli_cores),
         slots_in(available.memory_mib, demand.memory_mib),
         slots_in(available.accelerators, demand.accelerators)}));
}

/** A target about which the advice service may be asked. */
struct advice_candidate {
    bool unknown = true; ///< Not known to be eligible.
    int rank = 0;        ///< By `owner::advice_rank`.
    std::int32_t slots = 0;
    std::size_t spread = 0; ///< Orders equal targets differently for each job.
    std::string_view name;

    /**
     * Targets known to be eligible come first, since only their tickets have to
     * be renewed; then those with most room.
     */
    bool operator<(const advice_candidate& other) const {
        return std::tuple(unknown, rank, -slots, spread, name) <
               std::tuple(other.unknown, other.rank, -other.slots, other.spread,
                          other.name);
    }
};

/** Tells whether a task of a ready step is waiting for a target. */
bool has_waiting(const job_entry& job) {
    for (const auto& [number, repeat] : job.repeats)
        for (const step_entry& step : repeat.steps)
            if (step.ready && step.waiting > 0)
                return true;
    return false;
}

} // namespace

std::vector<owner::runnable_step>
owner::runnable_steps(const owner_clock& clock) const {
    std::vector<runnable_step> out;
    for (const job_id& id : live_jobs_) {
        const job_entry& job = *jobs_.find(id);
        if (job.ended() || !has_waiting(job))
            continue;
        const queue_config* queue = find_queue(config_, job.record.queue);
        if (queue == nullptr)
            continue;
        for (const auto& [number, repeat] : job.repeats) {
            const repeat_estimate estimate =
                estimate_repeat(job.record.spec, repeat);
            const auto objective =
                static_cast<std::int64_t>(
                    queue->stretch *
                    static_cast<double>(estimate.critical_path.count())) +
                queue->objective.count();
            const std::int64_t start_ms =
                job.record.spec.repeats == 0
                    ? job.record.accepted_ms
                    : job.record.spec.first_due_ms +
                          number * job.record.spec.interval.count();
            const std::int64_t age = clock.wall_ms - start_ms;
            for (size_t s = 0; s < repeat.steps.size(); ++s) {
                if (!repeat.steps[s].ready || repeat.steps[s].waiting == 0)
                    continue;
                const step_spec& spec = job.record.spec.steps[s];
                // A job that can no longer meet its objective yields to those
                // that can.
                const std::int64_t expected_ms =
                    age + estimate.remaining[s].count();
                const int lateness = expected_ms <= objective               ? 0
                                     : age < objective * WORTHLESS_MULTIPLE ? 1
                                                                            : 2;
                out.push_back(
                    {.ref = {id, number, static_cast<std::int32_t>(s)},
                     .priority = queue->priority,
                     .over_rate = job.over_rate,
                     .lateness = spec.long_lived ? 0 : lateness,
                     .due_ms = start_ms + objective,
                     .remaining = estimate.remaining[s],
                     .spec = &spec,
                     .queue = queue});
            }
        }
    }
    std::sort(out.begin(), out.end(),
              [](const runnable_step& a, const runnable_step& b) {
                  return std::tuple(a.lateness == 2, a.over_rate, a.priority,
                                    a.lateness, a.due_ms, a.ref) <
                         std::tuple(b.lateness == 2, b.over_rate, b.priority,
                                    b.lateness, b.due_ms, b.ref);
              });
    return out;
}

void owner::collect_schedulable(mono_time now) {
    schedulable_.clear();
    largest_free_ = {};
    for (auto& [id, target] : targets_.all()) {
        target.schedulable = target.listed && target.entry_current() &&
                             target.fenced && target.responsive &&
                             !target.entry.draining &&
                             now >= target.backoff_until &&
                             !evacuated_.contains(target.entry.data_centre);
        if (!target.schedulable)
            continue;
        schedulable_.push_back(&target);
        const resources available = target.free_resources();
        largest_free_ = {
            std::max(largest_free_.milli_cores, available.milli_cores),
            std::max(largest_free_.memory_mib, available.memory_mib),
            std::max(largest_free_.accelerators, available.accelerators)};
    }
    if (settings_.scheduling.place_by_expected_end)
        update_speeds(now);
}

void owner::schedule(const owner_clock& clock) {
    if (!may_send_orders(clock.now))
        return;
    suspects_.begin_round(clock.now);
    collect_schedulable(clock.now);
    advice_.begin_round();
    const bool by_delay_cost = settings_.scheduling.order_by_delay_cost;
    std::vector<runnable_step> steps =
        by_delay_cost ? steps_by_delay_cost(clock) : runnable_steps(clock);
    if (by_delay_cost)
        place_by_delay_cost(steps, clock);
    else
        for (const runnable_step& step : steps)
            if (allocation_for(step.spec->demand, step.spec->best_effort)
                    .fits_in(largest_free_))
                place_step(step, clock);
    place_copies(steps, clock);
    if (settings_.scheduling.advice_ahead)
        ask_ahead(clock);
    if (suspects_.has_waiting()) {
        schedule_due_ = true;
        next_schedule_ = std::max(next_schedule_, clock.now + SUSPECT_PERIOD);
    }
}

bool owner::matches_constraints(const runnable_step& step,
                                const target_state& target) const {
    const target_entry& entry = target.entry;
    if (entry.service != step.queue->service)
        return false;
    return step.spec->required_label.empty() ||
           std::find(entry.labels.begin(), entry.labels.end(),
                     step.spec->required_label) != entry.labels.end();
}

std::int32_t owner::free_slots(const runnable_step& step,
                               const target_state& target) const {
    if (target.exclusive || target.avoided)
        return 0;
    std::int32_t slots =
        slots_for(target.free_resources(),
                  allocation_for(step.spec->demand, step.spec->best_effort));
    if (step.spec->best_effort) {
        const std::int64_t idle_milli_cores =
            target.free_resources().milli_cores -
            target.best_effort_milli_cores;
        slots = std::min<std::int32_t>(
            slots,
            static_cast<std::int32_t>(slots_in(
                std::max<std::int64_t>(0, idle_milli_cores),
                std::max<std::int64_t>(1, step.spec->demand.milli_cores))));
    }
    if (step.spec->max_tasks_per_target > 0) {
        std::int32_t present = 0;
        auto position = target.runs.lower_bound(task_id{step.ref, 0});
        for (;
             position != target.runs.end() && position->first.step == step.ref;
             ++position)
            ++present;
        slots = std::min(slots, step.spec->max_tasks_per_target - present);
    }
    slots = std::min(slots, MAX_RUNS_PER_TARGET -
                                static_cast<std::int32_t>(target.runs.size()));
    // A degraded target is probed with a single task.
    if (target.degraded || target.speed.probing)
        slots = std::min(slots, target.has_finite_run() ? 0 : 1);
    return std::max(0, slots);
}

resources owner::remaining_quota(const runnable_step& step) const {
    return remaining_quota(jobs_.find(step.ref.job)->record.organisation);
}

resources owner::remaining_quota(const organisation_id& name) const {
    constexpr std::int64_t UNLIMITED = std::numeric_limits<std::int64_t>::max();
    constexpr std::int64_t NOTHING = -1; // Not even a task without demand fits.
    const organisation_config* organisation = find_organisation(config_, name);
    if (name.empty())
        return {UNLIMITED, UNLIMITED, UNLIMITED};
    // The limit of an organisation that the configuration does not name is not
    // known; its tasks wait.
    if (organisation == nullptr)
        return {NOTHING, NOTHING, NOTHING};
    const resources in_use = targets_.usage(name);
    const auto remaining = [](std::int64_t limit, std::int64_t amount) {
        return limit <= 0 ? UNLIMITED : limit - amount;
    };
    const resources& limit = organisation->limit;
    return {remaining(limit.milli_cores, in_use.milli_cores),
            remaining(limit.memory_mib, in_use.memory_mib),
            remaining(limit.accelerators, in_use.accelerators)};
}

void owner::place_step(const runnable_step& step, const owner_clock& clock) {
    if (!step.spec->demand.fits_in(remaining_quota(step)))
        return;
    std::vector<target_state*> candidates = candidate_targets(step, clock);
    // Best fit keeps large free capacities for large tasks. Best-effort tasks
    // go where most is free. A step stays near its data.
    const bool best_effort = step.spec->best_effort;
    const std::string& rack = step.spec->preferred_rack;
    const bool by_end = settings_.scheduling.place_by_expected_end;
    std::vector<target_state*> slots; // One for each task.
    if (by_end)
        slots = order_by_expected_end(step, candidates, clock);
    else
        std::sort(
            candidates.begin(), candidates.end(),
            [&](const target_state* a, const target_state* b) {
                if (a->unproven_suspect != b->unproven_suspect)
                    return b->unproven_suspect;
                const bool a_far = !rack.empty() && a->entry.rack != rack;
                const bool b_far = !rack.empty() && b->entry.rack != rack;
                if (a_far != b_far)
                    return b_far;
                const std::int64_t a_free = a->free_resources().milli_cores;
                const std::int64_t b_free = b->free_resources().milli_cores;
                if (a_free != b_free)
                    return best_effort ? a_free > b_free : a_free < b_free;
                return a->entry.id < b->entry.id;
            });
    const bool suspects = suspects_.active();
    if (step.spec->gang) {
        if (suspects)
            suspects_.select_for_gang(step.ref, candidates);
        place_gang(step, candidates, clock);
    } else {
        step_entry& entry = *jobs_.find(step.ref);
        const std::vector<target_state*>& order = by_end ? slots : candidates;
        size_t position = 0;
        std::int64_t placed = 0;
        for (size_t i = 0; i < entry.tasks.size() && position < order.size() &&
                           placed < step.max_tasks;
             ++i) {
            const task_entry& task = entry.tasks[i];
            if (task.phase != task_phase::waiting ||
                targets_.has_run({step.ref, static_cast<std::int32_t>(i)}) ||
                (suspects && !task.crashes.empty() &&
                 assess(task.crashes) != suspicion::none))
                continue;
            if (!step.spec->demand.fits_in(remaining_quota(step)))
                return;
            while (position < order.size() &&
                   free_slots(step, *order[position]) == 0)
                ++position;
            if (position == order.size())
                break;
            target_state* choice = order[position];
            if (choice->entry.id == task.avoid_target)
                for (size_t other = by_end ? 0 : position + 1;
                     other < candidates.size(); ++other)
                    if (candidates[other] != choice &&
                        free_slots(step, *candidates[other]) > 0) {
                        choice = candidates[other];
                        break;
                    }
            place_task(step, static_cast<std::int32_t>(i), task.run + 1,
                       *choice, clock);
            position += by_end ? 1 : 0;
            ++placed;
        }
        if (suspects)
            place_suspects(step, candidates, clock);
    }
    if (!step.queue->advice)
        return;
    if (jobs_.find(step.ref)->waiting > 0)
        request_advice(step, clock, clock.now);
    else if (settings_.scheduling.advice_ahead)
        note_step_placed(step);
}

std::vector<target_state*> owner::candidate_targets(const runnable_step& step,
                                                    const owner_clock& clock) {
    std::vector<target_state*> out;
    const auto add_candidate = [&](target_state& target) {
        if (target.schedulable && free_slots(step, target) > 0 &&
            matches_constraints(step, target) &&
            !held_for_gang(step, target, clock))
            out.push_back(&target);
    };
    if (!step.queue->advice) {
        for (target_state* target : schedulable_)
            add_candidate(*target);
        return out;
    }
    // Only the known eligible targets are visited; in a large cell they are
    // few.
    for (const auto& [id, ticket] : advice_.for_step(step.ref).eligible) {
        if (ticket.expires <= clock.now)
            continue;
        if (target_state* target = targets_.find(id))
            add_candidate(*target);
    }
    return out;
}

void owner::place_gang(const runnable_step& step,
                       const std::vector<target_state*>& candidates,
                       const owner_clock& clock) {
    step_entry& entry = *jobs_.find(step.ref);
    const std::int32_t count = step.spec->count;
    // All members start together, so no earlier run of any of them may be left.
    if (entry.waiting < count ||
        !(step.spec->demand * count).fits_in(remaining_quota(step)))
        return;
    for (std::int32_t i = 0; i < count; ++i)
        if (targets_.has_run({step.ref, i}))
            return;
    std::vector<target_state*> selected;
    const auto collect = [&](const std::string* rack) {
        selected.clear();
        for (target_state* target : candidates) {
            if (rack != nullptr && target->entry.rack != *rack)
                continue;
            for (std::int32_t n = free_slots(step, *target);
                 n > 0 && selected.size() < static_cast<size_t>(count); --n)
                selected.push_back(target);
        }
        return selected.size() == static_cast<size_t>(count);
    };
    bool fits = false;
    if (settings_.scheduling.place_by_expected_end) {
        selected = fastest_for_gang(step, candidates, clock);
        if (selected.empty())
            return;
        fits = true;
    } else if (step.spec->same_rack) {
        std::set<std::string> racks;
        for (const target_state* target : candidates)
            racks.insert(target->entry.rack);
        for (const std::string& rack : racks)
            if ((fits = collect(&rack)))
                break;
    }
    if (!fits && !collect(nullptr))
        return;
    std::int32_t run = 0;
    for (const task_entry& task : entry.tasks)
        run = std::max(run, task.run);
    for (std::int32_t i = 0; i < count; ++i)
        place_task(step, i, run + 1, *selected[static_cast<size_t>(i)], clock);
}

void owner::place_task(const runnable_step& step, std::int32_t index,
                       std::int32_t run, target_state& target,
                       const owner_clock& clock) {
    const task_id task{step.ref, index};
    step_advice::ticket ticket;
    if (step.queue->advice)
        ticket = *advice_.for_step(step.ref).valid_ticket(target.entry.id,
                                                          clock.now);
    const target_entry on{.id = target.entry.id,
                          .incarnation = target.incarnation};
    if (jobs_.find(task)->phase == task_phase::placed)
        jobs_.place_copy(task, run, on);
    else
        jobs_.place(task, run, on);
    targets_.add_run(
        target, task,
        {.run = run,
         .phase = run_phase::recording,
         .incarnation = target.incarnation,
         .demand = step.spec->demand,
         .best_effort = step.spec->best_effort,
         .long_lived = step.spec->long_lived,
         .organisation = jobs_.find(step.ref.job)->record.organisation,
         .ticket = std::move(ticket.text),
         .ticket_expires = ticket.expires,
         .phase_since = clock.now,
         .tail_latency_target = step.spec->tail_latency_target});
    if (settings_.scheduling.place_by_expected_end)
        ++placed_by_class_[speed_class(target.speed.slowness)];
    suspects_.placed(target, task);
    note_placed(*jobs_.find(step.ref.job), *step.spec);
    unstored_runs_.emplace_back(target.entry.id, task);
}

bool owner::request_advice(const runnable_step& step, const owner_clock& clock,
                           mono_time usable_until) {
    step_advice& advice = advice_.for_step(step.ref);
    const millis shortest = advice_call_duration(*step.queue->advice, 1);
    if (advice.call_pending || clock.now < advice.retry_at ||
        !advice_.within_share(step.queue->name, shortest) ||
        !advice_.has_host(shortest, clock.now))
        return false;
    const bool slow =
        step.queue->advice->decide_ms >=
        static_cast<double>(advice_table::SLOW_CALL_THRESHOLD.count());
    const double ask_factor = slow ? ASK_FACTOR_SLOW : ASK_FACTOR_QUICK;
    // A wide call asks about other ones of equal targets than those of other
    // steps; steps that ask about the same ones compete for them.
    const bool wide =
        step.spec->gang || schedulable_.size() >= LARGE_CELL_TARGETS;
    const auto hash = std::hash<std::string>();
    const std::size_t seed = hash(step.ref.job.value);
    std::vector<advice_candidate> candidates;
    const speed_preference preference =
        settings_.scheduling.place_by_expected_end
            ? preferred_speed(step, clock)
            : speed_preference::none;
    double preferred_slots = 0;
    for (const target_state* target : schedulable_) {
        const std::int32_t slots = free_slots(step, *target);
        const target_id& id = target->entry.id;
        if (slots <= 0 || !matches_constraints(step, *target) ||
            advice.ineligible.contains(id) ||
            advice.valid_ticket(id, usable_until) != nullptr)
            continue;
        const int rank = advice_rank(preference, *target);
        preferred_slots += rank == 0 ? slots : 0;
        candidates.push_back({.unknown = !advice.eligible.contains(id),
                              .rank = rank,
                              .slots = slots,
                              .spread = wide ? hash(id.value) ^ seed : 0,
                              .name = id.value});
    }
    if (candidates.empty())
        return false;
    const double needed =
        ask_factor * static_cast<double>(jobs_.find(step.ref)->waiting);
    if (preferred_slots < needed)
        for (advice_candidate& candidate : candidates)
            candidate.rank = 0;
    const auto asked_end = candidates.begin() +
                           static_cast<std::ptrdiff_t>(
                               std::min(candidates.size(), MAX_ASKED_TARGETS));
    std::partial_sort(candidates.begin(), asked_end, candidates.end());
    const size_t min_targets =
        wide ? MIN_ASKED_TARGETS_WIDE : MIN_ASKED_TARGETS;
    double counted = 0;
    std::vector<std::string> target_names;
    for (auto candidate = candidates.begin(); candidate != asked_end;
         ++candidate) {
        if (counted >= needed && target_names.size() >= min_targets)
            break;
        counted += candidate->slots;
        target_names.emplace_back(candidate->name);
    }
    const millis duration =
        advice_call_duration(*step.queue->advice, target_names.size());
    const auto host = advice_.acquire_host(duration, clock.now);
    if (!host)
        return false;
    advice_.asked(step.ref, step.queue->name,
                  {target_names.begin(), target_names.end()});
    output_.ask_advice(*host, step.ref, target_names,
                       duration + ADVICE_TIMEOUT_MARGIN);
    return true;
}

void owner::advice_answered(const host_id& host, const step_ref& step,
                            bool slow, const advice_answer& answer,
                            const owner_clock& clock) {
    advice_.release_host(host, slow, !answer.ok, clock.now);
    advice_.answered(step, answer, clock.now);
    schedule_due_ = true;
}

} // namespace rattan::dispatch
