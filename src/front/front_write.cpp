/** @file Writes clients' records; builds replies that have only a status. */
#include "base/log_func.hpp"
#include "front/front_service.hpp"
#include "net/thrift_codec.hpp"

#include <algorithm>

namespace rattan::front {

namespace {

/** Sent while the store or the owner is unreachable. */
constexpr int RETRY_AFTER_S = 1;
/** After this time without a result another host writes the record too. */
constexpr millis HEDGE_DELAY{150};
constexpr millis NOTIFY_TIMEOUT{500};
constexpr std::size_t MAX_WRITE_PEERS = 2; ///< Hosts that write one record.

} // namespace

http_response status_reply(int status) {
    http_response reply{.status = status, .body = "{}"};
    if (status == 503 || status == 429)
        reply.retry_after_s = RETRY_AFTER_S;
    return reply;
}

void front_service::write(const std::shared_ptr<pending_request>& pending,
                          const std::string& key, const std::string& value) {
    pending->record_key = key;
    pending->record_value = value;
    // If this host can't reach the store, the record is written through
    // another host at once; a direct write would only lose time.
    if (!job_writer_.failing() || !members_.store_unresponsive()) {
        ++pending->writes_in_flight;
        job_writer_.write(key, value, [this, pending](write_result result) {
            handle_write_result(pending, result);
        });
        return schedule_hedge(pending);
    }
    if (!write_via_peer(pending))
        reply_write_result(pending, write_result::not_stored);
}

void front_service::schedule_hedge(
    const std::shared_ptr<pending_request>& pending) {
    loop_.after(HEDGE_DELAY, [this, pending] {
        if (pending->answered)
            return;
        // Hosts that can write become known only some time after the store
        // stopped answering.
        if (!write_via_peer(pending) &&
            pending->tried_hosts.size() < MAX_WRITE_PEERS)
            schedule_hedge(pending);
    });
}

bool front_service::write_via_peer(
    const std::shared_ptr<pending_request>& pending) {
    if (pending->tried_hosts.size() >= MAX_WRITE_PEERS)
        return false;
    const auto peers = members_.write_peers();
    const auto next =
        std::find_if(peers.begin(), peers.end(), [&](const auto& address) {
            return std::find(pending->tried_hosts.begin(),
                             pending->tried_hosts.end(),
                             address) == pending->tried_hosts.end();
        });
    if (next == peers.end())
        return false;
    pending->tried_hosts.push_back(*next);
    ++pending->writes_in_flight;
    ++metrics_.counter("rattan_writes_through_peers_total");
    wire::store_request request;
    request.key = pending->record_key;
    request.value = pending->record_value;
    // Writing a record twice is harmless: its key is the job's id.
    members_.peer(*next).call(
        wire::method::STORE, wire_encode(request),
        record_writer::MAX_WRITE_TIME,
        [this, pending](const rpc_call_result& answer) {
            handle_write_result(
                pending, answer.ok() ? write_result::stored
                         : answer.outcome == rpc_outcome::not_sent ||
                                 (answer.outcome == rpc_outcome::answered &&
                                  answer.code == wire::status::UNAVAILABLE)
                             ? write_result::not_stored
                             : write_result::unknown);
        });
    return true;
}

void front_service::handle_write_result(
    const std::shared_ptr<pending_request>& pending, write_result result) {
    --pending->writes_in_flight;
    if (pending->answered)
        return;
    if (result == write_result::stored)
        return reply_write_result(pending, result);
    pending->outcome_unknown =
        pending->outcome_unknown || result == write_result::unknown;
    if (pending->writes_in_flight > 0 || write_via_peer(pending))
        return;
    reply_write_result(pending, pending->outcome_unknown
                                    ? write_result::unknown
                                    : write_result::not_stored);
}

void front_service::notify_owner(const pending_request& pending) {
    if (owner_ && owner_->serving())
        return owner_->handle_stored_record(
            {.key = pending.record_key, .value = pending.record_value});
    const std::string& address = members_.owner().address;
    if (owner_ || address.empty())
        return;
    wire::store_request request;
    request.key = pending.record_key;
    request.value = pending.record_value;
    // If this call fails, the owner reads the record from the store later.
    members_.peer(address).call(wire::method::STORED, wire_encode(request),
                                NOTIFY_TIMEOUT, [](const rpc_call_result&) {});
}

void front_service::reply_write_result(
    const std::shared_ptr<pending_request>& pending, write_result result) {
    pending->answered = true;
    if (result == write_result::stored)
        notify_owner(*pending);
    static constexpr int STATUS[] = {200, 503, 504};
    const int status = STATUS[static_cast<int>(result)];
    const std::int64_t took_ms =
        (event_loop::now() - pending->arrived_at).count();
    metrics_.histogram("rattan_accept_micros").record(took_ms * 1000);
    log_event(log_level::info, "caller_answered",
              {{"job", pending->job.value},
               {"method", pending->request.method},
               {"queue", pending->queue.name.value},
               {"status", std::to_string(status)},
               {"ms", std::to_string(took_ms)},
               {"config", std::to_string(config_.version)}});
    http_response reply = status_reply(status);
    // While this host can't store records, its clients should connect to
    // another one.
    reply.close = result != write_result::stored && !can_store();
    pending->answer(reply);
    // The timer of a second write holds the request for some time longer.
    pending->request = {};
    std::string().swap(pending->record_value);
}

} // namespace rattan::front
