#include "dispatch/owner_base.hpp"

#include "dispatch/record_codec.hpp"
#include "dispatch/route_func.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace rattan::dispatch {

namespace {

/** Placements of one round share its cost; a check waits no longer. */
constexpr millis SCHEDULE_PERIOD{8};
/** A round leaves as much time as it took to answers and beats. */
constexpr int ROUND_SHARE = 2;
constexpr millis LONGEST_PERIOD{150};
constexpr millis SWEEP_PERIOD{1000};
/** Ended jobs are kept a little longer than callers are promised. */
constexpr millis KEPT_BEYOND{5000};
constexpr millis LEASE_MARGIN{200}; ///< On top of leases of other owners.
constexpr double SHARE_BURST_S = 1; ///< Jobs of so long may come at once.
constexpr double MILLIS_A_SECOND = 1000;
constexpr int DEFAULT_ATTEMPTS = 1; ///< Of a queue that is gone.

} // namespace

std::string job_key(const job_id& job) {
    return "j/" + job.value;
}

std::string cancel_key(const job_id& job) {
    return "c/" + job.value;
}

std::string progress_key(const job_id& job) {
    return "p/" + job.value;
}

owner::owner(const owner_settings& settings, owner_output& output)
    : settings_(settings), output_(output) {}

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
    const bool is_new = known == nullptr;
    const std::int64_t old_life = is_new ? 0 : known->entry.incarnation;
    target_state& target = targets_.enlist(entry);
    if (is_new) {
        target.look_due = clock.now;
        schedule_due_ = true;
        return;
    }
    if (old_life == entry.incarnation || old_life == 0 ||
        entry.incarnation == 0)
        return;
    if (entry.incarnation > old_life)
        new_life(target, entry.incarnation, clock);
    else
        target.entry.incarnation = old_life; // An old entry came late.
}

void owner::target_delisted(const target_id& target) {
    targets_.delist(target);
}

bool owner::takes_share(const job_record& record) {
    const organisation_config* organisation =
        find_organisation(config_, record.organisation);
    if (organisation == nullptr || organisation->weight <= 0)
        return true;
    const double most = organisation->weight * SHARE_BURST_S;
    const auto [found, is_new] = shares_.try_emplace(
        record.organisation, share{most, record.accepted_ms});
    share& left = found->second;
    const auto passed = static_cast<double>(
        std::max<std::int64_t>(0, record.accepted_ms - left.at_ms));
    left.jobs = std::min(most, left.jobs + passed * organisation->weight /
                                               MILLIS_A_SECOND);
    left.at_ms = std::max(left.at_ms, record.accepted_ms);
    if (left.jobs < 1)
        return false;
    left.jobs -= 1;
    return true;
}

void owner::job_accepted(job_record record, const owner_clock& clock) {
    const job_id id = record.id;
    if (!jobs_.accept(std::move(record)))
        return;
    live_.insert(id);
    job_entry& job = *jobs_.find(id);
    job.beyond_share = !takes_share(job.record);
    jobs_.open_due(job, clock.wall_ms, clock.now);
    schedule_due_ = true;
    output_.log("job_taken", id,
                "queue=" + job.record.queue.value + " steps=" +
                    std::to_string(job.record.spec.steps.size()) + " age_ms=" +
                    std::to_string(clock.wall_ms - job.record.accepted_ms));
    if (early_cancels_.erase(id) > 0)
        job_cancelled(id, clock);
}

void owner::job_cancelled(const job_id& id, const owner_clock& clock) {
    if (jobs_.find(id) == nullptr)
        early_cancels_[id] = clock.wall_ms;
    if (!jobs_.cancel(id, clock.wall_ms))
        return;
    live_.erase(id);
    output_.log("job_cancelled", id, "");
    stop_job(*jobs_.find(id), clock);
}

void owner::restore_job(job_entry job, const owner_clock& clock) {
    if (!job.ended())
        live_.insert(job.record.id);
    const job_id id = job.record.id;
    jobs_.restore(std::move(job), clock.now);
    jobs_.open_due(*jobs_.find(id), clock.wall_ms, clock.now);
}

void owner::ownership_confirmed(mono_time at) {
    confirmed_at_ = std::max(confirmed_at_, at);
}

bool owner::may_order(mono_time now) const {
    return !superseded_ && now - confirmed_at_ <= settings_.max_unconfirmed;
}

target_address owner::address_of(const target_state& target) const {
    return {.id = target.entry.id, .address = target.entry.address};
}

int owner::max_attempts(const job_entry& job) const {
    const queue_config* queue = find_queue(config_, job.record.queue);
    return queue == nullptr ? DEFAULT_ATTEMPTS : queue->max_attempts;
}

void owner::take_over(const owner_clock& clock) {
    // An earlier owner may have sent a lease as long as it was confirmed; a
    // target's clock may be slow.
    const auto longest = static_cast<std::int64_t>(
        static_cast<double>(
            (settings_.max_unconfirmed + settings_.lease).count()) /
        SLOWEST_CLOCK);
    suspects_until_ =
        clock.now + millis(longest) + settings_.stop_duration + LEASE_MARGIN;
    for (const job_id& id : live_) {
        job_entry& job = *jobs_.find(id);
        for (auto& [number, repeat] : job.repeats)
            for (size_t s = 0; s < repeat.steps.size(); ++s)
                for (size_t i = 0; i < repeat.steps[s].tasks.size(); ++i) {
                    task_entry& task = repeat.steps[s].tasks[i];
                    if (task.phase != task_phase::placed)
                        continue;
                    const step_spec& spec = job.record.spec.steps[s];
                    target_state* target = targets_.find(task.target);
                    if (target == nullptr) {
                        target =
                            &targets_.enlist({.id = task.target,
                                              .incarnation = task.incarnation});
                        target->listed = false;
                    }
                    targets_.add_run(
                        *target,
                        {{id, number, static_cast<std::int32_t>(s)},
                         static_cast<std::int32_t>(i)},
                        {.run = task.run,
                         .phase = run_phase::suspect,
                         .demand = spec.demand,
                         .best_effort = spec.best_effort,
                         .long_lived = spec.long_lived,
                         .organisation = job.record.organisation,
                         .since = clock.now,
                         .tail_latency_target = spec.tail_latency_target});
                }
    }
    schedule_due_ = true;
}

void owner::open_due_repeats(const owner_clock& clock) {
    for (const job_id& id : live_) {
        job_entry& job = *jobs_.find(id);
        if (job_table::next_due_ms(job) > clock.wall_ms)
            continue;
        if (jobs_.open_due(job, clock.wall_ms, clock.now)) {
            jobs_.touch(id);
            schedule_due_ = true;
        }
    }
}

void owner::forget_old(const owner_clock& clock) {
    if (clock.now < next_sweep_)
        return;
    next_sweep_ = clock.now + SWEEP_PERIOD;
    targets_.sweep();
    const std::int64_t before =
        clock.wall_ms - (settings_.state_retention + KEPT_BEYOND).count();
    std::vector<job_id> old;
    for (const auto& [id, at] : early_cancels_)
        if (at < before)
            old.push_back(id);
    for (const job_id& id : old)
        early_cancels_.erase(id);
    for (const auto& [id, job] : jobs_.all())
        if (job.ended() && job.ended_ms < before && !live_.contains(id))
            old.push_back(id);
    for (const job_id& id : old) {
        jobs_.forget(id);
    }
    if (!old.empty())
        output_.remove_jobs(old);
}

void owner::flush(const owner_clock& clock) {
    if (storing_ || superseded_)
        return;
    std::vector<store_record> records;
    for (const job_id& id : jobs_.take_changed())
        if (const job_entry* job = jobs_.find(id)) {
            records.push_back(
                {.key = progress_key(id), .value = encode_progress(*job)});
            if (job->ended() && live_.erase(id) > 0) {
                advice_.forget(id);
                output_.log(
                    "job_ended", id,
                    "state=" + std::to_string(static_cast<int>(job->state)) +
                        " age_ms=" +
                        std::to_string(clock.wall_ms -
                                       job->record.accepted_ms));
            }
        }
    storing_ends_.clear();
    for (auto& [id, target] : targets_.all())
        if (target.applied_end > target.stored_end)
            storing_ends_[id] = target.applied_end;
    recording_ = std::exchange(chosen_, {});
    if (records.empty()) {
        // Ends of runs that nobody knows leave nothing to store.
        for (const auto& [id, number] : storing_ends_)
            targets_.find(id)->stored_end = number;
        storing_ends_.clear();
        return;
    }
    storing_ = true;
    output_.store(records);
}

void owner::records_stored(const owner_clock& clock) {
    storing_ = false;
    for (const auto& [id, number] : storing_ends_) {
        target_state* target = targets_.find(id);
        if (target == nullptr || target->applied_end < number)
            continue;
        target->stored_end = std::max(target->stored_end, number);
        target->look_due = std::min(target->look_due, clock.now);
    }
    storing_ends_.clear();
    send_starts(clock);
}

void owner::tick(const owner_clock& clock) {
    if (superseded_)
        return;
    open_due_repeats(clock);
    for (auto& [id, target] : targets_.all())
        if (!target.answers)
            expire(target, clock);
    if (schedule_due_ && clock.now >= next_schedule_) {
        schedule_due_ = false;
        next_schedule_ =
            clock.now + std::clamp(round_cost_ * ROUND_SHARE, SCHEDULE_PERIOD,
                                   LONGEST_PERIOD);
        schedule(clock);
    }
    send_stops(clock);
    flush(clock);
    send_looks(clock);
    forget_old(clock);
}

mono_time owner::next_due(const owner_clock& clock) const {
    mono_time due = next_sweep_;
    if (schedule_due_)
        due = std::min(due, next_schedule_);
    for (const auto& [id, target] : targets_.all())
        if (!target.looking && target.listed)
            due = std::min(due, target.look_due);
    for (const job_id& id : live_) {
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
    // An ending is shown only once it is stored.
    if (job->ended() && live_.contains(id) &&
        job->state != job_state::cancelled)
        return job_state::running;
    return job->state;
}

std::int64_t owner::waiting_in(const queue_id& queue) const {
    return std::count_if(live_.begin(), live_.end(), [&](const job_id& id) {
        const job_entry& job = *jobs_.find(id);
        return job.state == job_state::pending && job.record.queue == queue;
    });
}

std::string owner::dump() const {
    nlohmann::json targets = nlohmann::json::array();
    for (const auto& [id, target] : targets_.all())
        targets.push_back({{"target", id.value},
                           {"runs", target.runs.size()},
                           {"free_milli_cores", target.room().milli_cores},
                           {"answers", target.answers},
                           {"fenced", target.fenced}});
    return nlohmann::json({{"epoch", settings_.epoch},
                           {"live_jobs", live_.size()},
                           {"jobs", jobs_.all().size()},
                           {"targets", targets}})
        .dump();
}

} // namespace rattan::dispatch
