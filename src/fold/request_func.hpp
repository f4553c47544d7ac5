/** @file Request ids, which carry the time of their creation. */
#pragma once

#include "rattan/id_type.hpp"

#include <cstdint>
#include <optional>

namespace rattan {

/**
 * The time in a request id of the form `<unix milliseconds>-<anything>`, or
 * nothing if the id has another form.
 */
std::optional<std::int64_t> request_time_ms(const request_id& request);

constexpr std::size_t MAX_REQUEST_ID_BYTES = 128;

/** Derives the job's id from its request, so that a repeat gets the same id. */
job_id job_of_request(const organisation_name& organisation,
                      const request_id& request);

} // namespace rattan
