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
constexpr millis SWITCH_DELAY{100};
constexpr int MAX_RECORDS_PER_READ = 2'000;
/** Reads from another relay before the one on this entry host is retried. */
constexpr int READS_BEFORE_RETURN = 10;
/** Added to the expiry of an append to get the timeout of its call. */
constexpr millis APPEND_TIMEOUT_MARGIN{500};

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

void stream_feed::switch_relay() {
    relay_index_ = (relay_index_ + 1) % relays_.size();
    reads_from_other_ = 0;
    loop_.after(SWITCH_DELAY, [this] {
        if (started_)
            read_next();
        else
            fetch_snapshot();
    });
}

void stream_feed::fetch_snapshot() {
    relays_[relay_index_]->call(
        wire::method::SNAPSHOT, "", SNAPSHOT_TIMEOUT,
        [this](const rpc_call_result& answer) {
            if (!answer.ok())
                return switch_relay();
            try {
                const auto reply =
                    wire_decode<wire::snapshot_reply>(answer.body);
                cell_state state = decode_snapshot(reply.state);
                // A snapshot older than the present state is not used.
                if (state.next_offset < fold_.state().next_offset)
                    return switch_relay();
                fold_.restore(std::move(state));
            } catch (const decode_error&) {
                return switch_relay();
            }
            started_ = true;
            if (callbacks_.on_restore)
                callbacks_.on_restore();
            read_next();
        });
}

void stream_feed::read_next() {
    wire::read_request request;
    request.first = fold_.state().next_offset;
    request.max_records = MAX_RECORDS_PER_READ;
    request.wait_ms = static_cast<std::int32_t>(READ_WAIT.count());
    request.hosts_version = hosts_.version;
    const mono_time asked = event_loop::now();
    relays_[relay_index_]->call(
        wire::method::READ, wire_encode(request), READ_TIMEOUT,
        [this, asked](const rpc_call_result& answer) {
            if (!answer.ok())
                return switch_relay();
            try {
                handle_read_reply(wire_decode<wire::read_reply>(answer.body),
                                  asked);
            } catch (const decode_error&) {
                switch_relay();
            }
        });
}

void stream_feed::handle_read_reply(const wire::read_reply& page,
                                    mono_time asked) {
    if (page.earliest > fold_.state().next_offset)
        return fetch_snapshot();
    for (const wire::log_record& record : page.records)
        fold_.apply(record.offset, record.time_ms, record.body);
    // Ages count from the time of the request, since the answer may have
    // waited in a buffer.
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
            return switch_relay();
        }
    }
    if (callbacks_.on_batch_applied)
        callbacks_.on_batch_applied();
    if (relay_index_ != 0 && ++reads_from_other_ >= READS_BEFORE_RETURN) {
        relay_index_ = 0;
        reads_from_other_ = 0;
    }
    read_next();
}

void stream_feed::append(const std::vector<log_entry>& entries, millis expires,
                         rpc_client::callback done) {
    wire::append_request request;
    for (const log_entry& entry : entries)
        request.entries.push_back(encode_entry(entry));
    request.expire_ms = static_cast<std::int32_t>(expires.count());
    relays_.front()->call(wire::method::APPEND, wire_encode(request),
                          expires + APPEND_TIMEOUT_MARGIN, std::move(done));
}

void stream_feed::when_appends_resolved(std::function<void(bool)> done) {
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
