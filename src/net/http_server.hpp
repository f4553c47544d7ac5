/** @file HTTP for callers and operators, by libmicrohttpd. */
#pragma once

#include "net/event_loop.hpp"
#include "net/http_type.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rattan {

/** Bounds on what one caller can cost. */
struct http_limits {
    size_t body_bytes = 1U << 20U;
    unsigned connections = 1000;
    unsigned connections_per_ip = 0;      ///< 0: no bound.
    unsigned idle_s = 30;                 ///< An idle or slow connection ends.
    size_t connection_bytes = 32U << 10U; ///< Headers and fields.
    std::vector<std::string> captured_headers; ///< Handed on with a request.
};

/** Listens and hands each whole request to a handler. */
class http_server {
public:
    /** Sends the answer; may be called later, once, from the loop. */
    using responder = std::function<void(const http_response&)>;
    using handler = std::function<void(const http_request&, responder)>;

    /**
     * Listens.
     * @param address IP and port, as in `127.0.0.1:8080`.
     * @throw system_error when the address can't be had.
     */
    http_server(event_loop& loop, const std::string& address,
                const http_limits& limits, handler handle);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /** From now on each answer ends its connection. */
    void drain();

    /**
     * Ends connections without a request, within two seconds: their clients
     * connect anew, perhaps elsewhere.
     */
    void close_idle_connections();

    /** Requests that were read and not yet answered. */
    [[nodiscard]] size_t in_flight() const;

private:
    class body;
    std::unique_ptr<body> body_;
};

} // namespace rattan
