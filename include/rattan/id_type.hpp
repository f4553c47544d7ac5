/** @file Identifier types. */
#pragma once

#include "rattan/strong_type.hpp"

namespace rattan {

/** As declared; `dispatch::organisation_id` is that of the platform. */
using organisation_name = strong_name<struct organisation_name_tag>;
using plan_id = strong_name<struct plan_tag>;
using data_centre_id = strong_name<struct data_centre_tag>;
using host_id = strong_name<struct host_tag>;     ///< An entry host.
using worker_id = strong_name<struct worker_tag>; ///< Runs tasks.
using runner_id = strong_name<struct runner_tag>; ///< Runs checks.
using job_id = strong_name<struct job_tag>;
using request_id = strong_name<struct request_tag>; ///< Chosen by a caller.
using key_id = strong_name<struct key_tag>;
using holder_id = strong_name<struct holder_tag>; ///< Holds quota slices.

/** Log position of an ownership claim; a fencing token: the highest wins. */
using epoch = strong_number<struct epoch_tag>;
/** Log position of a configuration record; 0 if there is none yet. */
using config_version = strong_number<struct config_version_tag>;

/** One task of a job. */
struct task_ref {
    job_id job;
    std::int32_t index = 0; ///< From 0, below the job's task count.

    auto operator<=>(const task_ref&) const = default;
};

} // namespace rattan
