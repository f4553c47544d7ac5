/** @file A job as callers write it. */
#pragma once

#include "route/admission_func.hpp"

#include <string>

namespace rattan {

/**
 * Reads the body of a submission.
 * @throw decode_error naming the field at fault.
 */
job_request decode_job_request(const std::string& body);

} // namespace rattan
