#include "net/stream_feed.hpp"

#include "fold/record_codec.hpp"
#include "fold/snapshot_codec.hpp"
#include "net/thrift_codec.hpp"
#include "rattan/error_type.hpp"

namespace rattan {

namespace {

constexpr millis READ_WAIT{400};
constexpr millis READ_TIMEOUT{2'000};
constexpr millis SNAPSHOT_TIMEOUT{5'000};
constexpr millis NEXT_RELAY_DELAY{100};
constexpr int MAX_RECORDS = 2'000;
/** Reads from another entry host's relay before the own is tried again. */
constexpr int READS_ELSEWHERE = 10;
constexpr millis APPEND_SLACK{500};

} // namespace

stream_feed::stream_feed(event_loop& loop,
                         const std::vector<std::string>& relays,
                         feed_callbacks callbacks)
    : loop_(loop), callbacks_(std::move(callbacks)) {
    for (const std::string& address : relays)
        relays_.push_back(std::make_unique<rpc_client>(loop, address));
    fold_.observe([this](const log_entry& entry, const entry_context& context,
                         fold_verdict verdict) {
        if (callbacks_.on_entry)
            callbacks_.on_entry(entry, context, verdict);
    });
}

void stream_feed::start() {
    fetch_snapshot();
}

void stream_feed::next_relay() {
    relay_ = (relay_ + 1) % relays_.size();
    reads_here_ = 0;
    loop_.after(NEXT_RELAY_DELAY, [this] {
        if (started_)
            read_on();
        else
            fetch_snapshot();
    });
}

void stream_feed::fetch_snapshot() {
    relays_[relay_]->call(
        wire::method::SNAPSHOT, "", SNAPSHOT_TIMEOUT,
        [this](const rpc_call_result& answer) {
            if (!answer.ok())
                return next_relay();
            try {
                const auto reply =
                    wire_decode<wire::snapshot_reply>(answer.body);
                cell_state state = decode_snapshot(reply.state);
                // Never back: an older relay has nothing to say.
                if (state.next_offset < fold_.state().next_offset)
                    return next_relay();
                fold_.restore(std::move(state));
            } catch (const decode_error&) {
                return next_relay();
            }
            started_ = true;
            if (callbacks_.on_restore)
                callbacks_.on_restore();
            read_on();
        });
}

void stream_feed::read_on() {
    wire::read_request request;
    request.first = fold_.state().next_offset;
    request.max_records = MAX_RECORDS;
    request.wait_ms = static_cast<std::int32_t>(READ_WAIT.count());
    request.hosts_version = hosts_.version;
    const mono_time asked = event_loop::now();
    relays_[relay_]->call(
        wire::method::READ, wire_encode(request), READ_TIMEOUT,
        [this, asked](const rpc_call_result& answer) {
            if (!answer.ok())
                return next_relay();
            try {
                take_page(wire_decode<wire::read_reply>(answer.body), asked);
            } catch (const decode_error&) {
                next_relay();
            }
        });
}

void stream_feed::take_page(const wire::read_reply& page, mono_time asked) {
    if (page.earliest > fold_.state().next_offset)
        return fetch_snapshot();
    for (const wire::log_record& record : page.records)
        fold_.apply(record.offset, record.time_ms, record.body);
    // Counted from the asking: the answer may have waited in a buffer.
    if (fold_.state().next_offset >= page.next_offset) {
        fresh_.current_at =
            std::max(fresh_.current_at, asked - millis(page.current_age_ms));
        fresh_.checked_at =
            std::max(fresh_.checked_at, asked - millis(page.checked_age_ms));
    }
    fresh_.log_reachable = page.log_reachable;
    if (page.__isset.hosts && page.hosts_version != hosts_.version) {
        try {
            hosts_ = nlohmann::json::parse(page.hosts).get<host_list>();
            if (callbacks_.on_hosts)
                callbacks_.on_hosts(hosts_);
        } catch (const nlohmann::json::exception&) {
            return next_relay();
        }
    }
    if (callbacks_.on_batch_applied)
        callbacks_.on_batch_applied();
    if (relay_ != 0 && ++reads_here_ >= READS_ELSEWHERE) {
        relay_ = 0;
        reads_here_ = 0;
    }
    read_on();
}

void stream_feed::append(const std::vector<log_entry>& entries, millis expires,
                         rpc_client::callback done) {
    wire::append_request request;
    for (const log_entry& entry : entries)
        request.entries.push_back(encode_entry(entry));
    request.expire_ms = static_cast<std::int32_t>(expires.count());
    relays_.front()->call(wire::method::APPEND, wire_encode(request),
                          expires + APPEND_SLACK, std::move(done));
}

void stream_feed::when_settled(std::function<void(bool)> done) {
    append({}, SNAPSHOT_TIMEOUT,
           [done](const rpc_call_result& answer) { done(answer.ok()); });
}

nlohmann::json feed_state_json(const stream_feed& feed,
                               const process_settings& process,
                               const std::string& program) {
    const config_state& config = feed.state().config;
    const millis age = std::chrono::duration_cast<millis>(
        event_loop::now() - feed.fresh().current_at);
    return {{"program", program},
            {"host", process.host.value},
            {"data_centre", process.data_centre.value},
            {"version", config.version.value},
            {"accepted_ms", config.accepted_ms},
            {"next_offset", feed.state().next_offset},
            {"current_age_ms", age.count()},
            {"log_reachable", feed.fresh().log_reachable}};
}

} // namespace rattan
