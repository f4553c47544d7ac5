/** @file Jobs as recorded in the log. */
#pragma once

#include "rattan/config_type.hpp"
#include "rattan/id_type.hpp"
#include "rattan/unit_type.hpp"

#include <cstdint>
#include <string>

namespace rattan {

/** Properties of a job; only its data centre may change once accepted. */
struct job_spec {
    organisation_name organisation;
    key_id key; ///< Empty if the plan is open to all.
    plan_id plan;
    request_id request;
    work_kind kind = work_kind::batch;
    std::int32_t tasks = 1;
    resources shape;         ///< Of each task.
    std::int64_t run_ms = 0; ///< Run time that the caller expects.
    bool restartable = false;
    bool urgent = false;
    drain_policy drain = drain_policy::finish;
    std::int32_t max_attempts = 1;
    data_centre_id data_centre; ///< Where it runs; `job_move` changes it.
    std::string payload;        ///< Passed to the worker unchanged.
};

/** How a job ended. */
enum class job_outcome {
    done,      ///< Every task succeeded.
    failed,    ///< A task used up its attempts.
    cancelled, ///< By its organisation or an operator.
    unknown,   ///< A worker was lost; the work may have been done.
};

/** A job that has not ended. */
struct live_job {
    job_spec spec;
    std::int64_t accepted_at = 0; ///< Log position; gives the queue order.
    std::int64_t accepted_ms = 0; ///< Log time.
    epoch started;                ///< Owner that may have started it, or 0.
    bool cancelled = false;
};

/** An ended job; kept so that a repeated request does not run it again. */
struct ended_job {
    organisation_name organisation;
    request_id request;
    job_outcome outcome = job_outcome::done;
    std::string reason;
    std::int64_t ended_ms = 0; ///< Log time.
};

} // namespace rattan
