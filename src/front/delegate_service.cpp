#include "front/delegate_service.hpp"

#include "base/log_func.hpp"
#include "net/program_runtime.hpp"
#include "net/thrift_codec.hpp"

#include <xxhash.h>

#include <algorithm>

namespace rattan::front {

namespace {

/** Up to this number the owner makes all calls: forwarding costs more. */
constexpr std::size_t MAX_DIRECT_TARGETS = 120;
constexpr millis REFRESH_PERIOD{1000};
constexpr millis EXCLUSION_PERIOD{3000}; ///< After a host did not answer.
/**
 * Added to the timeout of a forwarded call. The host that makes the call times
 * out first, so a timeout here means that the other host does not respond.
 */
constexpr millis FORWARD_TIMEOUT_MARGIN{800};
/**
 * A forwarded call that comes later than its timeout and this, by the wall
 * clocks of both hosts, is not made: the host that received it stood still, and
 * the owner has given the call up.
 */
constexpr millis MAX_FORWARD_DELAY{1000};

} // namespace

delegate_service::delegate_service(event_loop& loop, http_client& http,
                                   member_service& members, host_id own_host)
    : loop_(loop), http_(http), members_(members),
      own_host_(std::move(own_host)) {}

void delegate_service::refresh_addresses() {
    const mono_time now = event_loop::now();
    if (now - refreshed_at_ < REFRESH_PERIOD && !addresses_.empty())
        return;
    refreshed_at_ = now;
    std::int64_t max_milli_cores = 0;
    const auto members = members_.members_in_touch();
    for (const auto& [host, member] : members)
        max_milli_cores = std::max(max_milli_cores, member.milli_cores);
    addresses_.clear();
    for (const auto& [host, member] : members)
        if (member.milli_cores * 2 >= max_milli_cores)
            addresses_.push_back(host == own_host_ ? std::string()
                                                   : member.address);
    if (addresses_.empty())
        addresses_.emplace_back();
}

void delegate_service::call(const http_call& call, http_client::callback done) {
    if (target_count_ <= MAX_DIRECT_TARGETS)
        return http_.call(call, std::move(done));
    refresh_addresses();
    const size_t authority_end = call.url.find('/', call.url.find("//") + 2);
    const std::string address =
        addresses_[XXH64(call.url.data(),
                         std::min(authority_end, call.url.size()), 0) %
                   addresses_.size()];
    const auto excluded = excluded_until_.find(address);
    if (address.empty() || (excluded != excluded_until_.end() &&
                            event_loop::now() < excluded->second))
        return http_.call(call, std::move(done));
    wire::call_request request;
    request.url = call.url;
    request.body = call.body;
    request.headers = call.headers;
    request.timeout_ms = static_cast<std::int32_t>(call.timeout.count());
    request.__set_sent_ms(wall_millis());
    members_.peer(address).call(
        wire::method::CALL, wire_encode(request),
        call.timeout + FORWARD_TIMEOUT_MARGIN,
        [this, address, call,
         done = std::move(done)](const rpc_call_result& answer) {
            if (answer.ok()) {
                auto reply = wire_decode<wire::call_reply>(answer.body);
                return done(
                    {.outcome = static_cast<http_outcome>(reply.outcome),
                     .status = reply.status,
                     .body = std::move(reply.body)});
            }
            excluded_until_[address] = event_loop::now() + EXCLUSION_PERIOD;
            log_event(log_level::warning, "delegate_failed",
                      {{"address", address}});
            if (answer.outcome == rpc_outcome::not_sent ||
                (answer.outcome == rpc_outcome::answered &&
                 answer.code == wire::status::UNAVAILABLE))
                return http_.call(call, done);
            done({.outcome = http_outcome::unknown});
        });
}

void delegate_service::register_call_method(rpc_server& server,
                                            http_client& http) {
    server.on(wire::method::CALL, [&http](const std::string& body,
                                          rpc_server::responder answer) {
        auto request = wire_decode<wire::call_request>(body);
        if (request.__isset.sent_ms &&
            wall_millis() - request.sent_ms >
                request.timeout_ms + MAX_FORWARD_DELAY.count()) {
            log_event(log_level::warning, "forwarded_call_late",
                      {{"sent_ms", std::to_string(request.sent_ms)},
                       {"timeout_ms", std::to_string(request.timeout_ms)}});
            return answer(wire::status::UNAVAILABLE, "");
        }
        http.call({.method = "POST",
                   .url = std::move(request.url),
                   .body = std::move(request.body),
                   .headers = std::move(request.headers),
                   .timeout = millis(request.timeout_ms)},
                  [answer = std::move(answer)](const http_call_result& result) {
                      wire::call_reply reply;
                      reply.outcome = static_cast<std::int32_t>(result.outcome);
                      reply.status = result.status;
                      reply.body = result.body;
                      answer(wire::status::OK, wire_encode(reply));
                  });
    });
}

} // namespace rattan::front
