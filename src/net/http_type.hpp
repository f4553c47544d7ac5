/** @file HTTP requests and answers as plain values. */
#pragma once

#include "rattan/unit_type.hpp"

#include <map>
#include <string>
#include <vector>

namespace rattan {

/** A request as the server read it. */
struct http_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::string body;
    std::string authorization;
    std::string request_id; ///< From `X-Request-Id`; empty when not given.
    std::string host;       ///< From `Host`, without a port.
    /** The headers that the server was asked to keep, by their names. */
    std::map<std::string, std::string> headers;
    /** From `X-Attempt`: 1 says that this id was never sent before. */
    int attempt = 0;
};

/** An answer to be sent. */
struct http_response {
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
    int retry_after_s = 0;  ///< Sent as `Retry-After` when over 0.
    std::string request_id; ///< Sent as `X-Request-Id` when given.
    bool close = false;     ///< The connection ends with this answer.
};

/** A call to an outside service. */
struct http_call {
    std::string method = "GET";
    std::string url;
    std::string body;
    std::string request_id;           ///< Sent as `X-Request-Id` when given.
    std::string authorization;        ///< Sent as `Authorization` when given.
    std::vector<std::string> headers; ///< More headers, as `Name: value`.
    millis timeout{1000};             ///< For the whole call.
    millis connect_timeout{500};
};

/** How an outside call ended. */
enum class http_outcome {
    answered, ///< A whole answer came.
    not_sent, ///< Provably no byte of the request left this process.
    unknown,  ///< The request may have reached the target.
};

/** The whole answer of an outside service, or why there is none. */
struct http_call_result {
    http_outcome outcome = http_outcome::not_sent;
    int status = 0;
    std::string body;
    std::string request_id; ///< As the target repeated it.

    /** Tells whether the service did what was asked. */
    [[nodiscard]] bool ok() const {
        return outcome == http_outcome::answered && status / 100 == 2;
    }
};

} // namespace rattan
