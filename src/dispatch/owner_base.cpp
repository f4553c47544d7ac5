#include "dispatch/owner_base.hpp"

#include "dispatch/job_size.hpp"
#include "dispatch/record_codec.hpp"
#include "dispatch/route_func.hpp"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace rattan::dispatch {

namespace {

/**
 * Minimum time between placement rounds. Placements that become due in between
 * share the cost of one round. Unless ticks take long, a quick check waits no
 * longer than this.
 */
constexpr millis MIN_SCHEDULE_PERIOD{8};
/**
 * Time between placement rounds in multiples of the duration of the tick with
 * the last one, so that answers and heartbeats get twice as much time.
 */
constexpr int SCHEDULE_PERIOD_FACTOR = 2;
constexpr millis MAX_SCHEDULE_PERIOD{150};
constexpr millis PURGE_PERIOD{1000};
/**
 * Ended jobs are kept slightly longer than the retention promised to callers.
 */
constexpr millis RETENTION_MARGIN{5000};
/**
 * A `store` call takes no further record once its records have this size, so
 * that the copies of the records in the process stay small.
 */
constexpr std::size_t MAX_STORE_CALL_BYTES = 1U << 20U;
/** One target is kept for so much of the limit on the state of jobs. */
constexpr std::size_t STATE_BYTES_PER_ADVISED_TARGET = 768;
/** A job that was admitted is stored and read after this time, or never. */
constexpr millis RESERVATION_TIME{15'000};
/** Submissions of this many seconds may arrive as a burst. */
constexpr double RATE_BURST_S = 1;
constexpr double MS_PER_SECOND = 1000;
const std::string CANCEL_PREFIX = "c/";
constexpr char CANCEL_SEPARATOR = '/';

} // namespace

std::string job_key(const job_id& job) {
    return "j/" + job.value;
}

std::string cancel_key_prefix(const job_id& job) {
    return CANCEL_PREFIX + job.value + CANCEL_SEPARATOR;
}

std::string cancel_key(const job_id& job, const organisation_id& requester) {
    // The hash bounds the length of the key; the record holds the name.
    return cancel_key_prefix(job) +
           std::to_string(
               XXH64(requester.value.data(), requester.value.size(), 0));
}

std::optional<job_id> cancelled_job(const std::string& key) {
    const std::size_t end = key.rfind(CANCEL_SEPARATOR);
    if (!key.starts_with(CANCEL_PREFIX) || end <= CANCEL_PREFIX.size())
        return std::nullopt;
    return job_id{key.substr(CANCEL_PREFIX.size(), end - CANCEL_PREFIX.size())};
}

std::string progress_key(const job_id& job) {
    return "p/" + job.value;
}

owner::owner(const owner_settings& settings, owner_output& output)
    : settings_(settings), output_(output), tokens_(settings.epoch),
      reservations_(jobs_.budget()),
      suspects_(jobs_, targets_,
                [this](std::string_view event, const job_id& job,
                       const std::string& detail) {
                    output_.log(event, job, detail);
                }) {}

void owner::set_evacuated(std::set<data_centre_id> centres) {
    evacuated_ = std::move(centres);
    schedule_due_ = true;
}

void owner::set_hosts(const std::vector<host_id>& hosts) {
    advice_.set_hosts(hosts);
    schedule_due_ = true;
}

void owner::target_listed(const target_entry& entry, const owner_clock& clock) {
    const target_state* known = targets_.find(entry.id);
    suspects_.target_listed(known, entry);
    const bool is_new = known == nullptr;
    const bool was_current = !is_new && known->entry_current();
    // Waiting tasks may start on a target that accepts work again or has grown.
    if (!is_new && ((known->entry.draining && !entry.draining) ||
                    !entry.capacity.fits_in(known->entry.capacity)))
        schedule_due_ = true;
    target_state& target = targets_.add_or_update(entry);
    if (is_new) {
        raise_fencing_token(target);
        // Tickets may be those of a process whose entry was removed.
        advice_.drop_tickets(entry.id);
    }
    if (entry.incarnation > target.incarnation)
        replace_process(target, entry.incarnation, clock);
    // The read may lag, or the process may have started after its host's clock
    // was set back: an answer decides.
    if (is_new || !target.entry_current())
        target.next_poll = std::min(target.next_poll, clock.now);
    if (is_new || (target.entry_current() && !was_current))
        schedule_due_ = true;
}

void owner::target_unreadable(const target_id& id) {
    // Its runs go on, and the next valid entry takes the place of this one.
    if (target_state* target = targets_.find(id))
        target->entry.draining = true;
}

void owner::target_delisted(const target_id& target) {
    suspects_.target_delisted(target);
    targets_.mark_delisted(target);
}

bool owner::consume_rate_credit(const job_record& record) {
    if (settings_.scheduling.order_by_delay_cost)
        return within_rate(record);
    const organisation_config* organisation =
        find_organisation(config_, record.organisation);
    if (organisation == nullptr || organisation->weight <= 0)
        return true;
    const double capacity = organisation->weight * RATE_BURST_S;
    const auto [found, is_new] = rate_buckets_.try_emplace(
        record.organisation, rate_bucket{capacity, record.accepted_ms});
    rate_bucket& bucket = found->second;
    const auto elapsed_ms = static_cast<double>(
        std::max<std::int64_t>(0, record.accepted_ms - bucket.updated_ms));
    bucket.credit =
        std::min(capacity, bucket.credit + elapsed_ms * organisation->weight /
                                               MS_PER_SECOND);
    bucket.updated_ms = std::max(bucket.updated_ms, record.accepted_ms);
    if (bucket.credit < 1)
        return false;
    bucket.credit -= 1;
    return true;
}

void owner::add_live_job(const job_entry& job) {
    live_jobs_.insert(job.record.id);
    if (job.record.spec.repeats > 0)
        repeating_jobs_.insert(job.record.id);
}

void owner::job_accepted(job_record record, const owner_clock& clock) {
    const job_id id = record.id;
    reservations_.release(id);
    if (!jobs_.accept(std::move(record)))
        return;
    job_entry& job = *jobs_.find(id);
    add_live_job(job);
    job.over_rate = !consume_rate_credit(job.record);
    record_job_work(job.record);
    note_submitted(job, clock);
    jobs_.start_due_repeats(job, clock.wall_ms, clock.now);
    schedule_due_ = true;
    output_.log("job_taken", id,
                "queue=" + job.record.queue.value + " steps=" +
                    std::to_string(job.record.spec.steps.size()) + " age_ms=" +
                    std::to_string(clock.wall_ms - job.record.accepted_ms));
    if (const auto early = early_cancels_.extract(id))
        for (const organisation_id& requester : early.mapped().requesters) {
            jobs_.budget().remove(requester, EARLY_CANCEL_BYTES);
            job_cancelled(id, requester, clock);
        }
}

void owner::job_cancelled(const job_id& id, const organisation_id& requester,
                          const owner_clock& clock) {
    const job_entry* job = jobs_.find(id);
    if (job == nullptr) {
        early_cancel& early = early_cancels_[id];
        early.at_ms = clock.wall_ms;
        if (early.requesters.insert(requester).second)
            jobs_.budget().add(requester, EARLY_CANCEL_BYTES);
        return;
    }
    if (!may_access(requester, job->record.organisation) ||
        !jobs_.cancel(id, clock.wall_ms))
        return;
    output_.log("job_cancelled", id, "");
    stop_job(*jobs_.find(id), clock);
}

bool owner::reserve_state(const job_id& job,
                          const organisation_id& organisation,
                          std::size_t bytes, const owner_clock& clock) {
    return reservations_.reserve(job, organisation, bytes, clock.now);
}

void owner::set_state_limit(state_limit limit) {
    jobs_.budget().set_limit(limit);
    advice_.set_max_targets(limit / STATE_BYTES_PER_ADVISED_TARGET);
}

void owner::restore_job(job_entry job, const owner_clock& clock) {
    if (!job.ended())
        add_live_job(job);
    else if (!job.record.spec.steps.empty())
        ended_with_definition_.insert(job.record.id);
    const job_id id = job.record.id;
    jobs_.restore(std::move(job), clock.now);
    suspects_.job_restored(id);
    jobs_.start_due_repeats(*jobs_.find(id), clock.wall_ms, clock.now);
}

void owner::ownership_confirmed(mono_time at) {
    confirmed_at_ = std::max(confirmed_at_, at);
}

bool owner::may_send_orders(mono_time now) const {
    return !superseded_ && now - confirmed_at_ <= settings_.max_unconfirmed;
}

target_address owner::address_of(const target_state& target) const {
    return {.id = target.entry.id, .address = target.entry.address};
}

void owner::start_due_repeats(const owner_clock& clock) {
    for (const job_id& id : repeating_jobs_) {
        job_entry& job = *jobs_.find(id);
        if (job_table::next_due_ms(job) > clock.wall_ms)
            continue;
        if (jobs_.start_due_repeats(job, clock.wall_ms, clock.now)) {
            jobs_.mark_changed(id);
            schedule_due_ = true;
        }
    }
}

void owner::purge_expired(const owner_clock& clock) {
    if (clock.now < next_purge_)
        return;
    next_purge_ = clock.now + PURGE_PERIOD;
    targets_.remove_delisted(clock.now);
    log_overdue_runs(clock);
    const std::int64_t cutoff_ms =
        clock.wall_ms - (settings_.state_retention + RETENTION_MARGIN).count();
    reservations_.expire(clock.now - RESERVATION_TIME);
    drop_ended_definitions(clock);
    std::vector<job_id> expired;
    for (const auto& [id, early] : early_cancels_)
        if (early.at_ms < cutoff_ms)
            expired.push_back(id);
    forget_early_cancels(cutoff_ms);
    for (const auto& [id, job] : jobs_.all())
        if (job.ended() && job.ended_ms < cutoff_ms && !live_jobs_.contains(id))
            expired.push_back(id);
    for (const job_id& id : expired) {
        jobs_.remove(id);
        ended_with_definition_.erase(id);
    }
    if (!expired.empty())
        output_.remove_jobs(expired);
}

void owner::drop_ended_definitions(const owner_clock& clock) {
    for (auto position = ended_with_definition_.begin();
         position != ended_with_definition_.end();) {
        const job_entry* job = jobs_.find(*position);
        // The demand of a run that may still exist is needed.
        if (job != nullptr && !unawaited_runs(*job).empty() &&
            job->ended_ms + RUNS_GONE_AFTER.count() >= clock.wall_ms) {
            ++position;
            continue;
        }
        if (job != nullptr)
            jobs_.drop_definition(*position);
        position = ended_with_definition_.erase(position);
    }
}

void owner::forget_early_cancels(std::int64_t cutoff_ms) {
    std::erase_if(early_cancels_, [&](const auto& item) {
        if (item.second.at_ms >= cutoff_ms)
            return false;
        for (const organisation_id& requester : item.second.requesters)
            jobs_.budget().remove(requester, EARLY_CANCEL_BYTES);
        return true;
    });
}

void owner::begin_store_round() {
    unrecorded_jobs_ = jobs_.take_changed();
    ends_in_store_call_.clear();
    for (auto& [id, target] : targets_.all())
        if (target.last_applied_end > target.last_stored_end)
            if (const std::int64_t last = acknowledgeable_end(target);
                last > target.last_stored_end)
                ends_in_store_call_[id] = {target.incarnation, last};
    runs_in_store_call_ = std::exchange(unstored_runs_, {});
}

void owner::store_changes() {
    if (store_pending_ || superseded_)
        return;
    if (unrecorded_jobs_.empty())
        begin_store_round();
    std::vector<store_record> records;
    std::size_t bytes = 0;
    while (!unrecorded_jobs_.empty() && bytes < MAX_STORE_CALL_BYTES) {
        const auto next = unrecorded_jobs_.extract(unrecorded_jobs_.begin());
        const job_id& id = next.value();
        const job_entry* job = jobs_.find(id);
        if (job == nullptr)
            continue;
        records.push_back(
            {.key = progress_key(id), .value = encode_progress(*job)});
        bytes += records.back().value.size();
        if (job->ended())
            job_ends_in_store_call_.push_back(id);
    }
    if (records.empty()) {
        unstored_runs_.insert(unstored_runs_.end(), runs_in_store_call_.begin(),
                              runs_in_store_call_.end());
        runs_in_store_call_.clear();
        // Ends of unknown runs change no job, so there is nothing to store.
        for (const auto& [id, end] : ends_in_store_call_)
            targets_.find(id)->last_stored_end = end.sequence;
        ends_in_store_call_.clear();
        return;
    }
    store_pending_ = true;
    output_.store(records);
}

void owner::records_stored(const owner_clock& clock) {
    store_pending_ = false;
    stored_at_ = clock.now;
    if (!unrecorded_jobs_.empty())
        return confirm_job_ends(clock);
    for (const auto& [id, end] : ends_in_store_call_) {
        target_state* target = targets_.find(id);
        if (target == nullptr || target->incarnation != end.incarnation)
            continue;
        target->last_stored_end =
            std::max(target->last_stored_end, end.sequence);
        target->next_poll = std::min(target->next_poll, clock.now);
    }
    ends_in_store_call_.clear();
    confirm_job_ends(clock);
    send_starts(clock);
}

void owner::confirm_job_ends(const owner_clock& clock) {
    for (const job_id& id : std::exchange(job_ends_in_store_call_, {})) {
        const job_entry* job = jobs_.find(id);
        if (job == nullptr || live_jobs_.erase(id) == 0)
            continue;
        repeating_jobs_.erase(id);
        ended_with_definition_.insert(id);
        advice_.remove(id);
        corrections_.remove(id);
        output_.log(
            "job_ended", id,
            "state=" + std::to_string(static_cast<int>(job->state)) +
                " age_ms=" +
                std::to_string(clock.wall_ms - job->record.accepted_ms));
        output_.end_stored(id);
    }
}

void owner::tick(const owner_clock& clock) {
    if (superseded_)
        return;
    apply_max_attempts(clock);
    start_due_repeats(clock);
    for (auto& [id, target] : targets_.all())
        if (!target.responsive)
            expire_runs(target, clock);
    give_up_convicted(clock);
    // Tickets for steps that are not ready have to be renewed in time.
    if (!ahead_.empty() && clock.now >= next_look_ahead_)
        schedule_due_ = true;
    if (schedule_due_ && clock.now >= next_schedule_) {
        schedule_due_ = false;
        placed_in_tick_ = true;
        next_schedule_ = clock.now + MIN_SCHEDULE_PERIOD;
        schedule(clock);
    }
    update_expected_waits(clock);
    send_stops(clock);
    store_changes();
    send_due_polls(clock);
    purge_expired(clock);
}

void owner::tick_took(millis duration, mono_time now) {
    if (!std::exchange(placed_in_tick_, false))
        return;
    next_schedule_ =
        std::max(next_schedule_,
                 now + std::clamp(duration * SCHEDULE_PERIOD_FACTOR,
                                  MIN_SCHEDULE_PERIOD, MAX_SCHEDULE_PERIOD));
}

mono_time owner::next_due(const owner_clock& clock) const {
    mono_time due = next_purge_;
    if (schedule_due_)
        due = std::min(due, next_schedule_);
    for (const auto& [id, target] : targets_.all())
        if (!target.poll_pending && !target.entry.address.empty() &&
            target.needs_polls(clock.now))
            due = std::min(due, target.next_poll);
    for (const job_id& id : repeating_jobs_) {
        const std::int64_t next = job_table::next_due_ms(*jobs_.find(id));
        if (next == std::numeric_limits<std::int64_t>::max())
            continue;
        due = std::min(due, clock.now + millis(next - clock.wall_ms));
    }
    return std::max(due, clock.now);
}

job_state owner::state_of(const job_id& id,
                          const organisation_id& asking) const {
    const job_entry* job = jobs_.find(id);
    if (job == nullptr || (!job->record.organisation.empty() &&
                           job->record.organisation != asking))
        return job_state::unknown;
    return end_unstored(id) ? job_state::running : job->state;
}

bool owner::end_unstored(const job_id& id) const {
    const job_entry* job = jobs_.find(id);
    // A cancellation is known from the record of its caller.
    return job != nullptr && job->ended() && live_jobs_.contains(id) &&
           job->state != job_state::cancelled;
}

bool owner::last_runs_placed(const job_id& id) const {
    const job_entry* job = jobs_.find(id);
    if (!settings_.scheduling.await_completion || job == nullptr ||
        job->ended() || job->state != job_state::running ||
        job->record.spec.repeats > 0)
        return false;
    const std::vector<step_spec>& specs = job->record.spec.steps;
    for (const auto& [number, repeat] : job->repeats)
        for (size_t s = 0; s < repeat.steps.size(); ++s) {
            const step_entry& step = repeat.steps[s];
            if (specs[s].long_lived || !step.ready || step.waiting > 0)
                return false;
        }
    return true;
}

std::int64_t owner::waiting_in(const queue_id& queue) const {
    return std::count_if(
        live_jobs_.begin(), live_jobs_.end(), [&](const job_id& id) {
            const job_entry& job = *jobs_.find(id);
            return job.state == job_state::pending && job.record.queue == queue;
        });
}

std::string owner::dump() const {
    nlohmann::json targets = nlohmann::json::array();
    for (const auto& [id, target] : targets_.all())
        targets.push_back(
            {{"target", id.value},
             {"runs", target.runs.size()},
             {"free_milli_cores", target.free_resources().milli_cores},
             {"answers", target.responsive},
             {"fenced", target.fenced}});
    return nlohmann::json({{"epoch", settings_.epoch},
                           {"live_jobs", live_jobs_.size()},
                           {"jobs", jobs_.all().size()},
                           {"calls_ahead", calls_ahead_},
                           {"targets", targets}})
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace rattan::dispatch
