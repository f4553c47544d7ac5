/** @file Asynchronous HTTP client, based on libcurl. */
#pragma once

#include "base/metrics_base.hpp"
#include "net/caller_budget.hpp"
#include "net/event_loop.hpp"
#include "net/http_type.hpp"

#include <functional>
#include <memory>

namespace rattan {

/** Limits on the connections and responses of an HTTP client. */
struct http_client_limits {
    long connections_per_server = 10; ///< Open at once, reused by later calls.
    long idle_s = 60;     ///< A connection idle for longer is not reused.
    long connections = 0; ///< To all servers; further calls wait. 0: no limit.
    size_t response_bytes = 16U << 20U; ///< A longer body ends the call.
    /** Budget of all responses; a call over it ends. May be shared. */
    const caller_budget* budget = nullptr;
    int receive_buffer_bytes = 0; ///< Of a socket; 0: the kernel's default.
    metrics_registry* metrics = nullptr; ///< Counts the calls ended.
};

/** Runs concurrent calls on persistent connections; never retries a call. */
class http_client {
public:
    using callback = std::function<void(const http_call_result&)>;

    explicit http_client(event_loop& loop,
                         const http_client_limits& limits = {});
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /** Starts a call; `done` runs once, after this function has returned. */
    void call(const http_call& call, callback done);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace rattan
