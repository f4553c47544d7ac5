/** @file Request ids that carry the time at which they were made. */
#pragma once

#include "rattan/id_type.hpp"

#include <cstdint>
#include <optional>

namespace rattan {

/**
 * The time in a request id of the form `<unix milliseconds>-<anything>`.
 * @return Nothing when the id has another form.
 */
std::optional<std::int64_t> request_time_ms(const request_id& request);

/** Upper bound of the length of a request id, in bytes. */
constexpr std::size_t MAX_REQUEST_ID_BYTES = 128;

/** A job's id follows from its request, so that repeats meet. */
job_id job_of_request(const organisation_name& organisation,
                      const request_id& request);

} // namespace rattan
