/** @file Limits on what other processes may send over RPC. */
#pragma once

#include "base/metrics_base.hpp"
#include "net/caller_budget.hpp"
#include "net/thrift_codec.hpp"

#include <cstddef>

namespace rattan {

/** Limits of RPC connections. */
struct rpc_limits {
    std::size_t connections = 512; ///< Further ones are closed at once.
    std::size_t frame_bytes = MAX_FRAME_BYTES;
    /**
     * Budget of the buffers of all connections. With a budget, connections
     * without progress are closed.
     */
    const caller_budget* budget = nullptr;
    int receive_buffer_bytes = 0; ///< Of a socket; 0: the kernel's default.
    int send_buffer_bytes = 0;    ///< Of a socket; 0: the kernel's default.
    metrics_registry* metrics = nullptr; ///< Counts what is refused.

    /** Increments a counter, if there are metrics. */
    void count(const char* metric) const {
        if (metrics != nullptr)
            ++metrics->counter(metric);
    }
};

} // namespace rattan
