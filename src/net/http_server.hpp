/** @file HTTP server, based on libmicrohttpd. */
#pragma once

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
