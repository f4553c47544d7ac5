/** @file End of an ownership, and what the next owner learns about leases. */
#include "dispatch/owner_base.hpp"

#include <algorithm>

namespace rattan::dispatch {

namespace {

/** Added to the leases of earlier owners. */
constexpr millis LEASE_MARGIN{200};
/** Keeps the record of a resignation small. */
constexpr std::size_t MAX_SILENT_TARGETS = 500;

/** Local time in which the slowest clock of a target advances by `time`. */
millis at_slowest_clock(millis time) {
    return millis(static_cast<std::int64_t>(static_cast<double>(time.count()) /
                                            MIN_CLOCK_RATE) +
                  1);
}

} // namespace

mono_time owner::inherited_leases_end(const target_state& target) const {
    const auto found = inherited_ends_.find(target.entry.id);
    return found == inherited_ends_.end()
               ? inherited_leases_end_
               : std::min(found->second, inherited_leases_end_);
}

mono_time owner::all_earlier_leases_end(const owner_clock& clock) const {
    if (handover_)
        return handover_received_at_ + handover_->remaining;
    // An earlier owner may have granted leases until its confirmation ran out,
    // and a target's clock may be slow.
    return clock.now +
           at_slowest_clock(settings_.max_unconfirmed + settings_.lease) +
           settings_.stop_duration + LEASE_MARGIN;
}

void owner::inherit_leases(lease_handover handover, mono_time received_at) {
    handover_ = std::move(handover);
    handover_received_at_ = received_at;
}

void owner::apply_handover() {
    if (!handover_)
        return;
    for (const auto& row : handover_->silent) {
        const target_state* target = targets_.find(row.target);
        if (target != nullptr && target->incarnation == row.incarnation)
            inherited_ends_[row.target] = handover_received_at_ + row.remaining;
    }
}

std::optional<lease_handover> owner::resign(const owner_clock& clock) {
    superseded_ = true; // No more orders.
    if (inherited_leases_end_ == mono_time{})
        return std::nullopt; // Has not taken over, so it knows no runs.
    const millis margin = settings_.stop_duration + LEASE_MARGIN;
    lease_handover out;
    out.remaining = std::max(inherited_leases_end_ - clock.now,
                             at_slowest_clock(settings_.lease) + margin);
    const auto lease_end_of = [&](const target_state& target) {
        return target.clock_received_at + margin +
               at_slowest_clock(millis(std::max<std::int64_t>(
                   0, target.lease_end_ms - target.clock_ms)));
    };
    // A process that has lately taken the place of another may hold a longer
    // lease than the usual one.
    for (const auto& [id, target] : targets_.all())
        if (target.responsive && target.clock_ms > 0)
            out.remaining =
                std::max(out.remaining, lease_end_of(target) - clock.now);
    for (const auto& [id, target] : targets_.all()) {
        if (target.responsive || target.runs.empty() ||
            out.silent.size() == MAX_SILENT_TARGETS)
            continue;
        mono_time end = inherited_leases_end(target);
        if (target.clock_ms > 0)
            end = std::max(end, lease_end_of(target));
        // The clock of the process that may hold the runs is not known.
        if (target.clock_ms == 0 || target.restart_suspected != mono_time{}) {
            end = std::max(end, target.all_leases_end);
            out.remaining =
                std::max(out.remaining, target.all_leases_end - clock.now);
        }
        const millis remaining = std::max(end - clock.now, millis(0));
        if (remaining < out.remaining)
            out.silent.push_back({.target = id,
                                  .incarnation = target.incarnation,
                                  .remaining = remaining});
    }
    out.starts = longest_start_wait(clock);
    return out;
}

} // namespace rattan::dispatch
