#include "net/problem_func.hpp"

#include <nlohmann/json.hpp>

namespace rattan {

const char* run_state_name(run_state state) {
    constexpr const char* NAMES[] = {"not_run", "may_have_run", "running",
                                     "done"};
    return NAMES[static_cast<int>(state)];
}

http_response make_problem(const problem& content) {
    const nlohmann::json body = {{"type", "urn:rattanknot:" + content.type},
                                 {"title", content.type},
                                 {"status", content.status},
                                 {"detail", content.detail},
                                 {"run_state", run_state_name(content.state)}};
    return {.status = content.status,
            .body = body.dump(-1, ' ', false,
                              nlohmann::json::error_handler_t::replace) +
                    "\n",
            .content_type = "application/problem+json",
            .retry_after_s = content.retry_after_s};
}

} // namespace rattan
