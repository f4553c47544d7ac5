/** @file A caller's record on its way into the store; refusals. */
#include "base/log_func.hpp"
#include "front/front_service.hpp"
#include "net/thrift_codec.hpp"

#include <algorithm>

namespace rattan::front {

namespace {

constexpr int RETRY_AFTER_S = 1;   ///< The store or an owner is away.
constexpr millis HEDGE_DELAY{150}; ///< Then another host is asked besides.
constexpr millis TELL_TIME{500};
constexpr std::size_t MOST_HELPERS = 2; ///< Hosts tried for one record.

} // namespace

http_response refusal(int status) {
    http_response reply{.status = status, .body = "{}"};
    if (status == 503 || status == 429)
        reply.retry_after_s = RETRY_AFTER_S;
    return reply;
}

void front_service::write(const std::shared_ptr<call>& caller,
                          const std::string& key, const std::string& value) {
    caller->key = key;
    caller->value = value;
    // A store that turns this host away is not tried: another may reach it.
    if (!writer_.failing() || !members_.store_silent()) {
        ++caller->writing;
        writer_.write(key, value, [this, caller](write_result result) {
            write_ended(caller, result);
        });
        return hedge(caller);
    }
    if (!write_elsewhere(caller))
        reply_write(caller, write_result::not_stored);
}

void front_service::hedge(const std::shared_ptr<call>& caller) {
    loop_.after(HEDGE_DELAY, [this, caller] {
        if (caller->answered)
            return;
        // Which hosts can help shows only a while after the store fell silent.
        if (!write_elsewhere(caller) && caller->tried.size() < MOST_HELPERS)
            hedge(caller);
    });
}

bool front_service::write_elsewhere(const std::shared_ptr<call>& caller) {
    if (caller->tried.size() >= MOST_HELPERS)
        return false;
    const auto helpers = members_.helpers();
    const auto next =
        std::find_if(helpers.begin(), helpers.end(), [&](const auto& address) {
            return std::find(caller->tried.begin(), caller->tried.end(),
                             address) == caller->tried.end();
        });
    if (next == helpers.end())
        return false;
    caller->tried.push_back(*next);
    ++caller->writing;
    ++metrics_.counter("rattan_writes_through_peers_total");
    wire::store_request request;
    request.key = caller->key;
    request.value = caller->value;
    // Written twice, a record is still one job: its key is the job's id.
    members_.peer(*next).call(
        wire::method::STORE, wire_encode(request), record_writer::MOST_TIME,
        [this, caller](const rpc_call_result& answer) {
            write_ended(caller,
                        answer.ok() ? write_result::stored
                        : answer.outcome == rpc_outcome::not_sent ||
                                (answer.outcome == rpc_outcome::answered &&
                                 answer.code == wire::status::UNAVAILABLE)
                            ? write_result::not_stored
                            : write_result::unknown);
        });
    return true;
}

void front_service::write_ended(const std::shared_ptr<call>& caller,
                                write_result result) {
    --caller->writing;
    if (caller->answered)
        return;
    if (result == write_result::stored)
        return reply_write(caller, result);
    caller->unclear = caller->unclear || result == write_result::unknown;
    if (caller->writing > 0 || write_elsewhere(caller))
        return;
    reply_write(caller, caller->unclear ? write_result::unknown
                                        : write_result::not_stored);
}

void front_service::tell_owner(const call& caller) {
    if (owner_ && owner_->serving())
        return owner_->take_stored({.key = caller.key, .value = caller.value});
    const std::string& address = members_.owner().address;
    if (owner_ || address.empty())
        return;
    wire::store_request request;
    request.key = caller.key;
    request.value = caller.value;
    // Without an answer the owner finds the record in the store, only later.
    members_.peer(address).call(wire::method::STORED, wire_encode(request),
                                TELL_TIME, [](const rpc_call_result&) {});
}

void front_service::reply_write(const std::shared_ptr<call>& caller,
                                write_result result) {
    caller->answered = true;
    if (result == write_result::stored)
        tell_owner(*caller);
    static constexpr int STATUS[] = {200, 503, 504};
    const int status = STATUS[static_cast<int>(result)];
    const std::int64_t took = (event_loop::now() - caller->arrived).count();
    metrics_.histogram("rattan_accept_micros").record(took * 1000);
    log_event(log_level::info, "caller_answered",
              {{"job", caller->job.value},
               {"method", caller->request.method},
               {"queue", caller->queue.name.value},
               {"status", std::to_string(status)},
               {"ms", std::to_string(took)},
               {"config", std::to_string(config_.version)}});
    http_response reply = refusal(status);
    // A caller of a host that is cut off does better at another one.
    reply.close = result != write_result::stored && !connected();
    caller->answer(reply);
}

} // namespace rattan::front
