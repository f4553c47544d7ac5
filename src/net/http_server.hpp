/** @file HTTP server, based on libmicrohttpd. */
#pragma once

#include "base/metrics_base.hpp"
#include "net/caller_budget.hpp"
#include "net/event_loop.hpp"
#include "net/http_type.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rattan {

/** Limits on the resources that clients can use. */
struct http_limits {
    size_t body_bytes = 1U << 20U; ///< A longer request body gets status 413.
    unsigned connections = 1000;
    unsigned connections_per_ip = 0;      ///< 0: no limit.
    unsigned idle_s = 30;                 ///< Timeout if idle or slow.
    size_t connection_bytes = 32U << 10U; ///< Memory for headers and fields.
    /** Names of the headers to copy into `http_request::headers`. */
    std::vector<std::string> captured_headers;
    /**
     * Budget of the bodies that are received or processed. With a budget, a
     * body over `body_bytes` is refused before it is read, a request over the
     * budget gets 503, and connections without progress are closed. Must
     * outlive the server and the responders of its requests.
     */
    caller_budget* budget = nullptr;
    int receive_buffer_bytes = 0; ///< Of a socket; 0: the kernel's default.
    int send_buffer_bytes = 0;    ///< Of a socket; 0: the kernel's default.
    unsigned backlog = 0; ///< Connections not yet accepted; 0: the default.
    metrics_registry* metrics = nullptr; ///< Counts what is refused.
};

/** Listens on an address and passes each complete request to a handler. */
class http_server {
public:
    /** Sends the response; to be called once, now or later, in the loop. */
    using responder = std::function<void(const http_response&)>;
    using handler = std::function<void(const http_request&, responder)>;

    /**
     * @param address IP and port, as in `127.0.0.1:8080`.
     * @throw system_error if the server can't listen on the address.
     */
    http_server(event_loop& loop, const std::string& address,
                const http_limits& limits, handler handle);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /** Sets `http_limits::body_bytes` for requests that begin later. */
    void set_body_limit(size_t bytes);

    /** From now on closes each connection after its response. */
    void drain();

    /**
     * Closes connections without a request in progress within two seconds, so
     * that their clients reconnect, possibly to another entry host.
     */
    void close_idle_connections();

    /** Number of requests passed to the handler and not yet completed. */
    [[nodiscard]] size_t in_flight() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace rattan
