#include "dispatch/advice_table.hpp"

#include <algorithm>

namespace rattan::dispatch {

namespace {

constexpr std::size_t QUICK_SHARE = 3; ///< One host in three is kept free.
constexpr int MOST_QUICK_CALLS = 3;    ///< Waiting at the service a host.
constexpr millis REST_AFTER_FAILURE{1000};
constexpr millis RETRY_STEP{100};
/** A ticket is not used in its last moments: the start has a way to go. */
constexpr millis TICKET_MARGIN{200};

} // namespace

millis advice_length(const advice_config& terms, std::size_t targets) {
    return millis(static_cast<std::int64_t>(
        terms.decide_ms + terms.per_target_ms * static_cast<double>(targets)));
}

const step_advice::ticket* step_advice::valid_ticket(const target_id& target,
                                                     mono_time now) const {
    const auto found = eligible.find(target);
    if (found == eligible.end() || found->second.expires <= now)
        return nullptr;
    return &found->second;
}

void advice_table::set_hosts(const std::vector<host_id>& hosts) {
    std::vector<advice_lane> lanes;
    for (const host_id& host : hosts) {
        const auto kept =
            std::find_if(lanes_.begin(), lanes_.end(),
                         [&](const advice_lane& l) { return l.host == host; });
        lanes.push_back(kept == lanes_.end() ? advice_lane{.host = host}
                                             : *kept);
    }
    lanes_ = std::move(lanes);
}

advice_lane* advice_table::find_lane(millis length, mono_time now) {
    const bool slow = length >= SLOW_CALL_THRESHOLD;
    const std::size_t kept =
        lanes_.size() > 1 ? (lanes_.size() + QUICK_SHARE - 1) / QUICK_SHARE : 0;
    advice_lane* best = nullptr;
    for (std::size_t i = 0; i < lanes_.size(); ++i) {
        advice_lane& lane = lanes_[i];
        if (lane.resting > now || lane.calls >= MOST_QUICK_CALLS)
            continue;
        if (slow && (i < kept || lane.calls > 0))
            continue;
        if (!slow && lane.slow)
            continue;
        if (best == nullptr || lane.calls < best->calls)
            best = &lane;
    }
    return best;
}

std::optional<host_id> advice_table::take_lane(millis length, mono_time now) {
    advice_lane* best = find_lane(length, now);
    if (best == nullptr)
        return std::nullopt;
    ++best->calls;
    best->slow = best->slow || length >= SLOW_CALL_THRESHOLD;
    return best->host;
}

void advice_table::free_lane(const host_id& host, bool slow, bool failed,
                             mono_time now) {
    for (advice_lane& lane : lanes_) {
        if (lane.host != host)
            continue;
        lane.calls = std::max(0, lane.calls - 1);
        if (slow)
            lane.slow = false;
        if (failed)
            lane.resting = now + REST_AFTER_FAILURE;
    }
}

void advice_table::forget(const job_id& job) {
    const auto first = steps_.lower_bound(step_ref{job, 0, 0});
    auto last = first;
    while (last != steps_.end() && last->first.job == job)
        ++last;
    steps_.erase(first, last);
}

void advice_table::answered(const step_ref& ref, const advice_answer& answer,
                            mono_time taken_at) {
    const auto found = steps_.find(ref);
    if (found == steps_.end())
        return;
    step_advice& step = found->second;
    step.asking = false;
    const auto asked = std::exchange(step.asked, {});
    if (!answer.ok) {
        step.retry_at = taken_at + RETRY_STEP;
        return;
    }
    for (const eligible_target& row : answer.eligible)
        step.eligible[row.target] = {
            row.ticket, taken_at + answer.ticket_lifetime - TICKET_MARGIN};
    for (const target_id& target : asked) {
        const bool is_good = std::any_of(
            answer.eligible.begin(), answer.eligible.end(),
            [&](const eligible_target& row) { return row.target == target; });
        if (!is_good)
            step.bad.insert(target);
    }
}

} // namespace rattan::dispatch
