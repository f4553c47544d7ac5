#include "dispatch/contact_table.hpp"

#include <algorithm>

namespace rattan::dispatch {

namespace {

/** Hosts send a heartbeat four times a second. */
constexpr millis MAX_SILENCE_IN_TOUCH{2000};
/** After this silence the record of a host is removed. */
constexpr millis MAX_SILENCE_REGISTERED{10'000};
/** After a longer time between two checks this process stood still. */
constexpr millis MAX_CHECK_GAP{1000};

void shift(mono_time& time, millis by, mono_time latest) {
    if (time != mono_time{})
        time = std::min(time + by, latest);
}

} // namespace

void contact_table::begin(mono_time now) {
    hosts_.clear();
    begun_at_ = now;
    checked_at_ = now;
}

void contact_table::heard_from(const host_id& host, mono_time now) {
    hosts_[host].heard_at = now;
}

void contact_table::registered(const host_id& host, mono_time now) {
    hosts_[host].registered_at = now;
}

void contact_table::check(mono_time now) {
    const millis gap = now - checked_at_;
    checked_at_ = now;
    if (gap <= MAX_CHECK_GAP)
        return;
    // Heartbeats that arrived meanwhile may not have been read yet.
    begun_at_ += gap;
    for (auto& [host, entry] : hosts_) {
        shift(entry.heard_at, gap, now);
        shift(entry.registered_at, gap, now);
    }
}

bool contact_table::in_touch(const host_id& host, mono_time now) const {
    const auto found = hosts_.find(host);
    return found != hosts_.end() && found->second.heard_at != mono_time{} &&
           now - found->second.heard_at <= MAX_SILENCE_IN_TOUCH;
}

bool contact_table::gone(const host_id& host, mono_time now) const {
    mono_time last_sign = begun_at_;
    const auto found = hosts_.find(host);
    if (found != hosts_.end())
        last_sign = std::max(
            {last_sign, found->second.heard_at, found->second.registered_at});
    return now - last_sign > MAX_SILENCE_REGISTERED;
}

} // namespace rattan::dispatch
