/** @file Targets as the platform lists them. */
#pragma once

#include "rattan/id_type.hpp"
#include "rattan/unit_type.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace rattan {

/** A worker's place and size. */
struct worker_info {
    worker_id id;
    data_centre_id data_centre;
    std::string rack;
    std::string address; ///< IP and port.
    resources owned;

    bool operator==(const worker_info&) const = default;
};

/** A runner's place and size. */
struct runner_info {
    runner_id id;
    data_centre_id data_centre;
    std::string address; ///< IP and port.
    std::int32_t slots = 0;

    bool operator==(const runner_info&) const = default;
};

/** What the platform says of a host, some time ago. */
enum class host_state {
    live,
    leaving, ///< Gets no new work.
};

/** A worker and its state. */
struct listed_worker {
    worker_info info;
    host_state state = host_state::live;
};

/** A runner and its state. */
struct listed_runner {
    runner_info info;
    host_state state = host_state::live;
};

/** The platform's list of targets; it lags behind what is so. */
struct host_list {
    std::int64_t version = 0;
    std::vector<listed_worker> workers;
    std::vector<listed_runner> runners;
};

} // namespace rattan
