/** @file Blocking HTTP for tests and demonstrations. */
#pragma once

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace rattan::standin {

/** A call that waits for its answer. */
struct blocking_call {
    std::string method = "GET";
    std::string url;
    std::string body;
    std::map<std::string, std::string> headers;
    long timeout_ms = 5'000;
};

/** Its answer; status 0 when none came. */
struct blocking_answer {
    long status = 0;
    std::string body;
    std::map<std::string, std::string> headers; ///< Names in lower case.

    /** The body as JSON; null when it is none. */
    [[nodiscard]] nlohmann::json json() const {
        auto value = nlohmann::json::parse(body, nullptr, false);
        return value.is_discarded() ? nlohmann::json() : value;
    }
};

/** Makes a call and waits. */
blocking_answer http_do(const blocking_call& call);

} // namespace rattan::standin
