#include "adapter/http_host_list_client.hpp"

#include "fold/record_codec.hpp"

namespace rattan {

void http_host_list_client::fetch(callback done) {
    client_.call(
        {.url = base_url_ + "/v1/hosts", .timeout = millis(2'000)},
        [done](const http_call_result& answer) {
            if (!answer.ok())
                return done(std::nullopt);
            try {
                done(nlohmann::json::parse(answer.body).get<host_list>());
            } catch (const nlohmann::json::exception&) {
                done(std::nullopt);
            }
        });
}

} // namespace rattan
