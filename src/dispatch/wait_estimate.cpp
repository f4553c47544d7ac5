#include "dispatch/wait_estimate.hpp"

#include <algorithm>
#include <utility>

namespace rattan::dispatch {

namespace {

/** Window of the rates: a few rounds of placement, but follows changes. */
constexpr millis RATE_WINDOW{4000};
/** Work that is placed within this time counts as placed at once. */
constexpr millis SHORT_WAIT{1000};
/** No estimate before work has been placed for so long. */
constexpr millis MIN_MEASURED{2000};
/**
 * If nothing at all has been placed for so long, the cause is not a lack of
 * capacity, and the end of the wait can't be told from the rate.
 */
constexpr millis MAX_PLACEMENT_GAP{2000};
/** After a longer time between two updates the process stood still. */
constexpr millis MAX_UPDATE_GAP{1000};
/** Long waits differ in nothing that a caller could use. */
constexpr millis MAX_WAIT{600'000};
/** An organisation counts as beyond its rate, or at its limit, for so long. */
constexpr millis OVER_RATE_MEMORY{5000};
constexpr millis LIMIT_MEMORY{1000};
constexpr std::int64_t MS_PER_SECOND = 1000;
/** Bounds of what is sent to all hosts, four times a second. */
constexpr std::size_t MAX_QUEUES = 64;
constexpr std::size_t MAX_ORGANISATIONS = 128;
/** Organisations whose rates are measured. */
constexpr std::size_t MAX_ORGANISATION_FLOWS = 1000;

std::optional<millis> wait_for(std::int64_t backlog, std::int64_t per_second) {
    if (per_second <= 0)
        return std::nullopt;
    const millis wait(backlog / per_second * MS_PER_SECOND +
                      backlog % per_second * MS_PER_SECOND / per_second);
    if (wait < SHORT_WAIT)
        return std::nullopt;
    return std::min(wait, MAX_WAIT);
}

/** Removes the organisations that were last seen before a time. */
void forget_before(std::map<organisation_id, mono_time>& seen, mono_time time) {
    std::erase_if(seen, [&](const auto& row) { return row.second < time; });
}

} // namespace

wait_estimate::flow::flow()
    : submitted(RATE_WINDOW), placed(RATE_WINDOW), placed_recently(SHORT_WAIT),
      placed_in_shortage(RATE_WINDOW) {}

void wait_estimate::flow::add_placed(std::int64_t work) {
    placed.add(work);
    placed_recently.add(work);
    placed_in_shortage.add(work);
}

void wait_estimate::flow::advance(millis elapsed, std::int64_t backlog,
                                  bool counted) {
    if (elapsed <= millis(0))
        return skip();
    submitted.advance(elapsed);
    placed.advance(elapsed);
    placed_recently.advance(elapsed);
    // Work that waits for no longer than this waits for advice or a round of
    // placement, not for capacity.
    if (backlog <= placed_recently.per_second()) {
        placed_in_shortage.reset();
        shortage = millis(0);
    } else if (counted) {
        placed_in_shortage.advance(elapsed);
        shortage += elapsed;
    } else {
        placed_in_shortage.skip();
    }
}

void wait_estimate::flow::skip() {
    submitted.skip();
    placed.skip();
    placed_recently.skip();
    placed_in_shortage.skip();
}

bool wait_estimate::flow::measured() const {
    return shortage >= MIN_MEASURED;
}

void wait_estimate::work_submitted(const work_group& group,
                                   const organisation_id& organisation,
                                   std::int64_t work, mono_time now) {
    groups_[group].submitted.add(work);
    if (group.over_rate)
        over_rate_at_[organisation] = now;
    else
        over_rate_at_.erase(organisation);
}

void wait_estimate::work_placed(const work_group& group,
                                const organisation_id& organisation,
                                std::int64_t work) {
    groups_[group].add_placed(work);
    if (const auto found = organisations_.find(organisation);
        found != organisations_.end())
        found->second.add_placed(work);
    placed_since_update_ = true;
}

std::int64_t wait_estimate::backlog_of(const waiting_work::entry& entry) const {
    std::int64_t sum = 0;
    for (const auto& [organisation, work] : entry.work)
        if (!at_limit_at_.contains(organisation))
            sum = add_work(sum, work);
    return sum;
}

std::optional<millis> wait_estimate::wait_of(const waiting_work& waiting,
                                             const work_group& group) const {
    const auto own = waiting.groups.find(group);
    const auto own_flow = groups_.find(group);
    if (own == waiting.groups.end() || own_flow == groups_.end() ||
        !own_flow->second.measured())
        return std::nullopt;
    const std::int64_t own_rate =
        own_flow->second.placed_in_shortage.per_second();
    std::int64_t backlog = backlog_of(own->second);
    // The group also gets what is placed of more urgent work beyond what
    // arrives there, once the backlog of that is gone.
    std::int64_t draining = 0;
    for (const auto& [other, entry] : waiting.groups) {
        if (std::pair(other.over_rate, entry.priority) >=
            std::pair(group.over_rate, own->second.priority))
            continue;
        const std::int64_t urgent = backlog_of(entry);
        backlog = add_work(backlog, urgent);
        const auto flow = groups_.find(other);
        if (flow == groups_.end())
            continue;
        // What still waits of a burst is in the backlog; it is no sign of more
        // to come.
        const std::int64_t arriving = std::max<std::int64_t>(
            0, flow->second.submitted.per_second() -
                   urgent / RATE_WINDOW.count() * MS_PER_SECOND);
        draining += flow->second.placed.per_second() - arriving;
    }
    return wait_for(backlog, own_rate + std::max<std::int64_t>(0, draining));
}

void wait_estimate::note_limits(const waiting_work& waiting, mono_time now) {
    for (const organisation_id& organisation : waiting.at_limit)
        at_limit_at_[organisation] = now;
    forget_before(at_limit_at_, now - LIMIT_MEMORY);
    forget_before(over_rate_at_, now - OVER_RATE_MEMORY);
}

void wait_estimate::estimate_organisations(const waiting_work& waiting) {
    for (const auto& [organisation, seen_at] : at_limit_at_) {
        const auto flow = organisations_.find(organisation);
        if (flow == organisations_.end() || !flow->second.measured())
            continue;
        for (const auto& [group, entry] : waiting.groups) {
            // Only its own work is ahead of its jobs, whatever the queue of
            // others; that of queues as urgent or more urgent.
            std::int64_t backlog = 0;
            for (const auto& [other, other_entry] : waiting.groups)
                if (const auto work = other_entry.work.find(organisation);
                    other_entry.priority <= entry.priority &&
                    work != other_entry.work.end())
                    backlog = add_work(backlog, work->second);
            const bool known = std::any_of(
                waits_.organisations.begin(), waits_.organisations.end(),
                [&](const organisation_wait& row) {
                    return row.organisation == organisation &&
                           row.queue == group.queue;
                });
            const auto wait =
                wait_for(backlog, flow->second.placed_in_shortage.per_second());
            if (wait && !known)
                waits_.organisations.push_back(
                    {organisation, group.queue, *wait});
        }
    }
    std::stable_sort(
        waits_.organisations.begin(), waits_.organisations.end(),
        [](const auto& a, const auto& b) { return a.wait > b.wait; });
    if (waits_.organisations.size() > MAX_ORGANISATIONS)
        waits_.organisations.resize(MAX_ORGANISATIONS);
}

void wait_estimate::update(const waiting_work& waiting, bool confirmed,
                           mono_time now) {
    const bool first = updated_at_ == mono_time{};
    const millis elapsed = first ? millis(0) : now - updated_at_;
    updated_at_ = now;
    if (std::exchange(placed_since_update_, false))
        placed_at_ = now;
    const bool placing = now - placed_at_ <= MAX_PLACEMENT_GAP;
    const bool counted = placing && elapsed <= MAX_UPDATE_GAP;
    waits_ = {};
    if (!confirmed) {
        groups_.clear();
        organisations_.clear();
        return;
    }
    note_limits(waiting, now);
    std::map<organisation_id, std::int64_t> by_organisation;
    for (const auto& [group, entry] : waiting.groups) {
        groups_.try_emplace(group);
        for (const auto& [organisation, work] : entry.work)
            by_organisation[organisation] =
                add_work(by_organisation[organisation], work);
    }
    for (const auto& [organisation, seen_at] : at_limit_at_)
        if (organisations_.size() < MAX_ORGANISATION_FLOWS)
            organisations_.try_emplace(organisation);
    for (auto& [group, flow] : groups_) {
        const auto found = waiting.groups.find(group);
        flow.advance(elapsed,
                     found == waiting.groups.end() ? 0
                                                   : backlog_of(found->second),
                     counted);
    }
    for (auto it = organisations_.begin(); it != organisations_.end();) {
        const auto found = by_organisation.find(it->first);
        it->second.advance(elapsed,
                           found == by_organisation.end() ? 0 : found->second,
                           counted);
        if (found == by_organisation.end() && !at_limit_at_.contains(it->first))
            it = organisations_.erase(it);
        else
            ++it;
    }
    if (!placing)
        return;
    for (const auto& [group, entry] : waiting.groups) {
        const auto wait = wait_of(waiting, group);
        if (!wait)
            continue;
        auto row = std::find_if(waits_.queues.begin(), waits_.queues.end(),
                                [&](const queue_wait& known) {
                                    return known.queue == group.queue;
                                });
        if (row == waits_.queues.end()) {
            if (waits_.queues.size() >= MAX_QUEUES)
                continue;
            row = waits_.queues.insert(row, queue_wait{.queue = group.queue});
        }
        (group.over_rate ? row->over_rate_wait : row->wait) = wait;
    }
    estimate_organisations(waiting);
    for (const auto& [organisation, seen_at] : over_rate_at_)
        if (waits_.over_rate.size() < MAX_ORGANISATIONS)
            waits_.over_rate.push_back(organisation);
}

} // namespace rattan::dispatch
