/** @file Decodes the job requests of callers. */
#pragma once

#include "route/admission_func.hpp"

#include <string>

namespace rattan {

/**
 * Decodes the JSON body of a job submission.
 * @throw decode_error that names the invalid field.
 */
job_request decode_job_request(const std::string& body);

} // namespace rattan
