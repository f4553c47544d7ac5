#include "adapter/http_runner_client.hpp"

#include <algorithm>

namespace rattan {

namespace {

constexpr int STATUS_BUSY = 503; ///< The runner has not started the check.
constexpr millis MAX_CONNECT_TIMEOUT{300};

} // namespace

void http_runner_client::run(const std::string& address, const std::string& id,
                             const std::string& body, millis deadline,
                             callback done) {
    client_.call(
        {.method = "POST",
         .url = "http://" + address +
                "/v1/run?deadline_ms=" + std::to_string(deadline.count()),
         .body = body,
         .request_id = id,
         .timeout = deadline,
         .connect_timeout = std::min(deadline, MAX_CONNECT_TIMEOUT)},
        [done, id](const http_call_result& answer) {
            if (answer.outcome == http_outcome::not_sent)
                return done({.result = run_result::not_run});
            if (answer.outcome == http_outcome::unknown ||
                answer.request_id != id)
                return done({.result = run_result::unknown});
            if (answer.status == STATUS_BUSY)
                return done({.result = run_result::not_run});
            if (!answer.ok())
                return done({.result = run_result::unknown});
            done({.result = run_result::answered, .body = answer.body});
        });
}

} // namespace rattan
