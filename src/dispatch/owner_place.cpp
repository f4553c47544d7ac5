/** @file What is started next, and where. */
#include "dispatch/owner_base.hpp"
#include "dispatch/route_func.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace rattan::dispatch {

namespace {

/** Past this multiple of its objective a job earns nothing any more. */
constexpr int WORTHLESS_AFTER = 3;
/** More targets are asked about than needed: some may not run the step. */
constexpr double ASK_MARGIN_QUICK = 2.0;
constexpr double ASK_MARGIN_SLOW = 4.0;
constexpr size_t FEWEST_ASKED = 8;
constexpr size_t MOST_ASKED = 100;      ///< Of one call to the advice service.
constexpr millis ADVICE_SLACK{1500};    ///< On top of the work of a call.
constexpr std::int32_t MOST_SLOTS = 64; ///< Counted on one target.

std::int64_t parts_in(std::int64_t room, std::int64_t demand) {
    return demand <= 0 ? MOST_SLOTS : std::max<std::int64_t>(0, room / demand);
}

/** How many tasks of a size fit into a room. */
std::int32_t fit_count(const resources& room, const resources& demand) {
    return static_cast<std::int32_t>(std::min<std::int64_t>(
        {MOST_SLOTS, parts_in(room.milli_cores, demand.milli_cores),
         parts_in(room.memory_mib, demand.memory_mib),
         parts_in(room.accelerators, demand.accelerators)}));
}

/** Tells whether a task of an open step waits for a target. */
bool has_waiting(const job_entry& job) {
    for (const auto& [number, repeat] : job.repeats)
        for (const step_entry& step : repeat.steps)
            if (step.open && step.waiting > 0)
                return true;
    return false;
}

} // namespace

std::vector<owner::runnable_step>
owner::runnable(const owner_clock& clock) const {
    std::vector<runnable_step> out;
    for (const job_id& id : live_) {
        const job_entry& job = *jobs_.find(id);
        if (job.ended() || !has_waiting(job))
            continue;
        const queue_config* queue = find_queue(config_, job.record.queue);
        if (queue == nullptr)
            continue;
        for (const auto& [number, repeat] : job.repeats) {
            const repeat_outlook outlook = outlook_of(job.record.spec, repeat);
            const auto objective =
                static_cast<std::int64_t>(
                    queue->stretch *
                    static_cast<double>(outlook.chain.count())) +
                queue->objective.count();
            const std::int64_t begin =
                job.record.spec.repeats == 0
                    ? job.record.accepted_ms
                    : job.record.spec.first_due_ms +
                          number * job.record.spec.interval.count();
            const std::int64_t age = clock.wall_ms - begin;
            for (size_t s = 0; s < repeat.steps.size(); ++s) {
                if (!repeat.steps[s].open || repeat.steps[s].waiting == 0)
                    continue;
                const step_spec& spec = job.record.spec.steps[s];
                // A job that can't be in time any more makes way.
                const std::int64_t end = age + outlook.tails[s].count();
                const int lateness = end <= objective                    ? 0
                                     : age < objective * WORTHLESS_AFTER ? 1
                                                                         : 2;
                out.push_back(
                    {.ref = {id, number, static_cast<std::int32_t>(s)},
                     .priority = queue->priority,
                     .beyond_share = job.beyond_share,
                     .lateness = spec.long_lived ? 0 : lateness,
                     .due_ms = begin + objective,
                     .spec = &spec,
                     .queue = queue});
            }
        }
    }
    std::sort(out.begin(), out.end(),
              [](const runnable_step& a, const runnable_step& b) {
                  return std::tuple(a.lateness == 2, a.beyond_share, a.priority,
                                    a.lateness, a.due_ms, a.ref) <
                         std::tuple(b.lateness == 2, b.beyond_share, b.priority,
                                    b.lateness, b.due_ms, b.ref);
              });
    return out;
}

void owner::collect_usable(mono_time now) {
    usable_.clear();
    largest_room_ = {};
    for (auto& [id, target] : targets_.all()) {
        target.usable = target.listed && target.fenced && target.answers &&
                        !target.entry.draining && now >= target.sick_until &&
                        !evacuated_.contains(target.entry.data_centre);
        if (!target.usable)
            continue;
        usable_.push_back(&target);
        const resources room = target.room();
        largest_room_ = {
            std::max(largest_room_.milli_cores, room.milli_cores),
            std::max(largest_room_.memory_mib, room.memory_mib),
            std::max(largest_room_.accelerators, room.accelerators)};
    }
}

void owner::schedule(const owner_clock& clock) {
    if (!may_order(clock.now))
        return;
    collect_usable(clock.now);
    for (const runnable_step& step : runnable(clock))
        if (room_taken(step.spec->demand, step.spec->best_effort)
                .fits_in(largest_room_))
            place_step(step, clock);
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

std::int32_t owner::slots(const runnable_step& step,
                          const target_state& target) const {
    std::int32_t fit = fit_count(
        target.room(), room_taken(step.spec->demand, step.spec->best_effort));
    if (step.spec->best_effort) {
        const std::int64_t left =
            target.room().milli_cores - target.best_effort_milli_cores;
        fit = std::min<std::int32_t>(
            fit,
            static_cast<std::int32_t>(parts_in(
                std::max<std::int64_t>(0, left),
                std::max<std::int64_t>(1, step.spec->demand.milli_cores))));
    }
    if (step.spec->max_tasks_per_target > 0) {
        std::int32_t present = 0;
        auto at = target.runs.lower_bound(task_id{step.ref, 0});
        for (; at != target.runs.end() && at->first.step == step.ref; ++at)
            ++present;
        fit = std::min(fit, step.spec->max_tasks_per_target - present);
    }
    // A target that was too slow is tried with one task first.
    if (target.sluggish)
        fit = std::min(fit, target.has_short_run() ? 0 : 1);
    return std::max(0, fit);
}

resources owner::quota_left(const runnable_step& step) const {
    constexpr std::int64_t ALL = std::numeric_limits<std::int64_t>::max();
    const organisation_id& name = jobs_.find(step.ref.job)->record.organisation;
    const organisation_config* organisation = find_organisation(config_, name);
    if (organisation == nullptr)
        return {ALL, ALL, ALL};
    const resources used = targets_.usage(name);
    const auto remaining = [](std::int64_t limit, std::int64_t taken) {
        return limit <= 0 ? ALL : limit - taken;
    };
    const resources& limit = organisation->limit;
    return {remaining(limit.milli_cores, used.milli_cores),
            remaining(limit.memory_mib, used.memory_mib),
            remaining(limit.accelerators, used.accelerators)};
}

void owner::place_step(const runnable_step& step, const owner_clock& clock) {
    if (!step.spec->demand.fits_in(quota_left(step)))
        return;
    std::vector<target_state*> usable = targets_for(step, clock);
    // Least room first keeps large gaps for large tasks; fillers go where
    // most is left, and a step stays near its data.
    const bool best_effort = step.spec->best_effort;
    const std::string& rack = step.spec->preferred_rack;
    std::sort(usable.begin(), usable.end(),
              [&](const target_state* a, const target_state* b) {
                  const bool a_far = !rack.empty() && a->entry.rack != rack;
                  const bool b_far = !rack.empty() && b->entry.rack != rack;
                  if (a_far != b_far)
                      return b_far;
                  const std::int64_t a_room = a->room().milli_cores;
                  const std::int64_t b_room = b->room().milli_cores;
                  if (a_room != b_room)
                      return best_effort ? a_room > b_room : a_room < b_room;
                  return a->entry.id < b->entry.id;
              });
    if (step.spec->gang) {
        place_gang(step, usable, clock);
    } else {
        step_entry& entry = *jobs_.find(step.ref);
        size_t at = 0;
        for (size_t i = 0; i < entry.tasks.size() && at < usable.size(); ++i) {
            const task_entry& task = entry.tasks[i];
            if (task.phase != task_phase::waiting)
                continue;
            if (!step.spec->demand.fits_in(quota_left(step)))
                return;
            while (at < usable.size() && slots(step, *usable[at]) == 0)
                ++at;
            if (at == usable.size())
                break;
            target_state* choice = usable[at];
            if (choice->entry.id == task.avoid)
                for (size_t other = at + 1; other < usable.size(); ++other)
                    if (slots(step, *usable[other]) > 0) {
                        choice = usable[other];
                        break;
                    }
            place_on(step, static_cast<std::int32_t>(i), task.run + 1, *choice,
                     clock);
        }
    }
    if (step.queue->advice && jobs_.find(step.ref)->waiting > 0)
        ask(step, clock);
}

std::vector<target_state*> owner::targets_for(const runnable_step& step,
                                              const owner_clock& clock) {
    std::vector<target_state*> out;
    const auto take = [&](target_state& target) {
        if (target.usable && slots(step, target) > 0 &&
            matches_constraints(step, target))
            out.push_back(&target);
    };
    if (!step.queue->advice) {
        for (target_state* target : usable_)
            take(*target);
        return out;
    }
    // In a large cell few targets are known to be good for a step.
    for (const auto& [id, ticket] : advice_.of(step.ref).eligible) {
        if (ticket.expires <= clock.now)
            continue;
        if (target_state* target = targets_.find(id))
            take(*target);
    }
    return out;
}

void owner::place_gang(const runnable_step& step,
                       const std::vector<target_state*>& usable,
                       const owner_clock& clock) {
    step_entry& entry = *jobs_.find(step.ref);
    const std::int32_t count = step.spec->count;
    // All members start together, so no run of any may be left.
    if (entry.waiting < count ||
        !(step.spec->demand * count).fits_in(quota_left(step)))
        return;
    for (const auto& [id, target] : targets_.all()) {
        const auto at = target.runs.lower_bound(task_id{step.ref, 0});
        if (at != target.runs.end() && at->first.step == step.ref)
            return;
    }
    std::vector<target_state*> chosen;
    const auto collect = [&](const std::string* rack) {
        chosen.clear();
        for (target_state* target : usable) {
            if (rack != nullptr && target->entry.rack != *rack)
                continue;
            for (std::int32_t n = slots(step, *target);
                 n > 0 && chosen.size() < static_cast<size_t>(count); --n)
                chosen.push_back(target);
        }
        return chosen.size() == static_cast<size_t>(count);
    };
    bool fits = false;
    if (step.spec->same_rack) {
        std::set<std::string> racks;
        for (const target_state* target : usable)
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
        place_on(step, i, run + 1, *chosen[static_cast<size_t>(i)], clock);
}

void owner::place_on(const runnable_step& step, std::int32_t index,
                     std::int32_t run, target_state& target,
                     const owner_clock& clock) {
    const task_id task{step.ref, index};
    step_advice::ticket ticket;
    if (step.queue->advice)
        ticket = *advice_.of(step.ref).valid_ticket(target.entry.id, clock.now);
    jobs_.place(task, run, target.entry);
    targets_.add_run(
        target, task,
        {.run = run,
         .phase = run_phase::recording,
         .demand = step.spec->demand,
         .best_effort = step.spec->best_effort,
         .long_lived = step.spec->long_lived,
         .organisation = jobs_.find(step.ref.job)->record.organisation,
         .ticket = std::move(ticket.text),
         .ticket_until = ticket.expires,
         .since = clock.now,
         .tail_latency_target = step.spec->tail_latency_target});
    chosen_.emplace_back(target.entry.id, task);
}

void owner::ask(const runnable_step& step, const owner_clock& clock) {
    step_advice& advice = advice_.of(step.ref);
    if (advice.asking || clock.now < advice.retry_at ||
        !advice_.has_lane(advice_length(*step.queue->advice, 1), clock.now))
        return;
    const bool slow =
        step.queue->advice->decide_ms >=
        static_cast<double>(advice_table::SLOW_CALL_THRESHOLD.count());
    const double margin = slow ? ASK_MARGIN_SLOW : ASK_MARGIN_QUICK;
    std::vector<std::pair<std::int32_t, const target_state*>> candidates;
    for (const target_state* target : usable_) {
        const std::int32_t fit = slots(step, *target);
        const target_id& id = target->entry.id;
        if (fit > 0 && matches_constraints(step, *target) &&
            !advice.bad.contains(id) &&
            advice.valid_ticket(id, clock.now) == nullptr)
            candidates.emplace_back(fit, target);
    }
    if (candidates.empty())
        return;
    // Known good ones first: only their tickets have to be renewed.
    std::sort(candidates.begin(), candidates.end(),
              [&](const auto& a, const auto& b) {
                  const bool a_good =
                      advice.eligible.contains(a.second->entry.id);
                  const bool b_good =
                      advice.eligible.contains(b.second->entry.id);
                  if (a_good != b_good)
                      return a_good;
                  if (a.first != b.first)
                      return a.first > b.first;
                  return a.second->entry.id < b.second->entry.id;
              });
    const double wanted =
        margin * static_cast<double>(jobs_.find(step.ref)->waiting);
    double counted = 0;
    std::vector<std::string> names;
    for (const auto& [fit, target] : candidates) {
        if (names.size() >= MOST_ASKED ||
            (counted >= wanted && names.size() >= FEWEST_ASKED))
            break;
        counted += fit;
        names.push_back(target->entry.id.value);
    }
    const millis length = advice_length(*step.queue->advice, names.size());
    const auto host = advice_.take_lane(length, clock.now);
    if (!host)
        return;
    advice.asking = true;
    advice.asked.clear();
    for (const std::string& name : names)
        advice.asked.push_back({name});
    output_.ask_advice(*host, step.ref, names, length + ADVICE_SLACK);
}

void owner::advice_answered(const host_id& host, const step_ref& step,
                            bool slow, const advice_answer& answer,
                            const owner_clock& clock) {
    advice_.free_lane(host, slow, !answer.ok, clock.now);
    advice_.answered(step, answer, clock.now);
    schedule_due_ = true;
}

} // namespace rattan::dispatch
