/** @file HTTP presentation of each kind of refusal, in the enum's order. */
#pragma once

#include "route/refusal_type.hpp"

namespace rattan {

constexpr refusal_text REFUSALS[] = {
    {refusal::malformed, "malformed", 400, 0},
    {refusal::key_refused, "key-refused", 401, 0},
    {refusal::plan_refused, "plan-refused", 403, 0},
    {refusal::never_feasible, "never-feasible", 422, 0},
    {refusal::organisation_at_limit, "team-at-limit", 429, 1},
    {refusal::request_id_needed, "request-id-needed", 400, 0},
    {refusal::request_too_old, "request-too-old", 409, 0},
    {refusal::out_of_service, "out-of-service", 503, 5},
    {refusal::overloaded, "overloaded", 503, 1},
    {refusal::log_out_of_reach, "log-out-of-reach", 503, 2},
    {refusal::stale, "stale", 503, 1},
    {refusal::home_out_of_reach, "home-out-of-reach", 503, 2},
    {refusal::unknown_outcome, "unknown-outcome", 504, 0},
    {refusal::unknown_job, "unknown-job", 404, 0},
    {refusal::leaving, "leaving", 503, 1},
};

} // namespace rattan
