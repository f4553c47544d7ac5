/** @file Which jobs are refused because they would end without value. */
#pragma once

#include "dispatch/expected_wait.hpp"
#include "dispatch/route_type.hpp"

#include <cstdint>
#include <optional>

namespace rattan::dispatch {

/** The result of a job has no value after this multiple of its objective. */
constexpr int VALUE_MULTIPLE = 3;
/** Expected waits that are older than this refuse nothing. */
constexpr millis MAX_WAITS_AGE{2000};

/** Time after its submission at which a job should have ended. */
millis job_objective(const queue_config& queue, millis critical_path);

/**
 * Decides whether a new job is refused: by the expected wait it would end after
 * `VALUE_MULTIPLE` times its objective, even if the wait is half as long as
 * expected, since estimates may be wrong by a factor of two. Jobs that repeat
 * at given times, long-lived and best-effort tasks, and jobs without estimates
 * are never refused.
 * @param age Time since the waits were estimated.
 * @param hash Of the job's id; spreads the times at which clients come back.
 * @return Seconds until room for the job is expected; nothing if it is
 * accepted. Larger jobs and those of less urgent queues come back later.
 */
std::optional<int> hopeless_retry_after_s(const job_spec& spec,
                                          const queue_config& queue,
                                          const organisation_id& organisation,
                                          const expected_waits& waits,
                                          millis age, std::uint64_t hash);

} // namespace rattan::dispatch
