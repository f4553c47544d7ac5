#include "dispatch/job_size.hpp"

#include "rattan/error_type.hpp"

#include <algorithm>
#include <numeric>

namespace rattan::dispatch {

namespace {

/** For the length of a record, its key and its stamp. */
constexpr std::size_t RECORD_OVERHEAD_BYTES = 512;

} // namespace

std::size_t concurrent_tasks(const job_spec& spec) {
    const std::size_t tasks = std::accumulate(
        spec.steps.begin(), spec.steps.end(), std::size_t{0},
        [](std::size_t sum, const step_spec& step) {
            return sum + static_cast<std::size_t>(std::max(0, step.count));
        });
    // Without an interval all repeats start at once.
    const bool at_once = spec.interval.count() == 0;
    return at_once ? tasks * static_cast<std::size_t>(std::max(1, spec.repeats))
                   : tasks;
}

void check_job_size(const job_spec& spec, std::size_t job_bytes,
                    std::size_t max_record_bytes) {
    if (max_record_bytes == 0)
        return;
    if (job_bytes + RECORD_OVERHEAD_BYTES > max_record_bytes)
        throw decode_error(
            "the job takes " + std::to_string(job_bytes) +
            " bytes; the limit is " +
            std::to_string(max_record_bytes - RECORD_OVERHEAD_BYTES));
    const std::size_t tasks = concurrent_tasks(spec);
    const std::size_t limit =
        (max_record_bytes - RECORD_OVERHEAD_BYTES) / STORED_TASK_BYTES;
    if (tasks > limit)
        throw decode_error("the job has " + std::to_string(tasks) +
                           " tasks that may be in progress at once; the "
                           "limit is " +
                           std::to_string(limit));
}

} // namespace rattan::dispatch
