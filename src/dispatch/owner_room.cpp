/** @file Room held for work that goes first in the order by cost of delay. */
#include "dispatch/owner_base.hpp"

#include <algorithm>

namespace rattan::dispatch {

namespace {

/**
 * For so long after it became ready, room is held for a step that waits for
 * advice. A slow call takes up to 1.2 s and a quick one 70 ms.
 */
constexpr millis HOLD_TIME{1000};
constexpr millis CLASS_LOG_PERIOD{10'000};

} // namespace

void owner::place_by_delay_cost(std::vector<runnable_step>& steps,
                                const owner_clock& clock) {
    measure_room();
    end_gang_hold(clock);
    for (runnable_step& step : steps) {
        const resources demand =
            allocation_for(step.spec->demand, step.spec->best_effort);
        if (!demand.fits_in(largest_free_)) {
            if (step.spec->gang)
                hold_for_gang(step, clock);
            continue;
        }
        step.max_tasks = room_beside_held(step);
        if (step.max_tasks < (step.spec->gang ? step.spec->count : 1))
            continue;
        const std::int32_t waiting = jobs_.find(step.ref)->waiting;
        place_step(step, clock);
        const std::int32_t still_waiting = jobs_.find(step.ref)->waiting;
        service_room& room = room_[step.queue->service];
        room.free -= (waiting - still_waiting) * demand.milli_cores;
        placed_by_work_class_[static_cast<std::size_t>(step.order_class)] +=
            waiting - still_waiting;
        if (still_waiting == 0)
            continue;
        if (about_to_take_room(step, clock))
            room.held[{step.order_class, step.priority}] +=
                still_waiting * demand.milli_cores;
        if (step.spec->gang)
            hold_for_gang(step, clock);
    }
    log_placed_classes(clock);
}

void owner::measure_room() {
    room_.clear();
    for (const target_state* target : schedulable_) {
        service_room& room = room_[target->entry.service];
        room.capacity += target->entry.capacity.milli_cores;
        room.free +=
            std::max<std::int64_t>(0, target->free_resources().milli_cores);
    }
}

std::int64_t owner::room_beside_held(const runnable_step& step) {
    const service_room& room = room_[step.queue->service];
    // While less than half of the capacity is in use, there is room for all:
    // then nothing waits for what others may take.
    std::int64_t held = 0;
    if (2 * room.free <= room.capacity)
        for (const auto& [holder, milli_cores] : room.held) {
            const auto& [order_class, priority] = holder;
            if (order_class < step.order_class && priority <= step.priority)
                held += milli_cores;
        }
    if (held == 0)
        return std::numeric_limits<std::int64_t>::max();
    return std::max<std::int64_t>(0, room.free - held) /
           std::max<std::int64_t>(1, step.spec->demand.milli_cores);
}

bool owner::about_to_take_room(const runnable_step& step,
                               const owner_clock& clock) {
    if (!step.queue->advice ||
        clock.now - jobs_.find(step.ref)->ready_since >= HOLD_TIME)
        return false;
    const step_advice& advice = advice_.for_step(step.ref);
    return advice.call_pending ||
           std::any_of(advice.eligible.begin(), advice.eligible.end(),
                       [&](const auto& entry) {
                           return entry.second.expires > clock.now;
                       });
}

void owner::log_placed_classes(const owner_clock& clock) {
    if (clock.now < next_class_log_)
        return;
    next_class_log_ = clock.now + CLASS_LOG_PERIOD;
    std::string detail;
    std::int64_t placed = 0;
    for (std::size_t i = 0; i < WORK_CLASSES; ++i) {
        placed += placed_by_work_class_[i];
        detail += (i == 0 ? "" : " ") +
                  std::string(name_of(static_cast<work_class>(i))) + "=" +
                  std::to_string(placed_by_work_class_[i]);
    }
    placed_by_work_class_ = {};
    if (placed > 0)
        output_.log("placed_by_class", {}, detail);
}

} // namespace rattan::dispatch
