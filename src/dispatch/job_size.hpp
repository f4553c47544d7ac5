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

/** State of an ended job without its definition, in bytes. */
constexpr std::size_t ENDED_JOB_BYTES = 704;
/** State of a request to cancel a job that is not known, in bytes. */
constexpr std::size_t EARLY_CANCEL_BYTES = 640;
/** Checkpoints up to this size are part of `job_state_bytes`. */
constexpr std::size_t USUAL_CHECKPOINT_BYTES = 32;

/** Number of repeats of a job that may be in progress at the same time. */
std::size_t max_repeats_in_progress(const job_spec& spec);

/**
 * Number of repeats in progress that an accepted job always has memory for:
 * those that overlap by its schedule, with a margin for delays.
 */
std::size_t reserved_repeats(const job_spec& spec);

/** Upper estimate of the memory that one repeat in progress takes. */
std::size_t repeat_state_bytes(const job_spec& spec);

/**
 * Upper estimate of the memory that an unfinished job takes in its owner, with
 * the advice about its steps and its reserved repeats.
 */
std::size_t job_state_bytes(const job_spec& spec);

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
