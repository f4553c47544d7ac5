/** @file Polls of targets: lease renewal, ends of runs, restarts of targets. */
#include "dispatch/owner_base.hpp"

#include <algorithm>

namespace rattan::dispatch {

namespace {

/** Time for which a target delays its answer until a run ends. */
constexpr millis LONG_POLL_WAIT{1000};
/** The same while tail latencies have to be monitored. */
constexpr millis SERVING_POLL_WAIT{500};
constexpr millis IDLE_POLL_PERIOD{8000}; ///< Between polls of an idle target.
/**
 * Limits of the delay before a failed poll is repeated, which is the time for
 * which the target has been silent. A process that restarts at once has to be
 * found before a start that was meant for the one before reaches it.
 */
constexpr millis MIN_POLL_RETRY_PERIOD{20};
constexpr millis MAX_POLL_RETRY_PERIOD{250};
/** Time for an answer in addition to the requested wait. */
constexpr millis POLL_TIMEOUT_MARGIN{700};
/** Allows for rounding and for the time that killing the run takes. */
constexpr millis LEASE_EXPIRY_MARGIN{100};
constexpr millis MAX_ORDER_TIME{
    1000}; ///< From sending an order to its timeout.
/** An order without an answer may be carried out until this much later. */
constexpr millis MAX_ORDER_DELAY{15'000};
/** Between polls while ends are not stored yet; they only renew the lease. */
constexpr millis LEASE_RENEWAL_PERIOD{800};
/** A target needs longer than this to restart, start a run and end it. */
constexpr millis MIN_RESTART_TIME{100};
/** Ends that a target lists in one answer. */
constexpr std::size_t MAX_LISTED_ENDS = 500;
/**
 * A run that is still reported this long after it should have stopped is
 * stopped again.
 */
constexpr millis STOP_GRACE{500};
constexpr int FULL_SPEED_PERCENT = 100;
/** Time after which a degraded target is probed with a task again. */
constexpr millis DEGRADED_BACKOFF{1500};
/**
 * If more than one target in this many is degraded, the estimates are wrong
 * rather than the targets.
 */
constexpr std::size_t TARGETS_PER_DEGRADED = 3;
/** A task that takes at most this multiple of its estimate is not slow. */
constexpr int NORMAL_ESTIMATE_MULTIPLE = 2;
/** Beyond this progress a restart is not worthwhile. */
constexpr std::int32_t NEARLY_DONE_PERCENT = 80;

} // namespace

void owner::send_due_polls(const owner_clock& clock) {
    if (!may_send_orders(clock.now))
        return;
    for (auto& [id, target] : targets_.all()) {
        if (target.poll_pending || target.entry.address.empty())
            continue;
        if (!target.listed && target.runs.empty())
            continue;
        if (target.next_poll <= clock.now)
            send_poll(target, clock);
    }
}

void owner::send_poll(target_state& target, const owner_clock& clock) {
    const bool ends_stored = target.last_applied_end == target.last_stored_end;
    const bool run_state_unclear = std::any_of(
        target.runs.begin(), target.runs.end(), [](const auto& item) {
            return item.second.phase == run_phase::stopping ||
                   item.second.phase == run_phase::inherited;
        });
    const bool serving = std::any_of(
        target.runs.begin(), target.runs.end(), [](const auto& item) {
            return item.second.tail_latency_target.count() > 0;
        });
    millis wait{0};
    if ((!target.runs.empty() || start_may_arrive(target, clock.now)) &&
        ends_stored && !run_state_unclear && target.responsive)
        wait = serving && target.best_effort_milli_cores > 0 ? SERVING_POLL_WAIT
                                                             : LONG_POLL_WAIT;
    // A process that has taken the place of the known one would forget its own
    // ends up to this number. It has none unless it carried out a start, nor
    // right after an answer of the known one.
    const bool ends_of_known_process =
        target.responsive && target.restart_suspected == mono_time{} &&
        (!start_outstanding(target) ||
         clock.now - target.clock_received_at <= MIN_RESTART_TIME);
    poll_order order{.fencing_token = settings_.epoch,
                     .last_seen =
                         ends_of_known_process ? target.last_stored_end : 0,
                     .wait = wait,
                     .timeout = wait + POLL_TIMEOUT_MARGIN};
    // The lease of an unresponsive target is not renewed. Otherwise its runs
    // would count as present for as long as it is polled.
    if (target.clock_ms > 0 && (target.responsive || !target.fenced)) {
        order.lease_end_ms =
            target.estimated_clock_ms(clock.now) + settings_.lease.count();
        grant_lease(target, order.lease_end_ms, clock.now);
    }
    target.poll_pending = true;
    target.poll_sent_at = clock.now;
    output_.poll(address_of(target), order);
}

void owner::poll_concurrently(target_state& target, const owner_clock& clock) {
    if (!target.poll_pending) {
        target.next_poll = clock.now;
        return;
    }
    // The pending poll may be waiting for an end that never comes.
    output_.poll(address_of(target), {.fencing_token = settings_.epoch,
                                      .timeout = POLL_TIMEOUT_MARGIN,
                                      .concurrent = true});
}

void owner::poll_answered(const target_id& id, const poll_answer& answer,
                          mono_time sent_at, const owner_clock& clock) {
    target_state* found = targets_.find(id);
    if (found == nullptr)
        return;
    target_state& target = *found;
    const bool before_restart = sent_at <= target.incarnation_since;
    if (!answer.concurrent && sent_at >= target.poll_sent_at)
        target.poll_pending = false;
    if (answer.order.refusal == order_refusal::stale_token) {
        superseded_ = true;
        return;
    }
    // The regular poll of the newest process decides about the target.
    if (!answer.order.done && (answer.concurrent || before_restart))
        return;
    if (!answer.order.done) {
        if (std::exchange(target.responsive, false)) {
            target.silent_since = clock.now;
            output_.log("target_silent", {}, "target=" + id.value);
        }
        target.next_poll =
            clock.now + std::clamp(std::chrono::duration_cast<millis>(
                                       clock.now - target.silent_since),
                                   MIN_POLL_RETRY_PERIOD,
                                   MAX_POLL_RETRY_PERIOD);
        return;
    }
    suspects_.target_answered(target, answer.incarnation);
    if (answer.incarnation != 0 && answer.incarnation != target.incarnation) {
        // The start times don't tell the order of two processes if a clock was
        // set back. One that answers a poll sent when the other was known
        // already is the later one.
        if (answer.incarnation < target.incarnation && before_restart) {
            target.next_poll = clock.now + MAX_POLL_RETRY_PERIOD;
            return;
        }
        replace_process(target, answer.incarnation, clock);
    }
    // Answers of two concurrent polls may arrive out of order.
    if (answer.order.clock_ms < target.last_poll_clock_ms)
        return;
    target.last_poll_clock_ms = answer.order.clock_ms;
    const bool was_schedulable = target.responsive && target.fenced;
    // The process may hold a lease of an earlier owner, or one meant for the
    // process before it. Either owner may have gone by the clock of that
    // process; the target has shortened such a lease to the maximum.
    if (!target.fenced)
        target.lease_end_ms =
            std::max(target.lease_end_ms,
                     answer.order.clock_ms + settings_.max_lease.count());
    target_table::set_clock(target, answer.order.clock_ms, clock.now);
    target.responsive = true;
    if (sent_at > target.restart_suspected)
        target.restart_suspected = {};
    for (const listed_end& end : answer.ended)
        if (end.sequence > target.last_applied_end)
            process_end(target, end, clock);
    process_running(target, answer, sent_at, clock);
    target.fenced = true;
    if (!was_schedulable)
        schedule_due_ = true;
    throttle_best_effort(target);
    assess_speed(target, clock);
    if (target.last_applied_end > target.last_stored_end)
        target.next_poll = clock.now + LEASE_RENEWAL_PERIOD;
    else if (!answer.ended.empty())
        target.next_poll = clock.now;
    else if (target.runs.empty() && !start_may_arrive(target, clock.now))
        target.next_poll = clock.now + IDLE_POLL_PERIOD;
    else
        target.next_poll = clock.now;
}

void owner::process_end(target_state& target, const listed_end& end,
                        const owner_clock& clock) {
    target.last_applied_end = end.sequence;
    jobs_.begin(end.task.step.job);
    const auto found = target.runs.find(end.task);
    const bool known =
        found != target.runs.end() && found->second.run == end.run;
    const run_entry run = known ? found->second : run_entry{.run = end.run};
    if (known)
        targets_.remove_run(target, end.task);
    apply_run_end(target, run, end, clock);
    // Where an earlier run took the place of the latest one, the start of that
    // one may still arrive.
    const task_entry* task = jobs_.find(end.task);
    if (known && task != nullptr && task->phase == task_phase::placed &&
        task->target == target.entry.id && task->run > end.run)
        stop_possible_run(target,
                          {.task = end.task,
                           .run = task->run,
                           .demand = run.demand,
                           .best_effort = run.best_effort,
                           .organisation = run.organisation},
                          clock);
    update_backoff(target, end, clock);
    const step_spec* spec = jobs_.spec(end.task.step);
    // A task may be too short for progress samples; its end in time shows as
    // well that the target is not degraded.
    if (end.end == run_end::done && run.started != mono_time{} &&
        spec != nullptr &&
        clock.now - run.started <= spec->estimate * NORMAL_ESTIMATE_MULTIPLE)
        target.degraded = false;
    schedule_due_ = true;
}

void owner::process_running(target_state& target, const poll_answer& answer,
                            mono_time sent_at, const owner_clock& clock) {
    std::set<task_id> present;
    for (const listed_run& run : answer.running) {
        present.insert(run.task);
        process_listed_run(target, run, clock);
        suspects_.run_listed(target, run);
    }
    if (!answer.complete)
        return; // A run that is not listed may exist.
    std::vector<task_id> gone;
    for (auto& [task, run] : target.runs) {
        if (present.contains(task))
            continue;
        switch (run.phase) {
        case run_phase::inherited:
            // It will not start later either: having seen the fencing token of
            // this poll, the target rejects orders of earlier owners.
            gone.push_back(task);
            break;
        case run_phase::unconfirmed:
            // It ended with the earlier process.
            if (sent_at > run.started)
                gone.push_back(task);
            break;
        case run_phase::stopping:
            if (run.stop_acked != mono_time{} && sent_at > run.stop_acked)
                gone.push_back(task);
            break;
        case run_phase::running:
            // Its end was acknowledged unread, by a poll that was meant for an
            // earlier process.
            if (sent_at <= run.started ||
                target.incarnation_since == mono_time{} ||
                answer.ended.size() >= MAX_LISTED_ENDS)
                break;
            output_.log("run_vanished", task.step.job,
                        "target=" + target.entry.id.value +
                            " run=" + std::to_string(run.run));
            gone.push_back(task);
            break;
        case run_phase::recording:
        case run_phase::starting:
            break;
        }
    }
    for (const task_id& task : gone)
        release_run(target, task);
    stop_unanswered_starts(target, clock);
}

void owner::process_listed_run(target_state& target, const listed_run& listed,
                               const owner_clock& clock) {
    jobs_.begin(listed.task.step.job);
    const auto found = target.runs.find(listed.task);
    if (found != target.runs.end() && found->second.run == listed.run) {
        run_entry& run = found->second;
        record_progress(target, run, listed);
        run.percent = listed.percent;
        run.measurement = listed.measurement;
        jobs_.record_checkpoint(listed.task, listed.checkpoint);
        if (run.phase == run_phase::stopping && run.stop_acked != mono_time{} &&
            clock.now > run.stop_acked + settings_.stop_duration + STOP_GRACE) {
            output_.log("stop_without_effect", listed.task.step.job,
                        "target=" + target.entry.id.value);
            request_stop(target, listed.task, run);
        }
        if (run.phase == run_phase::inherited ||
            run.phase == run_phase::unconfirmed ||
            run.phase == run_phase::starting) {
            run.phase = run_phase::running;
            run.incarnation = target.incarnation;
            run.phase_since = clock.now;
            run.started = clock.now;
        }
        return;
    }
    if (found != target.runs.end()) {
        // If an older run is present, the newer one was never started: stop the
        // older one.
        output_.log("run_outdated", listed.task.step.job,
                    "target=" + target.entry.id.value +
                        " run=" + std::to_string(listed.run) +
                        " newer=" + std::to_string(found->second.run));
        if (found->second.phase != run_phase::recording) {
            if (listed.run < found->second.run) {
                found->second.run = listed.run;
                found->second.phase_since = clock.now;
                request_stop(target, listed.task, found->second);
            }
            return;
        }
        // The start of the newer one has not been sent. It has to wait for the
        // end of this one, and the other members of its gang with it.
        release_run(target, listed.task);
        const step_spec* step = jobs_.spec(listed.task.step);
        if (step != nullptr && step->gang)
            stop_gang(listed.task.step, clock);
    }
    // No job accounts for this run; it belongs to an ended job or was started
    // by an earlier owner.
    const step_spec* spec = jobs_.spec(listed.task.step);
    const job_entry* job = jobs_.find(listed.task.step.job);
    output_.log("run_unknown", listed.task.step.job,
                "target=" + target.entry.id.value);
    targets_.add_run(
        target, listed.task,
        {.run = listed.run,
         .phase = run_phase::stopping,
         // If its demand is unknown, nothing else may start on the target.
         .demand = spec != nullptr ? spec->demand : target.entry.capacity,
         .best_effort = spec != nullptr && spec->best_effort,
         .organisation =
             job != nullptr ? job->record.organisation : organisation_id{},
         .phase_since = clock.now});
    runs_to_stop_.emplace(target.entry.id, listed.task);
}

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
    move_runs(target, clock, [](const step_entry&, const run_entry& run) {
        return run.percent < NEARLY_DONE_PERCENT;
    });
}

void owner::move_runs(
    target_state& target, const owner_clock& clock,
    const std::function<bool(const step_entry&, const run_entry&)>& selected) {
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
        if (selected(*jobs_.find(task.step), run))
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
    move_runs(target, clock, [&](const step_entry& step, const run_entry& run) {
        return is_straggler({.elapsed = clock.now - run.started,
                             .percent = run.percent,
                             .peer_time = step.longest_run_time});
    });
}

bool owner::too_many_degraded() const {
    const auto& all = targets_.all();
    const auto count =
        std::count_if(all.begin(), all.end(),
                      [](const auto& item) { return item.second.degraded; });
    return static_cast<std::size_t>(count) * TARGETS_PER_DEGRADED > all.size();
}

void owner::replace_process(target_state& target, std::int64_t incarnation,
                            const owner_clock& clock) {
    if (target.incarnation != 0)
        suspects_.process_ended(target);
    if (std::exchange(target.incarnation, incarnation) != 0)
        handle_restart(target, clock);
}

void owner::handle_restart(target_state& target, const owner_clock& clock) {
    output_.log("target_restarted", {},
                "target=" + target.entry.id.value +
                    " incarnation=" + std::to_string(target.incarnation) +
                    " runs=" + std::to_string(target.runs.size()));
    for (auto& [task, run] : target.runs) {
        run.percent_clock_ms = 0;
        run.started_clock_ms = 0;
        run.survived = {};
        switch (run.phase) {
        case run_phase::running:
            run.phase = run_phase::unconfirmed;
            run.phase_since = clock.now;
            break;
        case run_phase::stopping:
            // The new process has not seen the order to stop.
            request_stop(target, task, run);
            break;
        case run_phase::recording:
        case run_phase::starting:
        case run_phase::inherited:
        case run_phase::unconfirmed:
            break;
        }
    }
    stop_unanswered_starts(target, clock);
    advice_.drop_tickets(target.entry.id);
    target.incarnation_since = clock.now;
    target.restart_suspected = {};
    target.last_applied_end = 0;
    target.last_stored_end = 0;
    target.clock_ms = 0;
    target.lease_end_ms = 0;
    target.last_poll_clock_ms = 0;
    target.fenced = false;
    target.poll_pending = false;
    target.health = {};
    target.degraded = false;
    target.next_poll = clock.now;
    schedule_due_ = true;
}

void owner::stop_possible_run(target_state& target,
                              const unanswered_start& start,
                              const owner_clock& clock) {
    run_entry& run = targets_.add_run(target, start.task,
                                      {.run = start.run,
                                       .demand = start.demand,
                                       .best_effort = start.best_effort,
                                       .organisation = start.organisation,
                                       .phase_since = clock.now,
                                       .start_uncertain = true});
    request_stop(target, start.task, run);
}

void owner::stop_unanswered_starts(target_state& target,
                                   const owner_clock& clock) {
    std::erase_if(target.unanswered_starts, [&](const unanswered_start& start) {
        return clock.now - start.sent_at > MAX_ORDER_DELAY;
    });
    for (unanswered_start& start : target.unanswered_starts) {
        if (start.stopped_in == target.incarnation ||
            target.runs.contains(start.task))
            continue;
        start.stopped_in = target.incarnation;
        stop_possible_run(target, start, clock);
    }
}

bool owner::start_may_arrive(const target_state& target, mono_time now) {
    return std::any_of(target.unanswered_starts.begin(),
                       target.unanswered_starts.end(),
                       [&](const unanswered_start& start) {
                           return now - start.sent_at <= MAX_ORDER_DELAY;
                       });
}

bool owner::start_outstanding(const target_state& target) {
    return std::any_of(target.runs.begin(), target.runs.end(),
                       [](const auto& item) {
                           return item.second.phase == run_phase::starting ||
                                  item.second.start_uncertain;
                       });
}

mono_time owner::latest_lease_end(mono_time now) const {
    const auto longest = static_cast<std::int64_t>(
        static_cast<double>(settings_.max_lease.count()) / MIN_CLOCK_RATE);
    return now + millis(longest) + settings_.stop_duration + MAX_ORDER_TIME;
}

void owner::grant_lease(target_state& target, std::int64_t lease_end_ms,
                        mono_time now) const {
    target.lease_end_ms = std::max(target.lease_end_ms, lease_end_ms);
    target.all_leases_end =
        std::max(target.all_leases_end, latest_lease_end(now));
}

bool owner::run_expired(const target_state& target, const run_entry& run,
                        mono_time now) const {
    if (run.phase == run_phase::recording)
        return false;
    // Without the clock of the process that may hold the run, or for a run of
    // an earlier owner, local time decides.
    if (run.phase == run_phase::inherited || target.clock_ms == 0 ||
        target.restart_suspected != mono_time{})
        return now >= inherited_leases_end(target) &&
               now >= target.all_leases_end;
    return target_table::leases_expired(
        target, now, LEASE_EXPIRY_MARGIN + settings_.stop_duration);
}

void owner::expire_runs(target_state& target, const owner_clock& clock) {
    if (target.runs.empty() || target.responsive)
        return;
    std::vector<task_id> gone;
    for (const auto& [task, run] : target.runs)
        if (run_expired(target, run, clock.now))
            gone.push_back(task);
    suspects_.runs_expired(target, gone);
    for (const task_id& task : gone) {
        output_.log("run_lapsed", task.step.job,
                    "target=" + target.entry.id.value);
        release_run(target, task);
    }
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
                     settings_.epoch);
}

void owner::throttle_answered(const target_id& id, const task_id& task,
                              std::int32_t run_number, int percent,
                              const order_answer& answer) {
    if (answer.refusal == order_refusal::stale_token)
        superseded_ = true;
    target_state* target = targets_.find(id);
    if (target == nullptr)
        return;
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
