/** @file Configuration of a cell: queues, organisations, services. */
#pragma once

#include "dispatch/dispatch_type.hpp"

#include <optional>

namespace rattan::dispatch {

/** Costs of calls to the advice service about steps of a queue. */
struct advice_config {
    double decide_ms = 0;     ///< Fixed duration of a call.
    double per_target_ms = 0; ///< Additional duration for each target named.
    millis ticket_lifetime{0};
};

/** A queue and the route to it. */
struct queue_config {
    queue_id name;
    std::string host;
    std::string path_prefix;
    service_id service;
    int priority = 0;     ///< 0 is the most urgent.
    int max_attempts = 1; ///< Failed runs of a task after which its job fails.
    /** Factor of the critical path in the latency objective. */
    double stretch = 1;
    millis objective{0};    ///< Constant part of the latency objective.
    bool anonymous = false; ///< Jobs are accepted without an API key.
    std::optional<advice_config> advice;
};

/** An organisation's submission rate, resource limit and API keys. */
struct organisation_config {
    organisation_id name;
    std::vector<std::string> keys;
    double weight = 1; ///< Submission rate in jobs per second.
    resources limit;   ///< Of running tasks; 0 for a resource: no limit.
};

/** A pool of targets. */
struct service_config {
    service_id name;
    bool rejects_overload = false; ///< Targets refuse tasks that do not fit.
    std::string health_path;
};

/** One version of the configuration. */
struct cell_config {
    std::int64_t version = 0;
    std::vector<queue_config> queues;
    std::vector<organisation_config> organisations;
    std::vector<service_config> services;
    std::size_t max_body_bytes = 0;
};

} // namespace rattan::dispatch
