/** @file Targets as listed by the platform. */
#pragma once

#include "rattan/id_type.hpp"
#include "rattan/unit_type.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace rattan {

/** Location and size of a worker. */
struct worker_info {
    worker_id id;
    data_centre_id data_centre;
    std::string rack;
    std::string address; ///< IP and port.
    resources owned;

    bool operator==(const worker_info&) const = default;
};

/** Location and size of a runner. */
struct runner_info {
    runner_id id;
    data_centre_id data_centre;
    std::string address;    ///< IP and port.
    std::int32_t slots = 0; ///< Checks that it runs at a time.

    bool operator==(const runner_info&) const = default;
};

/** State of a target's host as last listed by the platform. */
enum class host_state {
    live,
    leaving, ///< Gets no new work.
};

struct listed_worker {
    worker_info info;
    host_state state = host_state::live;
};

struct listed_runner {
    runner_info info;
    host_state state = host_state::live;
};

/** The platform's list of targets; it may lag behind their real state. */
struct host_list {
    std::int64_t version = 0;
    std::vector<listed_worker> workers;
    std::vector<listed_runner> runners;
};

} // namespace rattan
