/** @file Room for gangs, whose tasks have to start at the same time. */
#include "dispatch/owner_base.hpp"

#include <algorithm>
#include <tuple>

namespace rattan::dispatch {

namespace {

/** A gang that has waited for so long is held room for. */
constexpr millis MIN_GANG_WAIT{500};
/**
 * Targets are held for so long, then for as long not. Tasks of 3 to 5 s end
 * meanwhile on half of the targets.
 */
constexpr millis GANG_HOLD{2000};
/** A step without so much slack beyond the hold does not wait for a gang. */
constexpr millis SLACK_MARGIN{500};
/**
 * Room of the targets held in multiples of what the gang needs, since only a
 * part of it becomes free in time.
 */
constexpr std::int64_t HELD_FACTOR = 2;

/** Gangs tried in a round if none of them fits; each try visits all targets. */
constexpr int MAX_HOLD_ATTEMPTS = 8;

} // namespace

void owner::end_gang_hold(const owner_clock& clock) {
    gang_hold_attempts_ = 0;
    if (!gang_hold_)
        return;
    const job_entry* job = jobs_.find(gang_hold_->gang.job);
    const step_entry* step = jobs_.find(gang_hold_->gang);
    const bool waits =
        job != nullptr && !job->ended() && step != nullptr && step->waiting > 0;
    const millis held =
        std::chrono::duration_cast<millis>(clock.now - gang_hold_->since);
    if (waits && held < GANG_HOLD)
        return;
    next_gang_hold_ = clock.now + std::min(held, GANG_HOLD);
    gang_hold_.reset();
}

void owner::hold_for_gang(const runnable_step& step, const owner_clock& clock) {
    const bool holds = gang_hold_ && gang_hold_->gang == step.ref;
    if ((!holds && (gang_hold_ || clock.now < next_gang_hold_)) ||
        step.order_class > work_class::late ||
        clock.now - jobs_.find(step.ref)->ready_since < MIN_GANG_WAIT ||
        !(step.spec->demand * step.spec->count).fits_in(remaining_quota(step)))
        return;
    if (!holds && ++gang_hold_attempts_ > MAX_HOLD_ATTEMPTS)
        return;
    // Chosen anew in each round, as the advice service answers and room becomes
    // free. Targets held before have most room and come first again.
    struct candidate {
        bool unknown = false; ///< Not known to be eligible.
        std::int64_t free = 0;
        std::int64_t slots = 0;
        const target_state* target = nullptr;
    };
    const std::int64_t demand =
        std::max<std::int64_t>(1, step.spec->demand.milli_cores);
    const step_advice* advice =
        step.queue->advice ? &advice_.for_step(step.ref) : nullptr;
    std::map<std::string, std::vector<candidate>> by_rack;
    for (const target_state* target : schedulable_)
        if (!target->exclusive && !target->degraded &&
            matches_constraints(step, *target) &&
            (advice == nullptr ||
             !advice->ineligible.contains(target->entry.id)))
            by_rack[step.spec->same_rack ? target->entry.rack : ""].push_back(
                {.unknown = advice != nullptr &&
                            !advice->eligible.contains(target->entry.id),
                 .free = target->free_resources().milli_cores,
                 .slots = target->entry.capacity.milli_cores / demand,
                 .target = target});
    gang_hold best{.gang = step.ref,
                   .since = holds ? gang_hold_->since : clock.now};
    std::int64_t best_free = -1;
    for (auto& [rack, candidates] : by_rack) {
        std::sort(candidates.begin(), candidates.end(),
                  [](const candidate& a, const candidate& b) {
                      return std::tuple(a.unknown, -a.free,
                                        a.target->entry.id) <
                             std::tuple(b.unknown, -b.free, b.target->entry.id);
                  });
        std::int64_t slots = 0;
        std::int64_t free = 0;
        std::set<target_id> targets;
        for (const candidate& next : candidates) {
            if (slots >= HELD_FACTOR * step.spec->count)
                break;
            slots += next.slots;
            free += next.free;
            targets.insert(next.target->entry.id);
        }
        if (slots >= step.spec->count && free > best_free) {
            best_free = free;
            best.targets = std::move(targets);
        }
    }
    if (best_free < 0)
        return;
    if (!holds)
        output_.log("gang_held", step.ref.job,
                    "targets=" + std::to_string(best.targets.size()));
    gang_hold_ = std::move(best);
}

bool owner::held_for_gang(const runnable_step& step, const target_state& target,
                          const owner_clock& clock) const {
    if (!gang_hold_ || gang_hold_->gang == step.ref ||
        !gang_hold_->targets.contains(target.entry.id))
        return false;
    const auto remaining = gang_hold_->since + GANG_HOLD - clock.now;
    return step.order_class == work_class::no_value ||
           step.slack >= remaining + SLACK_MARGIN;
}

} // namespace rattan::dispatch
