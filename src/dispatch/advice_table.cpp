#include "dispatch/advice_table.hpp"

#include <algorithm>
#include <utility>

namespace rattan::dispatch {

namespace {

/** Hosts prefer quick calls, take both kinds, or prefer slow calls in turn. */
constexpr std::size_t HOST_ROLES = 3;
/** With fewer hosts, none can be spared for slow calls. */
constexpr std::size_t MIN_HOSTS_FOR_SLOW_ROLE = 9;
constexpr int MAX_CALLS_PER_HOST = 3; ///< Pending quick calls.
constexpr millis HOST_BACKOFF{1000};
constexpr millis STEP_RETRY_DELAY{100};
/**
 * A ticket is not used this close to its expiry, since the start order takes
 * time to arrive.
 */
constexpr millis TICKET_EXPIRY_MARGIN{200};

} // namespace

millis advice_call_duration(const advice_config& config, std::size_t targets) {
    return millis(static_cast<std::int64_t>(config.decide_ms +
                                            config.per_target_ms *
                                                static_cast<double>(targets)));
}

const step_advice::ticket* step_advice::valid_ticket(const target_id& target,
                                                     mono_time now) const {
    const auto found = eligible.find(target);
    if (found == eligible.end() || found->second.expires <= now)
        return nullptr;
    return &found->second;
}

void advice_table::set_hosts(const std::vector<host_id>& hosts) {
    std::vector<advice_host> updated;
    for (const host_id& host : hosts) {
        const auto known = std::find_if(
            hosts_.begin(), hosts_.end(),
            [&](const advice_host& entry) { return entry.host == host; });
        updated.push_back(known == hosts_.end() ? advice_host{.host = host}
                                                : *known);
    }
    hosts_ = std::move(updated);
}

int advice_table::max_calls(std::size_t host, bool slow) const {
    const bool separate = hosts_.size() >= MIN_HOSTS_FOR_SLOW_ROLE;
    const bool quick_only =
        separate ? host % HOST_ROLES == 0
                 : hosts_.size() > 1 &&
                       host < (hosts_.size() + HOST_ROLES - 1) / HOST_ROLES;
    if (slow)
        return quick_only ? 0 : 1;
    // A single quick call delays the next slow one only briefly.
    const bool prefers_slow = separate && host % HOST_ROLES == HOST_ROLES - 1;
    return prefers_slow ? 1 : MAX_CALLS_PER_HOST;
}

void advice_table::begin_round() {
    asked_before_ = std::exchange(asking_, {});
}

bool advice_table::within_share(const queue_id& queue, millis duration) {
    const bool slow = duration >= SLOW_CALL_THRESHOLD;
    asking_[slow].insert(queue);
    std::size_t rivals = asked_before_[slow].size();
    if (asked_before_[slow].contains(queue))
        --rivals;
    if (rivals == 0)
        return true;
    int capacity = 0;
    for (std::size_t i = 0; i < hosts_.size(); ++i)
        capacity += max_calls(i, slow);
    const auto found = pending_calls_.find(queue);
    const int pending = found == pending_calls_.end() ? 0 : found->second;
    return pending < std::max(1, capacity / static_cast<int>(rivals + 1));
}

advice_host* advice_table::find_host(millis duration, mono_time now) {
    const bool slow = duration >= SLOW_CALL_THRESHOLD;
    const auto rank = [](const advice_host& entry) {
        return std::pair(entry.last_call_failed, entry.pending_calls);
    };
    advice_host* best = nullptr;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        advice_host& entry = hosts_[i];
        if (entry.unavailable_until > now ||
            entry.pending_calls >= max_calls(i, slow) ||
            (!slow && entry.has_slow_call))
            continue;
        if (best == nullptr || rank(entry) < rank(*best))
            best = &entry;
    }
    return best;
}

bool advice_table::has_spare_host(mono_time now) const {
    constexpr int SPARE_HOST_DIVISOR = 3;
    int able = 0;
    int spare = 0;
    for (const advice_host& entry : hosts_) {
        if (entry.unavailable_until > now || entry.has_slow_call)
            continue;
        ++able;
        spare += entry.pending_calls == 0 ? 1 : 0;
    }
    return spare * SPARE_HOST_DIVISOR > able;
}

std::optional<host_id> advice_table::acquire_host(millis duration,
                                                  mono_time now) {
    advice_host* best = find_host(duration, now);
    if (best == nullptr)
        return std::nullopt;
    ++best->pending_calls;
    best->has_slow_call =
        best->has_slow_call || duration >= SLOW_CALL_THRESHOLD;
    return best->host;
}

void advice_table::release_host(const host_id& host, bool slow, bool failed,
                                mono_time now) {
    for (advice_host& entry : hosts_) {
        if (entry.host != host)
            continue;
        entry.pending_calls = std::max(0, entry.pending_calls - 1);
        if (slow)
            entry.has_slow_call = false;
        entry.last_call_failed = failed;
        if (failed)
            entry.unavailable_until = now + HOST_BACKOFF;
    }
}

void advice_table::asked(const step_ref& ref, const queue_id& queue,
                         std::vector<target_id> targets) {
    step_advice& step = steps_[ref];
    step.call_pending = true;
    step.queue = queue;
    step.asked_targets = std::move(targets);
    ++pending_calls_[queue];
}

void advice_table::end_call(step_advice& step) {
    if (!std::exchange(step.call_pending, false))
        return;
    const auto found = pending_calls_.find(step.queue);
    if (--found->second == 0)
        pending_calls_.erase(found);
}

void advice_table::drop_tickets(const target_id& target) {
    for (auto& [step, advice] : steps_) {
        const auto found = advice.eligible.find(target);
        if (found != advice.eligible.end())
            found->second.expires = {};
    }
}

void advice_table::expire_ticket(const step_ref& ref, const target_id& target,
                                 mono_time now) {
    const auto step = steps_.find(ref);
    if (step == steps_.end())
        return;
    const auto found = step->second.eligible.find(target);
    if (found != step->second.eligible.end())
        found->second.expires = now;
}

void advice_table::remove(const job_id& job) {
    const auto first = steps_.lower_bound(step_ref{job, 0, 0});
    auto last = first;
    for (; last != steps_.end() && last->first.job == job; ++last) {
        end_call(last->second);
        clear_targets(last->second);
    }
    steps_.erase(first, last);
}

void advice_table::remove(const step_ref& step) {
    const auto found = steps_.find(step);
    if (found == steps_.end())
        return;
    end_call(found->second);
    clear_targets(found->second);
    steps_.erase(found);
}

void advice_table::clear_targets(step_advice& step) {
    target_count_ -= step.eligible.size() + step.ineligible.size();
    step.eligible.clear();
    step.ineligible.clear();
}

void advice_table::limit_targets(const step_ref& kept) {
    if (max_targets_ == 0 || target_count_ <= max_targets_)
        return;
    auto position = steps_.lower_bound(next_dropped_);
    for (std::size_t visited = 0;
         visited < steps_.size() && target_count_ > max_targets_; ++visited) {
        if (position == steps_.end())
            position = steps_.begin();
        if (position->first != kept)
            clear_targets(position->second);
        ++position;
    }
    next_dropped_ = position == steps_.end() ? step_ref{} : position->first;
}

void advice_table::answered(const step_ref& ref, const advice_answer& answer,
                            mono_time answered_at) {
    const auto found = steps_.find(ref);
    if (found == steps_.end())
        return;
    step_advice& step = found->second;
    end_call(step);
    const auto asked_targets = std::exchange(step.asked_targets, {});
    if (!answer.ok) {
        step.retry_at = answered_at + STEP_RETRY_DELAY;
        return;
    }
    target_count_ -= step.eligible.size() + step.ineligible.size();
    for (const eligible_target& row : answer.eligible)
        step.eligible[row.target] = {row.ticket, answered_at +
                                                     answer.ticket_lifetime -
                                                     TICKET_EXPIRY_MARGIN};
    for (const target_id& target : asked_targets) {
        const bool is_eligible = std::any_of(
            answer.eligible.begin(), answer.eligible.end(),
            [&](const eligible_target& row) { return row.target == target; });
        if (!is_eligible)
            step.ineligible.insert(target);
    }
    target_count_ += step.eligible.size() + step.ineligible.size();
    limit_targets(ref);
}

} // namespace rattan::dispatch
