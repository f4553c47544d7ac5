/** @file Looks at targets: leases, ends, lives. */
#include "dispatch/owner_base.hpp"

#include <algorithm>

namespace rattan::dispatch {

namespace {

constexpr millis BUSY_WAIT{1000};   ///< A look waits so long for an end.
constexpr millis SERVING_WAIT{500}; ///< Where tails have to be watched.
constexpr millis IDLE_PERIOD{8000}; ///< Between looks at an idle target.
constexpr millis RETRY_PERIOD{250}; ///< After a look without an answer.
constexpr millis ANSWER_TIME{700};  ///< Beyond the wait that was asked for.
constexpr millis LAPSE_MARGIN{100}; ///< Rounding and the kill itself.
/** With ends not yet stored, a look only renews the lease, this often. */
constexpr millis RENEW_PERIOD{800};
/** A run listed so long after its stop was confirmed is stopped again. */
constexpr millis STOP_GRACE{500};
constexpr int FULL_PACE = 100;
/** A target that works too slowly gets a task to try it again after this. */
constexpr millis SLUGGISH_REST{1500};
/** More than one target in so many: the estimates are wrong, not they. */
constexpr std::size_t SLUGGISH_SHARE = 3;
constexpr int USUAL_TIMES = 2;           ///< A task may take so many estimates.
constexpr std::int32_t ALMOST_DONE = 80; ///< Percent; not worth a restart.

} // namespace

void owner::send_looks(const owner_clock& clock) {
    if (!may_order(clock.now))
        return;
    for (auto& [id, target] : targets_.all()) {
        if (target.looking || target.entry.address.empty())
            continue;
        if (!target.listed && target.runs.empty())
            continue;
        if (target.look_due <= clock.now)
            look_now(target, clock);
    }
}

void owner::look_now(target_state& target, const owner_clock& clock) {
    const bool settled = target.applied_end == target.stored_end;
    const bool unsure = std::any_of(
        target.runs.begin(), target.runs.end(), [](const auto& item) {
            return item.second.phase == run_phase::stopping ||
                   item.second.phase == run_phase::suspect;
        });
    const bool serving = std::any_of(
        target.runs.begin(), target.runs.end(), [](const auto& item) {
            return item.second.tail_latency_target.count() > 0;
        });
    millis wait{0};
    if (!target.runs.empty() && settled && !unsure && target.answers)
        wait = serving && target.best_effort_milli_cores > 0 ? SERVING_WAIT
                                                             : BUSY_WAIT;
    poll_order order{.fencing_token = settings_.epoch,
                     .last_seen = target.answers ? target.stored_end : 0,
                     .wait = wait,
                     .timeout = wait + ANSWER_TIME};
    // A silent target's lease is left to end, or its runs would be counted
    // there for as long as it is asked.
    if (target.clock_ms > 0 && (target.answers || !target.fenced)) {
        order.lease_end_ms =
            target.clock_now(clock.now) + settings_.lease.count();
        target.lease_end_ms = std::max(target.lease_end_ms, order.lease_end_ms);
    }
    target.looking = true;
    target.look_sent = clock.now;
    output_.poll(address_of(target), order);
}

void owner::look_besides(target_state& target, const owner_clock& clock) {
    if (!target.looking) {
        target.look_due = clock.now;
        return;
    }
    // The look under way may wait for an end that never comes.
    output_.poll(address_of(target), {.fencing_token = settings_.epoch,
                                      .last_seen = target.stored_end,
                                      .timeout = ANSWER_TIME,
                                      .concurrent = true});
}

void owner::poll_answered(const target_id& id, const poll_answer& answer,
                          mono_time sent_at, const owner_clock& clock) {
    target_state* found = targets_.find(id);
    if (found == nullptr)
        return;
    target_state& target = *found;
    if (!answer.concurrent)
        target.looking = false;
    if (answer.order.refusal == order_refusal::stale_token) {
        superseded_ = true;
        return;
    }
    if (!answer.order.done && answer.concurrent)
        return; // The other look tells.
    if (!answer.order.done) {
        if (std::exchange(target.answers, false))
            output_.log("target_silent", {}, "target=" + id.value);
        target.look_due = clock.now + RETRY_PERIOD;
        return;
    }
    if (answer.incarnation != 0 &&
        answer.incarnation != target.entry.incarnation)
        new_life(target, answer.incarnation, clock);
    // Answers of two looks may overtake each other.
    if (answer.order.clock_ms < target.listed_ms)
        return;
    target.listed_ms = answer.order.clock_ms;
    const bool was_usable = target.answers && target.fenced;
    target_table::set_clock(target, answer.order.clock_ms, clock.now);
    target.answers = true;
    for (const listed_end& end : answer.ended)
        if (end.sequence > target.applied_end)
            take_end(target, end, clock);
    take_running(target, answer, sent_at, clock);
    target.fenced = true;
    if (!was_usable)
        schedule_due_ = true;
    pace_fillers(target);
    judge_pace(target, clock);
    if (target.applied_end > target.stored_end)
        target.look_due = clock.now + RENEW_PERIOD;
    else if (target.runs.empty())
        target.look_due = clock.now + IDLE_PERIOD;
    else
        target.look_due = clock.now;
}

void owner::take_end(target_state& target, const listed_end& end,
                     const owner_clock& clock) {
    target.applied_end = end.sequence;
    const auto found = target.runs.find(end.task);
    const bool counted =
        found != target.runs.end() && found->second.run == end.run;
    const run_entry run = counted ? found->second : run_entry{.run = end.run};
    if (counted)
        targets_.remove_run(target, end.task);
    run_ended(target, run, end, clock);
    judge_target(target, end, clock);
    const step_spec* spec = jobs_.spec(end.task.step);
    if (end.end == run_end::done && run.started != mono_time{} &&
        spec != nullptr &&
        clock.now - run.started <= spec->estimate * USUAL_TIMES)
        target.sluggish = false; // Too short for samples, and soon done.
    schedule_due_ = true;
}

void owner::take_running(target_state& target, const poll_answer& answer,
                         mono_time sent_at, const owner_clock& clock) {
    std::set<task_id> present;
    for (const listed_run& run : answer.running) {
        present.insert(run.task);
        adopt(target, run, clock);
    }
    std::vector<task_id> gone;
    for (auto& [task, run] : target.runs) {
        if (present.contains(task))
            continue;
        switch (run.phase) {
        case run_phase::suspect:
            // The fence of this look keeps older orders out.
            gone.push_back(task);
            break;
        case run_phase::stopping:
            if (run.stop_acked != mono_time{} && sent_at > run.stop_acked)
                gone.push_back(task);
            break;
        case run_phase::recording:
        case run_phase::starting:
        case run_phase::running:
            break;
        }
    }
    for (const task_id& task : gone)
        drop_run(target, task);
}

void owner::adopt(target_state& target, const listed_run& listed,
                  const owner_clock& clock) {
    const auto found = target.runs.find(listed.task);
    if (found != target.runs.end() && found->second.run == listed.run) {
        run_entry& run = found->second;
        note_progress(target, run, listed);
        run.percent = listed.percent;
        run.measurement = listed.measurement;
        jobs_.keep_checkpoint(listed.task, listed.checkpoint);
        if (run.phase == run_phase::stopping && run.stop_acked != mono_time{} &&
            clock.now > run.stop_acked + settings_.stop_duration + STOP_GRACE) {
            output_.log("stop_without_effect", listed.task.step.job,
                        "target=" + target.entry.id.value);
            order_stop(target, listed.task, run);
        }
        if (run.phase == run_phase::suspect ||
            run.phase == run_phase::starting) {
            run.phase = run_phase::running;
            run.since = clock.now;
            run.started = clock.now;
        }
        return;
    }
    if (found != target.runs.end()) {
        // An older run is there, so the newer one never came: stop what is.
        output_.log("run_outdated", listed.task.step.job,
                    "target=" + target.entry.id.value +
                        " run=" + std::to_string(listed.run) +
                        " newer=" + std::to_string(found->second.run));
        if (found->second.phase != run_phase::recording &&
            listed.run < found->second.run) {
            found->second.run = listed.run;
            found->second.since = clock.now;
            order_stop(target, listed.task, found->second);
        }
        return;
    }
    // A run that no job accounts for: of an ended job, or of an old owner.
    const step_spec* spec = jobs_.spec(listed.task.step);
    const job_entry* job = jobs_.find(listed.task.step.job);
    output_.log("run_unknown", listed.task.step.job,
                "target=" + target.entry.id.value);
    targets_.add_run(
        target, listed.task,
        {.run = listed.run,
         .phase = run_phase::stopping,
         // Of unknown size: nothing else may start there.
         .demand = spec != nullptr ? spec->demand : target.entry.capacity,
         .best_effort = spec != nullptr && spec->best_effort,
         .organisation =
             job != nullptr ? job->record.organisation : organisation_id{},
         .since = clock.now});
    to_stop_.emplace(target.entry.id, listed.task);
}

void owner::note_progress(target_state& target, run_entry& run,
                          const listed_run& listed) {
    const std::int64_t at = target.listed_ms;
    const std::int64_t before = std::exchange(run.percent_ms, at);
    const step_spec* spec = jobs_.spec(listed.task.step);
    const task_entry* task = jobs_.find(listed.task); // Null: it is over.
    if (before == 0 || spec == nullptr || task == nullptr || task->moved ||
        spec->long_lived || run.phase != run_phase::running ||
        run.pace < FULL_PACE)
        return;
    target.health.add({.step = listed.task.step,
                       .estimate = spec->estimate,
                       .percent = listed.percent - run.percent,
                       .passed = millis(at - before)});
}

void owner::judge_pace(target_state& target, const owner_clock& clock) {
    const target_pace pace = target.health.verdict(target.sluggish);
    move_stragglers(target, clock);
    if (pace == target_pace::unknown)
        return;
    const bool bad = pace != target_pace::working;
    if (std::exchange(target.sluggish, bad) != bad)
        output_.log(bad ? "target_sluggish" : "target_working", {},
                    "target=" + target.entry.id.value +
                        (pace == target_pace::hanging ? " hanging" : ""));
    if (!bad || too_many_sluggish())
        return;
    target.sick_until = clock.now + SLUGGISH_REST;
    if (pace != target_pace::hanging)
        return; // What is there may end soon all the same.
    move_runs(target, clock, [](const step_entry&, const run_entry& run) {
        return run.percent < ALMOST_DONE;
    });
}

void owner::move_runs(
    target_state& target, const owner_clock& clock,
    const std::function<bool(const step_entry&, const run_entry&)>& chosen) {
    std::vector<task_id> moving;
    for (const auto& [task, run] : target.runs) {
        const step_spec* spec = jobs_.spec(task.step);
        const task_entry* entry = jobs_.find(task);
        if (entry == nullptr || entry->moved || spec->long_lived ||
            spec->gang || run.phase != run_phase::running ||
            run.pace < FULL_PACE)
            continue;
        if (chosen(*jobs_.find(task.step), run))
            moving.push_back(task);
    }
    for (const task_id& task : moving) {
        output_.log("straggler_moved", task.step.job,
                    "target=" + target.entry.id.value);
        // A task that is slow everywhere would be moved for ever.
        task_entry& entry = *jobs_.find(task);
        entry.moved = true;
        entry.avoid = target.entry.id;
        stop_run(target, task, clock);
    }
}

void owner::move_stragglers(target_state& target, const owner_clock& clock) {
    move_runs(target, clock, [&](const step_entry& step, const run_entry& run) {
        return falls_behind({.elapsed = clock.now - run.started,
                             .percent = run.percent,
                             .peers = step.took});
    });
}

bool owner::too_many_sluggish() const {
    const auto& all = targets_.all();
    const auto count =
        std::count_if(all.begin(), all.end(),
                      [](const auto& item) { return item.second.sluggish; });
    return static_cast<std::size_t>(count) * SLUGGISH_SHARE > all.size();
}

void owner::new_life(target_state& target, std::int64_t incarnation,
                     const owner_clock& clock) {
    output_.log("target_restarted", {}, "target=" + target.entry.id.value);
    std::vector<task_id> gone;
    for (auto& [task, run] : target.runs) {
        if (run.phase == run_phase::recording)
            continue;
        // A late order could still reach the new life: stop it there first.
        if (run.phase == run_phase::starting ||
            (run.phase == run_phase::stopping && run.started == mono_time{})) {
            order_stop(target, task, run);
            continue;
        }
        gone.push_back(task);
    }
    for (const task_id& task : gone)
        drop_run(target, task);
    target.entry.incarnation = incarnation;
    target.applied_end = 0;
    target.stored_end = 0;
    target.clock_ms = 0;
    target.lease_end_ms = 0;
    target.listed_ms = 0;
    target.fenced = false;
    target.look_due = clock.now;
    schedule_due_ = true;
}

void owner::expire(target_state& target, const owner_clock& clock) {
    if (target.runs.empty() || target.answers)
        return;
    std::vector<task_id> gone;
    const bool lapsed =
        target.clock_ms > 0 &&
        target_table::lapsed(target, clock.now,
                             LAPSE_MARGIN + settings_.stop_duration);
    for (const auto& [task, run] : target.runs) {
        if (run.phase == run_phase::suspect
                ? clock.now >= suspects_until_
                : run.phase != run_phase::recording && lapsed)
            gone.push_back(task);
    }
    for (const task_id& task : gone) {
        output_.log("run_lapsed", task.step.job,
                    "target=" + target.entry.id.value);
        drop_run(target, task);
    }
}

void owner::pace_fillers(target_state& target) {
    if (target.best_effort_milli_cores == 0)
        return;
    // Share of its target at which a tail makes fillers slower or faster.
    constexpr double TOO_HIGH = 0.85;
    constexpr double LOW = 0.6;
    double worst = 0;
    for (const auto& [task, run] : target.runs)
        if (run.tail_latency_target.count() > 0)
            worst = std::max(worst, static_cast<double>(run.measurement) /
                                        static_cast<double>(
                                            run.tail_latency_target.count()));
    for (auto& [task, run] : target.runs) {
        if (!run.best_effort || run.phase != run_phase::running)
            continue;
        int pace = run.pace;
        if (worst > 1)
            pace = 0;
        else if (worst > TOO_HIGH)
            pace = pace / 2;
        else if (worst < LOW)
            pace = std::min(FULL_PACE, pace + 20);
        if (pace == run.pace)
            continue;
        run.pace = pace;
        output_.throttle(address_of(target), task, run.run, pace,
                         settings_.epoch);
    }
}

} // namespace rattan::dispatch
