#include "dispatch/job_size.hpp"

#include "dispatch/job_table.hpp"

#include "rattan/error_type.hpp"

#include <algorithm>
#include <numeric>

namespace rattan::dispatch {

namespace {

/** For the length of a record, its key and its stamp. */
constexpr std::size_t RECORD_OVERHEAD_BYTES = 512;
/** An entry of the job table, its ids, and its keys in the followers. */
constexpr std::size_t JOB_BYTES = 1200;
/** What the owner keeps for a step with waiting tasks besides its progress. */
constexpr std::size_t STEP_ADVICE_BYTES = 320;
/** Strings and lists of a task: target, checkpoint, failed runs. */
constexpr std::size_t TASK_HEAP_BYTES = 96;
/** The run of a task in the table of targets. */
constexpr std::size_t RUN_BYTES = 352;
/** Of an allocation, for its header and rounding. */
constexpr std::size_t ALLOCATION_BYTES = 32;
/** Repeats that always have memory whatever the schedule is. */
constexpr std::int64_t SPARE_REPEATS = 16;
/** Repeats may take this many times as long as estimated. */
constexpr std::int64_t DELAY_FACTOR = 8;

/** Memory of a string beyond its object, or its encoding if that is longer. */
std::size_t text_bytes(const std::string& text) {
    constexpr unsigned char FIRST_PRINTABLE = 0x20;
    constexpr std::size_t ESCAPE_BYTES = 6;
    std::size_t bytes = ALLOCATION_BYTES;
    for (const unsigned char c : text)
        bytes += c < FIRST_PRINTABLE ? ESCAPE_BYTES : 1;
    return bytes;
}

std::int64_t task_count(const job_spec& spec) {
    std::int64_t tasks = 0;
    for (const step_spec& step : spec.steps)
        tasks += std::max(0, step.count);
    return tasks;
}

} // namespace

std::size_t max_repeats_in_progress(const job_spec& spec) {
    return static_cast<std::size_t>(std::max<std::int64_t>(
        1,
        MAX_TASKS_IN_PROGRESS / std::max<std::int64_t>(1, task_count(spec))));
}

std::size_t reserved_repeats(const job_spec& spec) {
    std::int64_t by_schedule = std::max(1, spec.repeats);
    if (spec.interval.count() > 0)
        by_schedule =
            std::min(by_schedule,
                     SPARE_REPEATS + critical_path_length(spec).count() /
                                         spec.interval.count() * DELAY_FACTOR);
    return std::min(max_repeats_in_progress(spec),
                    static_cast<std::size_t>(by_schedule));
}

std::size_t repeat_state_bytes(const job_spec& spec) {
    return sizeof(repeat_entry) +
           spec.steps.size() *
               (sizeof(step_entry) + STEP_ADVICE_BYTES + ALLOCATION_BYTES) +
           static_cast<std::size_t>(task_count(spec)) *
               (sizeof(task_entry) + TASK_HEAP_BYTES + RUN_BYTES);
}

std::size_t job_state_bytes(const job_spec& spec) {
    std::size_t bytes = JOB_BYTES + text_bytes(spec.payload);
    for (const step_spec& step : spec.steps)
        bytes += sizeof(step_spec) + text_bytes(step.required_label) +
                 text_bytes(step.preferred_rack) + text_bytes(step.image) +
                 ALLOCATION_BYTES + step.after.size() * sizeof(int);
    return bytes + repeat_state_bytes(spec) * reserved_repeats(spec);
}

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
