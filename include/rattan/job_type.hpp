/** @file Jobs as they stand in the log. */
#pragma once

#include "rattan/config_type.hpp"
#include "rattan/id_type.hpp"
#include "rattan/unit_type.hpp"

#include <cstdint>
#include <string>

namespace rattan {

/** Everything about a job that is fixed when it is accepted. */
struct job_spec {
    organisation_name organisation;
    key_id key; ///< Empty on a plan that is open to all.
    plan_id plan;
    request_id request;
    work_kind kind = work_kind::batch;
    std::int32_t tasks = 1;
    resources shape;         ///< Of each task.
    std::int64_t run_ms = 0; ///< As the caller expects it.
    bool restartable = false;
    bool urgent = false;
    drain_policy drain = drain_policy::finish;
    std::int32_t max_attempts = 1;
    data_centre_id data_centre; ///< Where it is to run first.
    std::string payload;        ///< Handed to the worker as it is.
};

/** How a job ended. */
enum class job_outcome {
    done,      ///< Every task ended well.
    failed,    ///< A task failed as often as its plan allows.
    cancelled, ///< Its team or an operator cancelled it.
    unknown,   ///< A worker was lost; the work may have been done.
};

/** A job that has not ended. */
struct live_job {
    job_spec spec;
    std::int64_t accepted_at = 0; ///< Log position, orders the queue.
    std::int64_t accepted_ms = 0; ///< Log time.
    epoch started;                ///< Owner that may have started it, or 0.
    bool cancelled = false;
};

/** A job that has ended, kept so that a repeat does not run again. */
struct ended_job {
    organisation_name organisation;
    request_id request;
    job_outcome outcome = job_outcome::done;
    std::string reason;
    std::int64_t ended_ms = 0; ///< Log time.
};

} // namespace rattan
