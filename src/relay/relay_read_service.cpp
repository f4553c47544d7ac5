/** @file How a relay comes to know: log, peers, snapshots, host list. */
#include "base/log_func.hpp"
#include "fold/record_codec.hpp"
#include "fold/snapshot_codec.hpp"
#include "net/thrift_codec.hpp"
#include "rattan/error_type.hpp"
#include "relay/relay_service.hpp"

#include <algorithm>

namespace rattan {

namespace {

const std::string CELL_STREAM = "cell";
const std::string SNAPSHOT_STREAM = "snapshots";
constexpr millis LOG_WAIT{400};
constexpr millis LOG_RETRY{200};
constexpr millis START_RETRY{500};
constexpr millis PEER_TIMEOUT{500};
constexpr millis SNAPSHOT_TIMEOUT{5'000};
constexpr int MAX_RECORDS = 1'000;

} // namespace

void relay_service::load_snapshot() {
    log_.read_last(SNAPSHOT_STREAM, [this](const log_page& page) {
        if (!page.reached)
            return ask_peer_snapshots();
        if (!page.records.empty()) {
            try {
                cell_state state = decode_snapshot(page.records.back().body);
                if (state.next_offset > fold_.state().next_offset)
                    restore(std::move(state));
                snapshot_at_ = fold_.state().next_offset;
            } catch (const decode_error& failure) {
                log_event(log_level::error, "snapshot_unusable",
                          {{"why", failure.what()}});
            }
        }
        read_log();
    });
}

void relay_service::ask_peer_snapshots() {
    if (peers_.empty()) {
        loop_.after(START_RETRY, [this] { load_snapshot(); });
        return;
    }
    auto left = std::make_shared<size_t>(peers_.size());
    auto found = std::make_shared<bool>(false);
    const mono_time asked = event_loop::now();
    for (const auto& peer : peers_)
        peer->call(
            wire::method::SNAPSHOT, "", SNAPSHOT_TIMEOUT,
            [this, left, found, asked](const rpc_call_result& answer) {
                if (answer.ok()) {
                    try {
                        cell_state state = decode_snapshot(
                            wire_decode<wire::snapshot_reply>(answer.body)
                                .state);
                        *found = true;
                        if (state.next_offset > fold_.state().next_offset)
                            restore(std::move(state));
                    } catch (const decode_error&) {
                        ++metrics_.counter("peer_snapshots_unusable");
                    }
                }
                if (--*left > 0)
                    return;
                if (!*found) {
                    loop_.after(START_RETRY, [this] { load_snapshot(); });
                    return;
                }
                fresh_.checked_at = std::max(fresh_.checked_at, asked);
                begin_serving();
                ask_peers();
            });
}

void relay_service::read_log() {
    const mono_time asked = event_loop::now();
    log_.read(
        CELL_STREAM, fold_.state().next_offset, MAX_RECORDS,
        serving_ ? LOG_WAIT : millis(0),
        [this, asked](const log_page& page) { take_log_page(page, asked); });
}

void relay_service::take_log_page(const log_page& page, mono_time asked) {
    if (page.reached != fresh_.log_reachable)
        log_event(page.reached ? log_level::info : log_level::warning,
                  page.reached ? "log_reached" : "log_out_of_reach");
    fresh_.log_reachable = page.reached;
    if (!page.reached) {
        ++metrics_.counter("log_reads_failed");
        return ask_peers();
    }
    ++metrics_.counter("log_reads");
    if (page.earliest > fold_.state().next_offset) {
        log_event(log_level::warning, "behind_retention",
                  {{"earliest", std::to_string(page.earliest)}});
        loop_.after(START_RETRY, [this] { load_snapshot(); });
        return;
    }
    for (const stored_record& record : page.records)
        apply(record.offset, record.time_ms, record.body);
    if (fold_.state().next_offset >= page.next) {
        fresh_.current_at = std::max(fresh_.current_at, asked);
        fresh_.checked_at = std::max(fresh_.checked_at, asked);
        begin_serving();
        if (!appends_) {
            const auto last =
                fold_.state().writers.find(settings_.process.host);
            const std::int64_t floor = last == fold_.state().writers.end()
                                           ? 0
                                           : last->second.incarnation + 1;
            appends_ = std::make_unique<append_queue>(
                settings_.process.host, std::max(wall_millis(), floor));
        }
    }
    wake_readers();
    pump_appends();
    read_log();
}

void relay_service::ask_peers() {
    const mono_time asked = event_loop::now();
    if (peers_.empty() || !serving_) {
        fresh_.checked_at = std::max(fresh_.checked_at, asked);
        loop_.after(LOG_RETRY, [this] {
            if (serving_)
                read_log();
            else
                load_snapshot();
        });
        return;
    }
    auto left = std::make_shared<size_t>(peers_.size());
    wire::read_request request;
    request.first = fold_.state().next_offset;
    request.max_records = MAX_RECORDS;
    request.wait_ms = 0;
    request.hosts_version = hosts_.version;
    for (const auto& peer : peers_)
        peer->call(wire::method::READ, wire_encode(request), PEER_TIMEOUT,
                   [this, left, asked](const rpc_call_result& answer) {
                       if (answer.ok()) {
                           try {
                               take_peer_page(
                                   wire_decode<wire::read_reply>(answer.body),
                                   asked);
                           } catch (const decode_error&) {
                               ++metrics_.counter("peer_pages_unusable");
                           }
                       }
                       if (--*left > 0)
                           return;
                       fresh_.checked_at = std::max(fresh_.checked_at, asked);
                       wake_readers();
                       loop_.after(LOG_RETRY, [this] { read_log(); });
                   });
}

void relay_service::take_peer_page(const wire::read_reply& page,
                                   mono_time asked) {
    if (page.earliest > fold_.state().next_offset) {
        // The peer has forgotten what we lack: its whole state instead.
        loop_.defer([this] { ask_peer_snapshots(); });
        return;
    }
    for (const wire::log_record& record : page.records) {
        if (record.offset < fold_.state().next_offset)
            continue;
        ++metrics_.counter("records_from_peers");
        apply(record.offset, record.time_ms, record.body);
    }
    if (page.log_reachable && fold_.state().next_offset >= page.next_offset)
        fresh_.current_at =
            std::max(fresh_.current_at, asked - millis(page.current_age_ms));
    if (page.__isset.hosts && page.hosts_version > hosts_.version) {
        try {
            take_hosts(nlohmann::json::parse(page.hosts).get<host_list>());
        } catch (const nlohmann::json::exception&) {
            ++metrics_.counter("peer_pages_unusable");
        }
    }
}

void relay_service::poll_hosts() {
    host_client_.fetch([this](const std::optional<host_list>& hosts) {
        if (hosts)
            take_hosts(*hosts);
    });
}

void relay_service::take_hosts(const host_list& hosts) {
    if (hosts.version <= hosts_.version)
        return;
    hosts_ = hosts;
    hosts_text_ = nlohmann::json(hosts).dump();
    wake_readers();
}

void relay_service::maybe_write_snapshot() {
    const std::int64_t next = fold_.state().next_offset;
    const mono_time now = event_loop::now();
    if (!fresh_.log_reachable || !fresh_.is_fresh(now) || snapshot_busy_ ||
        next == snapshot_at_)
        return;
    if (next - snapshot_at_ < settings_.snapshot_records &&
        now - snapshot_time_ < settings_.snapshot_period)
        return;
    // Entry hosts take turns: another one may have written it by now.
    snapshot_busy_ = true;
    log_.read_last(SNAPSHOT_STREAM, [this](const log_page& page) {
        snapshot_time_ = event_loop::now();
        snapshot_busy_ = false;
        if (!page.reached)
            return;
        if (!page.records.empty()) {
            try {
                snapshot_at_ = std::max(
                    snapshot_at_,
                    decode_snapshot(page.records.back().body).next_offset);
            } catch (const decode_error&) {
                snapshot_at_ = 0;
            }
        }
        if (fold_.state().next_offset - snapshot_at_ <
            settings_.snapshot_records / 2)
            return;
        const std::string text = encode_snapshot(fold_.state());
        snapshot_at_ = fold_.state().next_offset;
        ++metrics_.counter("snapshots_written");
        metrics_.counter("snapshot_bytes_written") += text.size();
        log_.append(SNAPSHOT_STREAM, text, [](append_result, std::int64_t) {});
    });
}

} // namespace rattan
