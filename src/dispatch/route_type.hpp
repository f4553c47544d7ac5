/** @file The configuration in force: queues, services, organisations. */
#pragma once

#include "dispatch/dispatch_type.hpp"

#include <optional>

namespace rattan::dispatch {

/** What the advice service needs for one call about a queue's steps. */
struct advice_config {
    double decide_ms = 0;      ///< Taken by each call.
    double per_target_ms = 0;  ///< Taken besides for each target named.
    millis ticket_lifetime{0}; ///< A ticket lasts so long.
};

/** A queue and the way to it. */
struct queue_config {
    queue_id name;
    std::string host;
    std::string path_prefix;
    service_id service;
    int priority = 0;       ///< 0 comes first.
    int max_attempts = 1;   ///< Runs of a task that may fail.
    double stretch = 1;     ///< Objective as a multiple of the work's chain.
    millis objective{0};    ///< Added to that.
    bool anonymous = false; ///< Needs no key.
    std::optional<advice_config> advice;
};

/** A customer's share, limit and keys. */
struct organisation_config {
    organisation_id name;
    std::vector<std::string> keys;
    double weight = 1;
    resources limit; ///< A part of 0: no limit.
};

/** One pool of targets. */
struct service_config {
    service_id name;
    bool rejects_overload = false; ///< Its targets refuse what does not fit.
    std::string health_path;
};

/** One version of the whole configuration. */
struct cell_config {
    std::int64_t version = 0;
    std::vector<queue_config> queues;
    std::vector<organisation_config> organisations;
    std::vector<service_config> services;
    std::size_t max_body_bytes = 0;
};

} // namespace rattan::dispatch
