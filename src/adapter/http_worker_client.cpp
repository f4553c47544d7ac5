#include "adapter/http_worker_client.hpp"

#include "placer/order_codec.hpp"

namespace rattan {

void http_worker_client::order(const std::string& address,
                               const worker_order& order, callback done) {
    const std::string body = nlohmann::json(order).dump();
    bytes_ += body.size();
    // An answer with another id belongs to another order and is not used.
    const std::string id = std::to_string(order.owner.value) + "." +
                           std::to_string(order.sequence);
    client_.call(
        {.method = "POST",
         .url = "http://" + address + "/v1/orders",
         .body = body,
         .request_id = id,
         .timeout = millis(1'000)},
        [this, done, id](const http_call_result& answer) {
            bytes_ += answer.body.size();
            if (!answer.ok() || answer.request_id != id)
                return done(std::nullopt);
            try {
                done(nlohmann::json::parse(answer.body).get<worker_answer>());
            } catch (const nlohmann::json::exception&) {
                done(std::nullopt);
            }
        });
}

} // namespace rattan
