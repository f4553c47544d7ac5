#include "dispatch/admission_func.hpp"

#include "dispatch/job_table.hpp"
#include "dispatch/placement_rate.hpp"

#include <algorithm>
#include <bit>

namespace rattan::dispatch {

namespace {

/** The wait may be shorter than expected by this factor. */
constexpr int WAIT_ERROR_FACTOR = 2;
constexpr std::int64_t MS_PER_SECOND = 1000;
/** Clients that come back later than this would often find an idle cell. */
constexpr millis MAX_RETRY_AFTER{120'000};
/** Shortest interval over which clients spread; the header has whole seconds.
 */
constexpr millis MIN_SPREAD{2000};
/** Work of one core for one second, in milli-core-milliseconds. */
constexpr std::int64_t CORE_SECOND = 1'000'000;
/** Steps by which a larger job or a less urgent queue comes back later. */
constexpr std::int64_t MAX_DELAY_STEPS = 4;
constexpr std::int64_t DELAY_STEP_DIVISOR = 8;
/** A job of 4, 16, 64, 256 core-seconds is one step larger than the last. */
constexpr int BITS_PER_SIZE_STEP = 2;

bool may_refuse(const job_spec& spec) {
    return spec.repeats == 0 &&
           std::none_of(spec.steps.begin(), spec.steps.end(),
                        [](const step_spec& step) {
                            return step.long_lived || step.best_effort;
                        });
}

std::int64_t size_steps(const job_spec& spec) {
    std::int64_t work = 0;
    for (const step_spec& step : spec.steps)
        work = add_work(work, task_work(step.demand.milli_cores, step.estimate,
                                        step.count));
    const auto core_seconds = static_cast<std::uint64_t>(work / CORE_SECOND);
    return std::min<std::int64_t>(
        MAX_DELAY_STEPS, static_cast<int>(std::bit_width(core_seconds / 2)) /
                             BITS_PER_SIZE_STEP);
}

} // namespace

millis job_objective(const queue_config& queue, millis critical_path) {
    return millis(static_cast<std::int64_t>(
               queue.stretch * static_cast<double>(critical_path.count()))) +
           queue.objective;
}

std::optional<int> hopeless_retry_after_s(const job_spec& spec,
                                          const queue_config& queue,
                                          const organisation_id& organisation,
                                          const expected_waits& waits,
                                          millis age, std::uint64_t hash) {
    if (age > MAX_WAITS_AGE || !may_refuse(spec))
        return std::nullopt;
    const millis path = critical_path_length(spec);
    const millis longest = VALUE_MULTIPLE * job_objective(queue, path) - path;
    // Without a wait it would be late as well, or its length is not known.
    if (path <= millis(0) || longest < millis(0))
        return std::nullopt;
    const millis wait = waits.wait_of(queue.name, organisation);
    if (wait / WAIT_ERROR_FACTOR <= longest)
        return std::nullopt;
    // Room is expected once the backlog has shrunk to what the job can wait.
    const std::int64_t until_room = (wait - longest).count();
    const std::int64_t steps =
        size_steps(spec) +
        std::clamp<std::int64_t>(queue.priority, 0, MAX_DELAY_STEPS);
    const std::int64_t spread = std::max(MIN_SPREAD.count(), until_room / 2);
    const std::int64_t total =
        until_room + until_room / DELAY_STEP_DIVISOR * steps +
        static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(spread));
    // The longest times are spread as well.
    const std::int64_t bounded =
        total <= MAX_RETRY_AFTER.count()
            ? total
            : MAX_RETRY_AFTER.count() -
                  static_cast<std::int64_t>(
                      hash %
                      static_cast<std::uint64_t>(MAX_RETRY_AFTER.count() / 2));
    return static_cast<int>((bounded + MS_PER_SECOND - 1) / MS_PER_SECOND);
}

} // namespace rattan::dispatch
