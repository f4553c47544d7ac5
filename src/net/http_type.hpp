/** @file HTTP requests and responses as plain values. */
#pragma once

#include "rattan/unit_type.hpp"

#include <map>
#include <string>
#include <vector>

namespace rattan {

/** A request received by the server. */
struct http_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::string body;
    std::string authorization;
    std::string request_id; ///< `X-Request-Id`; empty if missing.
    std::string host;       ///< `Host` without the port.
    /** The headers named in `http_limits::captured_headers`. */
    std::map<std::string, std::string> headers;
    /** 1 if `X-Attempt` is 1: the first request with this id; otherwise 0. */
    int attempt = 0;
};

/** A response of the server. */
struct http_response {
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
    int retry_after_s = 0;  ///< Sent as `Retry-After` if positive.
    std::string request_id; ///< Sent as `X-Request-Id` if not empty.
    bool close = false;     ///< Close the connection after this response.
};

/** An outgoing request of the HTTP client. */
struct http_call {
    std::string method = "GET";
    std::string url;
    std::string body;
    std::string request_id;           ///< Sent as `X-Request-Id` if not empty.
    std::string authorization;        ///< Sent as `Authorization` if not empty.
    std::vector<std::string> headers; ///< Further headers, as `Name: value`.
    millis timeout{1000};             ///< For the whole call.
    millis connect_timeout{500};
};

/** How an outgoing call ended. */
enum class http_outcome {
    answered, ///< A complete response was received.
    not_sent, ///< No byte of the request was sent.
    unknown,  ///< The request may have reached the server.
};

/** The response to an outgoing call, or why there is none. */
struct http_call_result {
    http_outcome outcome = http_outcome::not_sent;
    int status = 0;
    std::string body;
    std::string request_id; ///< `X-Request-Id` of the response.

    /** Whether a response with a 2xx status was received. */
    [[nodiscard]] bool ok() const {
        return outcome == http_outcome::answered && status / 100 == 2;
    }
};

} // namespace rattan
