#include "dispatch/work_order.hpp"

#include <algorithm>

namespace rattan::dispatch {

namespace {

/**
 * A late result is worth a fifth, so late work ranks with work in time that is
 * so many priorities less urgent.
 */
constexpr int LATE_PRIORITIES = 2;
/** Estimates may be wrong by this factor. */
constexpr int ESTIMATE_FACTOR = 2;
/**
 * Half of a caller's cost is independent of the size of its job, half is
 * proportional to it. In thousandths.
 */
constexpr std::int64_t FIXED_COST = 500;
constexpr std::int64_t COST_BY_SIZE = 500;
/** Jobs larger or smaller by this factor cost as if by this factor. */
constexpr std::int64_t MAX_SIZE_RATIO = 1000;
/** Bound of times in the cost, against overflow: more than a week. */
constexpr std::int64_t MAX_MS = 1'000'000'000;

/** Thousandths by which the cost has risen with the time that a job waits. */
std::int64_t waiting_factor(const work_input& input) {
    // Three times the objective minus the objective is twice the objective.
    const std::int64_t objective = std::clamp<std::int64_t>(
        (input.until_no_value - input.until_objective).count() / 2, 1, MAX_MS);
    const std::int64_t waited = std::clamp<std::int64_t>(
        objective - input.until_objective.count(), 0, MAX_MS);
    return 1000 + std::min<std::int64_t>(3000, 1000 * waited / objective);
}

} // namespace

std::string_view name_of(work_class value) {
    switch (value) {
    case work_class::in_time:
        return "in_time";
    case work_class::late:
        return "late";
    case work_class::beyond_rate:
        return "beyond_rate";
    case work_class::no_value:
        return "no_value";
    }
    return "";
}

work_class classify(const work_input& input) {
    // Work counts as without value only if it is so at half of the estimate.
    if (input.until_no_value < input.expected / ESTIMATE_FACTOR)
        return work_class::no_value;
    if (input.over_rate)
        return work_class::beyond_rate;
    return input.expected <= input.until_objective ? work_class::in_time
                                                   : work_class::late;
}

work_key delay_cost_key(const work_input& input) {
    const work_class order_class = classify(input);
    const std::int64_t remaining =
        std::max<std::int64_t>(1, input.remaining_work);
    const std::int64_t typical = std::max<std::int64_t>(1, input.typical_work);
    // Typical job over remaining work, in thousandths.
    const std::int64_t relative =
        std::clamp<std::int64_t>(1000 * typical / remaining,
                                 1000 / MAX_SIZE_RATIO, 1000 * MAX_SIZE_RATIO);
    const std::int64_t cost =
        (FIXED_COST * relative / 1000 + COST_BY_SIZE) * waiting_factor(input);
    return {.group = static_cast<std::uint8_t>(
                order_class == work_class::in_time
                    ? 0
                    : static_cast<int>(order_class) -
                          static_cast<int>(work_class::late)),
            .rank = input.priority +
                    (order_class == work_class::late ? LATE_PRIORITIES : 0),
            .negative_cost = -cost,
            .fresh = !input.begun,
            .until_objective_ms = input.until_objective.count(),
            .order_class = order_class};
}

} // namespace rattan::dispatch
