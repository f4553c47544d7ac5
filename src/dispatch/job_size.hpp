/** @file Bounds of the size of jobs that can be stored. */
#pragma once

#include "dispatch/dispatch_type.hpp"

#include <cstddef>

namespace rattan::dispatch {

/**
 * Upper bound of the packed progress of one task with a checkpoint of
 * 16 digits and three failed runs.
 */
constexpr std::size_t STORED_TASK_BYTES = 26;

/** Tasks that may be in progress at the same time by the schedule of a job. */
std::size_t concurrent_tasks(const job_spec& spec);

/**
 * Checks that a job and its progress fit into one record of the store each.
 * @param job_bytes Size of the encoded job.
 * @param max_record_bytes 0: no limit.
 * @throw decode_error that names the size and the limit.
 */
void check_job_size(const job_spec& spec, std::size_t job_bytes,
                    std::size_t max_record_bytes);

} // namespace rattan::dispatch
