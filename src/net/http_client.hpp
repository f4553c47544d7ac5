/** @file Calls to outside services, by libcurl. */
#pragma once

#include "net/event_loop.hpp"
#include "net/http_type.hpp"

#include <functional>
#include <memory>

namespace rattan {

/** Bounds on connections to outside services. */
struct http_client_limits {
    long connections_per_server = 10; ///< Kept and reused.
    long idle_s = 60;                 ///< An idle connection is not reused.
};

/** Runs many calls at once on kept connections; never repeats one. */
class http_client {
public:
    using callback = std::function<void(const http_call_result&)>;

    explicit http_client(event_loop& loop,
                         const http_client_limits& limits = {});
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /** Starts a call; `done` is called once, never from within. */
    void call(const http_call& call, callback done);

private:
    class body;
    std::unique_ptr<body> body_;
};

} // namespace rattan
