/** @file Polls of targets: the runs that they list, and those that ended. */
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
/** Between polls while ends are not stored yet; they only renew the lease. */
constexpr millis LEASE_RENEWAL_PERIOD{800};
/** A target needs longer than this to restart, start a run and end it. */
constexpr millis MIN_RESTART_TIME{100};
/**
 * A run that is still reported this long after it should have stopped is
 * stopped again.
 */
constexpr millis STOP_GRACE{500};
/** A task that takes at most this multiple of its estimate is not slow. */
constexpr int NORMAL_ESTIMATE_MULTIPLE = 2;

} // namespace

void owner::send_due_polls(const owner_clock& clock) {
    if (!may_send_orders(clock.now))
        return;
    for (auto& [id, target] : targets_.all()) {
        guard_restart(target, clock);
        if (target.poll_pending || target.entry.address.empty())
            continue;
        if (!target.needs_polls(clock.now))
            continue;
        if (target.next_poll <= clock.now)
            send_poll(target, clock);
    }
}

void owner::send_poll(target_state& target, const owner_clock& clock) {
    const bool ends_stored = target.last_applied_end == target.last_stored_end;
    const bool runs_unclear = std::any_of(
        target.runs.begin(), target.runs.end(), [&](const auto& item) {
            return run_state_unclear(target, item.second, clock.now);
        });
    const bool serving = std::any_of(
        target.runs.begin(), target.runs.end(), [](const auto& item) {
            return item.second.tail_latency_target.count() > 0;
        });
    millis wait{0};
    if ((!target.runs.empty() || target.start_may_arrive(clock.now)) &&
        ends_stored && !runs_unclear && target.responsive)
        wait = serving && target.best_effort_milli_cores > 0 ? SERVING_POLL_WAIT
                                                             : LONG_POLL_WAIT;
    // A process that has taken the place of the known one would forget its own
    // ends up to this number. It has none unless it carried out a start, nor
    // right after an answer of the known one. A start without an answer may
    // arrive after its run has been stopped and released.
    const bool ends_of_known_process =
        target.responsive && target.restart_suspected == mono_time{} &&
        ((!start_outstanding(target) && !target.start_may_arrive(clock.now)) ||
         clock.now - target.clock_received_at <= MIN_RESTART_TIME);
    poll_order order{.fencing_token = target.fencing_token,
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
    output_.poll(address_of(target), {.fencing_token = target.fencing_token,
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
    if (refused_as_stale(id, answer.order)) {
        target.next_poll = std::min(target.next_poll, clock.now);
        return;
    }
    // The regular poll of the newest process decides about the target.
    if (!answer.order.done && (answer.concurrent || before_restart))
        return;
    if (!answer.order.done) {
        if (std::exchange(target.responsive, false)) {
            target.silent_since = clock.now;
            raise_fencing_token(target);
            output_.log("target_silent", {}, "target=" + id.value);
            guard_restart(target, clock);
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
    // The poll was meant for an earlier process: ends of this one may be
    // missing in the answer.
    if (answer.last_seen > target.last_applied_end) {
        output_.log("answer_incomplete", {},
                    "target=" + id.value +
                        " last_seen=" + std::to_string(answer.last_seen));
        return;
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
    else if (answer.ended.empty() && target.runs.empty() &&
             !target.start_may_arrive(clock.now))
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
    if (known) {
        end_start_wait(target, end.task, found->second, "ended", clock);
        remove_run(target, end.task);
    }
    apply_run_end(target, run, end, clock);
    // Where an earlier run took the place of the latest one, the start of that
    // one may still arrive.
    const task_entry* task = jobs_.find(end.task);
    if (known && task != nullptr && task->phase == task_phase::placed &&
        task->target == target.entry.id && task->run > end.run) {
        run_entry& later = targets_.add_run(target, end.task,
                                            {.run = task->run,
                                             .demand = run.demand,
                                             .best_effort = run.best_effort,
                                             .organisation = run.organisation,
                                             .phase_since = clock.now,
                                             .start_uncertain = true});
        if (run.ticket.empty() && waits_after_start(end.task.step))
            await_start(target, end.task, later, clock.now, clock);
        request_stop(target, end.task, later);
    }
    update_backoff(target, end, clock);
    const step_spec* spec = jobs_.spec(end.task.step);
    if (end.end == run_end::done && spec != nullptr && may_copy(*spec) &&
        other_start_unconfirmed(end.task))
        target.held_ends[end.sequence] = end.task;
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
    if (!answer.ends_complete)
        output_.log("ends_cut_off", {},
                    "target=" + target.entry.id.value +
                        " last=" + std::to_string(target.last_applied_end) +
                        " runs=" + std::to_string(target.runs.size()));
    // Otherwise a run that is not listed may exist, or a later answer may list
    // its end.
    if (answer.complete && answer.ends_complete)
        release_unlisted_runs(target, present, sent_at, clock);
}

void owner::release_unlisted_runs(target_state& target,
                                  const std::set<task_id>& listed,
                                  mono_time sent_at, const owner_clock& clock) {
    std::vector<task_id> gone;
    for (auto& [task, run] : target.runs) {
        if (listed.contains(task))
            continue;
        const bool excluded = start_excluded(target, task, run, sent_at);
        switch (run.phase) {
        case run_phase::inherited:
            // It will not start later either: having seen the fencing token of
            // this poll, the target rejects orders of earlier owners. Only its
            // next process accepts them.
            if (excluded)
                gone.push_back(task);
            else {
                run.phase = run_phase::starting;
                begin_start_wait(target, task, run, clock);
            }
            break;
        case run_phase::unconfirmed:
            // It ended with the earlier process.
            if (sent_at > run.started)
                gone.push_back(task);
            break;
        case run_phase::stopping:
            if (run.stop_acked != mono_time{} && sent_at > run.stop_acked &&
                excluded)
                gone.push_back(task);
            break;
        case run_phase::running:
            // Its end was acknowledged unread, by a poll that was meant for an
            // earlier process.
            if (sent_at <= run.started ||
                target.incarnation_since == mono_time{})
                break;
            output_.log("run_vanished", task.step.job,
                        "target=" + target.entry.id.value +
                            " run=" + std::to_string(run.run));
            gone.push_back(task);
            break;
        case run_phase::starting:
            if (run.start_void_at != mono_time{} && excluded)
                gone.push_back(task);
            break;
        case run_phase::recording:
            break;
        }
    }
    for (const task_id& task : gone) {
        end_start_wait(target, task, target.runs.at(task), "not_started",
                       clock);
        release_run(target, task);
    }
}

void owner::process_listed_run(target_state& target, const listed_run& listed,
                               const owner_clock& clock) {
    jobs_.begin(listed.task.step.job);
    const auto found = target.runs.find(listed.task);
    if (found != target.runs.end() && found->second.run == listed.run) {
        run_entry& run = found->second;
        confirm_start(listed.task, run);
        end_start_wait(target, listed.task, run, "started", clock);
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
            run.timed = false;
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
                "target=" + target.entry.id.value +
                    " run=" + std::to_string(listed.run) +
                    " first_answer=" + (target.fenced ? "no" : "yes") +
                    " age_ms=" + process_age(target, clock));
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
    jobs_.add_leftover_run({.task = listed.task,
                            .run = listed.run,
                            .target = target.entry.id,
                            .incarnation = target.incarnation});
}

} // namespace rattan::dispatch
