/** @file A blocking HTTP client for tests and demonstrations. */
#pragma once

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace rattan::standin {

struct blocking_request {
    std::string method = "GET";
    std::string url;
    std::string body;
    std::map<std::string, std::string> headers;
    long timeout_ms = 5'000;
};

/** The response; status 0 means that none was received. */
struct blocking_response {
    long status = 0;
    std::string body;
    std::map<std::string, std::string> headers; ///< Names in lower case.

    /** The body as JSON, or null when it is not valid JSON. */
    [[nodiscard]] nlohmann::json json() const {
        auto value = nlohmann::json::parse(body, nullptr, false);
        return value.is_discarded() ? nlohmann::json() : value;
    }
};

/** Sends a request and waits for the response or the timeout. */
blocking_response send_http_request(const blocking_request& request);

} // namespace rattan::standin
