/** @file Division of a process's memory and descriptors among their uses. */
#pragma once

#include <cstddef>

namespace rattan {

/** Limits derived from the memory and the descriptors of a process. */
struct resource_shares {
    // Memory in bytes; 0: no limit.
    std::size_t bodies = 0;        ///< Bodies of clients' requests.
    std::size_t job_state = 0;     ///< State of accepted jobs in the owner.
    std::size_t append = 0;        ///< Records in one append of requests.
    std::size_t answers = 0;       ///< Answers to calls of this process.
    std::size_t peers = 0;         ///< Frames of other processes.
    std::size_t store_answer = 0;  ///< One answer of the store.
    std::size_t target_answer = 0; ///< One answer of a target.
    std::size_t peer_frame = 0;    ///< One frame.
    // Descriptors.
    std::size_t clients = 0;            ///< Connections of clients.
    std::size_t peer_connections = 0;   ///< Connections of other processes.
    std::size_t readiness = 0;          ///< Connections for health checks.
    std::size_t metrics = 0;            ///< Connections for metrics.
    std::size_t target_connections = 0; ///< Connections to targets.
    std::size_t store_connections = 0;  ///< Connections to the store.
};

/**
 * Memory that one connection of a client may use: the library's memory pool,
 * copies of the headers, and what the kernel has received but the process has
 * not read, or the client has not.
 */
constexpr std::size_t CONNECTION_BYTES = 80U << 10U;
/** Sizes of the kernel's buffers of a connection, which doubles them. */
constexpr int RECEIVE_BUFFER_BYTES = 8 << 10;
constexpr int SEND_BUFFER_BYTES = 8 << 10;
/** Targets send short answers over many connections. */
constexpr int TARGET_RECEIVE_BUFFER_BYTES = 8 << 10;
/** The store sends more than others, over few connections. */
constexpr int STORE_RECEIVE_BUFFER_BYTES = 64 << 10;
/** Connections that the kernel accepts before the process does. */
constexpr int CLIENT_BACKLOG = 512;
/** The same for health checks and metrics. */
constexpr int CHECK_BACKLOG = 32;

/** @param memory_bytes 0: not stated; then only descriptors are divided. */
resource_shares divide_resources(std::size_t memory_bytes,
                                 std::size_t max_descriptors);

} // namespace rattan
