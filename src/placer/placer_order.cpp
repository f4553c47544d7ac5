/** @file Orders to workers and the handling of their answers. */
#include "placer/order_codec.hpp"
#include "placer/placer_base.hpp"

#include <algorithm>
#include <cassert>

namespace rattan {

namespace {

constexpr std::int64_t RENEWALS_PER_LEASE = 3;
/** A task's end is noticed within its run time divided by this. */
constexpr std::int64_t POLLS_PER_RUN = 8;
/** Wait before an order that got no valid answer is sent again. */
constexpr millis ORDER_RETRY{500};
/** Consecutive failed tasks before a worker gets no tasks for a while. */
constexpr int FAILURES_BEFORE_BACKOFF = 3;
constexpr millis MIN_WORKER_BACKOFF{2'000};
constexpr millis MAX_WORKER_BACKOFF{300'000};

/** Amounts that a task takes of its organisation's quotas. */
std::vector<std::pair<quota_key, std::int64_t>>
task_quota(const organisation_name& organisation, const resources& shape) {
    return {{{organisation, quota_kind::milli_cores}, shape.milli_cores},
            {{organisation, quota_kind::accelerators}, shape.accelerators}};
}

/** How long a worker gets no tasks after consecutive failures. */
millis worker_backoff(int failures) {
    const int doublings = std::min(failures - FAILURES_BEFORE_BACKOFF, 10);
    return std::min(MIN_WORKER_BACKOFF * (1 << doublings), MAX_WORKER_BACKOFF);
}

} // namespace

void placer_base::put_task(worker_view& worker, const task_ref& task,
                           const placed_task& placed) {
    assert(!worker.tasks.contains(task));
    worker.tasks[task] = placed;
    worker.committed += placed.shape;
    usage_[placed.organisation] += placed.shape;
    for (const auto& [key, amount] :
         task_quota(placed.organisation, placed.shape))
        quota_.acquire(key, amount);
}

void placer_base::remove_task(worker_view& worker, const task_ref& task) {
    const auto found = worker.tasks.find(task);
    if (found == worker.tasks.end())
        return;
    const placed_task placed = found->second;
    worker.tasks.erase(found);
    worker.committed -= placed.shape;
    usage_[placed.organisation] -= placed.shape;
    for (const auto& [key, amount] :
         task_quota(placed.organisation, placed.shape))
        quota_.release(key, amount);
}

void placer_base::on_answer(const worker_id& id, epoch owner,
                            std::int64_t sequence, const worker_answer& answer,
                            mono_time now) {
    if (owner_ == epoch{}) {
        const auto standby = standby_workers_.find(id);
        if (standby == standby_workers_.end() || owner != current_claim_)
            return;
        standby->second.in_flight = false;
        const bool obeyed = answer.verdict == order_verdict::obeyed;
        standby->second.clock_ms = obeyed ? answer.clock_ms : 0;
        standby->second.instance = obeyed ? answer.instance : 0;
        return;
    }
    const auto found = workers_.find(id);
    if (found == workers_.end() || owner != owner_ ||
        sequence != found->second.sequence || !found->second.in_flight) {
        ++counters_["answers_late"];
        return;
    }
    worker_view& worker = found->second;
    worker.in_flight = false;
    if (answer.verdict == order_verdict::replaced)
        return on_worker_restart(worker, now);
    if (answer.verdict != order_verdict::obeyed) {
        ++counters_[answer.verdict == order_verdict::fenced
                        ? "orders_fenced"
                        : "orders_overtaken"];
        worker.unacknowledged = true;
        for (auto& [task, placed] : worker.tasks)
            placed.unacknowledged = placed.sent;
        return;
    }
    worker.instance = answer.instance;
    worker.clock_ms = answer.clock_ms;
    worker.answered_at = now;
    worker.lease_expiry = now + lease_bound();
    if (!answer.same_listing)
        worker.listing = answer.tasks;
    const bool first_answer = !worker.epoch_accepted;
    worker.epoch_accepted = true;
    if (first_answer) {
        adopt_listing(worker);
        worker.ordered_at = mono_time{}; // renews the adopted leases at once
    }
    worker.inventory_known = true;
    worker.unacknowledged = false;
    handle_events(worker, answer.events, now);
    if (!first_answer)
        reconcile(worker, now);
}

void placer_base::on_worker_restart(worker_view& worker, mono_time now) {
    ++counters_["workers_replaced"];
    worker.epoch_accepted = false;
    worker.sequence = 0;
    worker.handled_event = 0;
    worker.unrecorded_events.clear();
    worker.ordered_at = mono_time{};
    worker.listing.clear();
    const auto tasks = worker.tasks;
    for (const auto& [task, placed] : tasks) {
        remove_task(worker, task);
        on_task_ended(worker.info.id, task, task_outcome::lapsed, now);
    }
}

void placer_base::on_no_answer(const worker_id& id, epoch owner,
                               std::int64_t sequence) {
    if (owner_ == epoch{}) {
        const auto standby = standby_workers_.find(id);
        if (standby != standby_workers_.end())
            standby->second.in_flight = false;
        return;
    }
    const auto found = workers_.find(id);
    if (found == workers_.end() || owner != owner_ ||
        sequence != found->second.sequence)
        return;
    ++counters_["orders_unanswered"];
    found->second.in_flight = false;
    found->second.unacknowledged = true;
    for (auto& [task, placed] : found->second.tasks)
        placed.unacknowledged = placed.sent;
}

void placer_base::handle_events(worker_view& worker,
                                const std::vector<task_event>& events,
                                mono_time now) {
    for (const task_event& event : events) {
        if (event.number <= worker.handled_event)
            continue;
        worker.handled_event = event.number;
        const auto job = jobs_.find(event.task.job);
        const bool keep =
            job != jobs_.end() && (event.outcome == task_outcome::done ||
                                   !job->second.spec.restartable);
        if (keep)
            worker.unrecorded_events[event.number] = event.task.job;
        if (event.outcome == task_outcome::failed) {
            if (++worker.failures >= FAILURES_BEFORE_BACKOFF) {
                worker.backoff_until = now + worker_backoff(worker.failures);
                ++counters_["workers_avoided"];
            }
        } else if (event.outcome == task_outcome::done) {
            worker.failures = 0;
        }
        // After a takeover events are sent again. The task may have been
        // started on this worker once more since.
        const bool is_listed = std::any_of(
            worker.listing.begin(), worker.listing.end(),
            [&](const listed_task& each) { return each.task == event.task; });
        if (is_listed)
            continue;
        const bool was_placed = worker.tasks.contains(event.task);
        remove_task(worker, event.task);
        if (was_placed || job != jobs_.end())
            on_task_ended(worker.info.id, event.task, event.outcome, now);
    }
}

void placer_base::reconcile(worker_view& worker, mono_time now) {
    std::map<task_ref, worker_task_state> listing;
    for (const listed_task& listed : worker.listing)
        listing[listed.task] = listed.state;
    const auto tasks = worker.tasks;
    for (const auto& [task, placed] : tasks) {
        if (!placed.sent)
            continue;
        const auto found = listing.find(task);
        worker.tasks[task].unacknowledged = false;
        if (found == listing.end()) {
            if (placed.phase == task_phase::prepared)
                continue; // an event follows, or the start is refused
            if (placed.unacknowledged &&
                (placed.phase == task_phase::preparing ||
                 placed.phase == task_phase::starting)) {
                // The unanswered order had no effect, and never will: the
                // worker has obeyed a later order and rejects older ones. So
                // sending the task again can't start it twice.
                worker.tasks[task].sent = false;
                continue;
            }
            remove_task(worker, task);
            on_task_ended(worker.info.id, task,
                          placed.phase == task_phase::stopping
                              ? task_outcome::stopped
                              : task_outcome::lapsed,
                          now);
            continue;
        }
        placed_task& view = worker.tasks[task];
        if (view.phase == task_phase::preparing &&
            found->second == worker_task_state::prepared)
            view.phase = task_phase::prepared;
        if (view.phase == task_phase::starting &&
            found->second == worker_task_state::prepared)
            view.sent = false; // the unanswered start order had no effect
        if (view.phase == task_phase::starting &&
            found->second == worker_task_state::running) {
            view.phase = task_phase::running;
            view.since = now;
        }
        dirty_jobs_.insert(task.job);
    }
    for (const auto& [task, state] : listing) {
        if (worker.tasks.contains(task))
            continue;
        // Started by an order that was given up and took effect late: it uses
        // resources until it has been stopped.
        for (const listed_task& listed : worker.listing)
            if (listed.task == task)
                put_task(worker, task,
                         {.phase = task_phase::stopping,
                          .organisation = listed.organisation,
                          .shape = listed.shape});
        ++counters_["tasks_unexpected"];
    }
}

millis placer_base::poll_period(const worker_view& worker,
                                mono_time now) const {
    millis period = options_.lease / RENEWALS_PER_LEASE;
    for (const auto& [task, placed] : worker.tasks) {
        if (!placed.runs_to_completion || placed.phase != task_phase::running)
            continue;
        // The delay in noticing an end is a fraction of the task's run time.
        const auto ran = std::chrono::duration_cast<millis>(now - placed.since);
        period = std::min(
            period, std::max(ran / POLLS_PER_RUN, options_.min_poll_period));
    }
    return period;
}

void placer_base::build_orders(mono_time now) {
    for (auto& [id, worker] : workers_) {
        if (worker.in_flight)
            continue;
        const millis since =
            std::chrono::duration_cast<millis>(now - worker.ordered_at);
        const bool never_ordered = worker.ordered_at == mono_time{};
        if (!worker.epoch_accepted) {
            if (never_ordered || since >= ORDER_RETRY)
                send_order(worker, now);
            continue;
        }
        const bool has_unsent = std::any_of(
            worker.tasks.begin(), worker.tasks.end(),
            [this](const auto& entry) { return is_sendable(entry.second); });
        const bool unanswered = worker.answered_at < worker.ordered_at;
        const bool order_due = has_unsent || worker.unacknowledged;
        if ((order_due && (!unanswered || since >= ORDER_RETRY)) ||
            since >= poll_period(worker, now))
            send_order(worker, now);
    }
}

bool placer_base::is_sendable(const placed_task& placed) const {
    if (placed.sent)
        return false;
    // On stale state nothing is started, but stop orders are still sent.
    return may_start_ || placed.phase == task_phase::stopping;
}

void placer_base::fill_order(worker_view& worker, worker_order& order) {
    for (auto& [task, placed] : worker.tasks) {
        if (!is_sendable(placed))
            continue;
        placed.sent = true;
        const auto job = jobs_.find(task.job);
        task_order start{.task = task,
                         .organisation = placed.organisation,
                         .shape = placed.shape};
        if (job != jobs_.end()) {
            start.run_ms = job->second.spec.run_ms;
            start.payload = job->second.spec.payload;
        }
        switch (placed.phase) {
        case task_phase::preparing:
            order.prepare.push_back(start);
            break;
        case task_phase::starting:
            order.start.push_back(start);
            break;
        case task_phase::stopping:
            (placed.checkpoint ? order.checkpoint : order.stop).push_back(task);
            break;
        case task_phase::prepared:
        case task_phase::running:
            break;
        }
    }
}

void placer_base::send_order(worker_view& worker, mono_time now) {
    worker_order order{.owner = owner_};
    if (worker.epoch_accepted) {
        order.instance = worker.instance;
        order.sequence = ++worker.sequence;
        order.lease_until_ms = worker.clock_ms + options_.lease.count();
        last_renewal_ = now;
        order.known_listing = listing_digest(worker.listing);
        order.seen_event = worker.unrecorded_events.empty()
                               ? worker.handled_event
                               : worker.unrecorded_events.begin()->first - 1;
        fill_order(worker, order);
        counters_["tasks_started"] += order.start.size();
    }
    worker.in_flight = true;
    worker.ordered_at = now;
    ++counters_["orders_sent"];
    orders_.push_back({worker.info.id, worker.info.address, order});
}

void placer_base::forget_events(const job_id& job) {
    for (auto& [id, worker] : workers_)
        std::erase_if(worker.unrecorded_events,
                      [&](const auto& entry) { return entry.second == job; });
}

} // namespace rattan
