/** @file Input of the relay: log, peers, snapshots, host list. */
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
constexpr millis LOG_POLL_WAIT{400};
constexpr millis LOG_RETRY_DELAY{200};
constexpr millis START_RETRY_DELAY{500};
constexpr millis PEER_TIMEOUT{500};
constexpr millis SNAPSHOT_TIMEOUT{5'000};
constexpr int MAX_RECORDS_PER_READ = 1'000;

} // namespace

void relay_service::load_snapshot() {
    log_.read_last(SNAPSHOT_STREAM, [this](const log_page& page) {
        if (!page.reached)
            return fetch_peer_snapshots();
        if (!page.records.empty()) {
            try {
                cell_state state = decode_snapshot(page.records.back().body);
                if (state.next_offset > fold_.state().next_offset)
                    restore(std::move(state));
                snapshot_offset_ = fold_.state().next_offset;
            } catch (const decode_error& failure) {
                log_event(log_level::error, "snapshot_unusable",
                          {{"why", failure.what()}});
            }
        }
        read_log();
    });
}

void relay_service::fetch_peer_snapshots() {
    if (peers_.empty()) {
        loop_.after(START_RETRY_DELAY, [this] { load_snapshot(); });
        return;
    }
    auto pending = std::make_shared<size_t>(peers_.size());
    auto found = std::make_shared<bool>(false);
    const mono_time requested_at = event_loop::now();
    for (const auto& peer : peers_)
        peer->call(
            wire::method::SNAPSHOT, "", SNAPSHOT_TIMEOUT,
            [this, pending, found,
             requested_at](const rpc_call_result& answer) {
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
                if (--*pending > 0)
                    return;
                if (!*found) {
                    loop_.after(START_RETRY_DELAY, [this] { load_snapshot(); });
                    return;
                }
                fresh_.checked_at = std::max(fresh_.checked_at, requested_at);
                start_serving();
                read_from_peers();
            });
}

void relay_service::read_log() {
    const mono_time requested_at = event_loop::now();
    log_.read(CELL_STREAM, fold_.state().next_offset, MAX_RECORDS_PER_READ,
              serving_ ? LOG_POLL_WAIT : millis(0),
              [this, requested_at](const log_page& page) {
                  handle_log_page(page, requested_at);
              });
}

void relay_service::handle_log_page(const log_page& page,
                                    mono_time requested_at) {
    if (page.reached != fresh_.log_reachable)
        log_event(page.reached ? log_level::info : log_level::warning,
                  page.reached ? "log_reached" : "log_out_of_reach");
    fresh_.log_reachable = page.reached;
    if (!page.reached) {
        ++metrics_.counter("log_reads_failed");
        return read_from_peers();
    }
    ++metrics_.counter("log_reads");
    if (page.earliest > fold_.state().next_offset) {
        log_event(log_level::warning, "behind_retention",
                  {{"earliest", std::to_string(page.earliest)}});
        loop_.after(START_RETRY_DELAY, [this] { load_snapshot(); });
        return;
    }
    for (const stored_record& record : page.records)
        apply(record.offset, record.time_ms, record.body);
    if (fold_.state().next_offset >= page.next) {
        fresh_.current_at = std::max(fresh_.current_at, requested_at);
        fresh_.checked_at = std::max(fresh_.checked_at, requested_at);
        start_serving();
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
    answer_waiting();
    send_next_append();
    read_log();
}

void relay_service::read_from_peers() {
    const mono_time requested_at = event_loop::now();
    if (peers_.empty() || !serving_) {
        fresh_.checked_at = std::max(fresh_.checked_at, requested_at);
        loop_.after(LOG_RETRY_DELAY, [this] {
            if (serving_)
                read_log();
            else
                load_snapshot();
        });
        return;
    }
    auto pending = std::make_shared<size_t>(peers_.size());
    wire::read_request request;
    request.first = fold_.state().next_offset;
    request.max_records = MAX_RECORDS_PER_READ;
    request.wait_ms = 0;
    request.hosts_version = hosts_.version;
    for (const auto& peer : peers_)
        peer->call(
            wire::method::READ, wire_encode(request), PEER_TIMEOUT,
            [this, pending, requested_at](const rpc_call_result& answer) {
                if (answer.ok()) {
                    try {
                        handle_peer_page(
                            wire_decode<wire::read_reply>(answer.body),
                            requested_at);
                    } catch (const decode_error&) {
                        ++metrics_.counter("peer_pages_unusable");
                    }
                }
                if (--*pending > 0)
                    return;
                fresh_.checked_at = std::max(fresh_.checked_at, requested_at);
                answer_waiting();
                loop_.after(LOG_RETRY_DELAY, [this] { read_log(); });
            });
}

void relay_service::handle_peer_page(const wire::read_reply& page,
                                     mono_time requested_at) {
    if (page.earliest > fold_.state().next_offset) {
        // The peer no longer has the missing records; snapshots replace them.
        loop_.defer([this] { fetch_peer_snapshots(); });
        return;
    }
    for (const wire::log_record& record : page.records) {
        if (record.offset < fold_.state().next_offset)
            continue;
        ++metrics_.counter("records_from_peers");
        apply(record.offset, record.time_ms, record.body);
    }
    // A peer that is cut off as well still knows how old its state is.
    if (fold_.state().next_offset >= page.next_offset)
        fresh_.current_at = std::max(
            fresh_.current_at, requested_at - millis(page.current_age_ms));
    if (page.__isset.hosts && page.hosts_version > hosts_.version) {
        try {
            update_hosts(nlohmann::json::parse(page.hosts).get<host_list>());
        } catch (const nlohmann::json::exception&) {
            ++metrics_.counter("peer_pages_unusable");
        }
    }
}

void relay_service::poll_hosts() {
    host_client_.fetch([this](const std::optional<host_list>& hosts) {
        if (hosts)
            update_hosts(*hosts);
    });
}

void relay_service::update_hosts(const host_list& hosts) {
    if (hosts.version <= hosts_.version)
        return;
    hosts_ = hosts;
    hosts_text_ = nlohmann::json(hosts).dump();
    answer_waiting();
}

void relay_service::maybe_write_snapshot() {
    const std::int64_t next = fold_.state().next_offset;
    const mono_time now = event_loop::now();
    if (!fresh_.log_reachable || !fresh_.is_fresh(now) ||
        snapshot_in_progress_ || next == snapshot_offset_)
        return;
    if (next - snapshot_offset_ < settings_.snapshot_records &&
        now - snapshot_checked_at_ < settings_.snapshot_period)
        return;
    // Another relay may have written a snapshot; the newest is checked first.
    snapshot_in_progress_ = true;
    log_.read_last(SNAPSHOT_STREAM, [this](const log_page& page) {
        snapshot_checked_at_ = event_loop::now();
        snapshot_in_progress_ = false;
        if (!page.reached)
            return;
        if (!page.records.empty()) {
            try {
                snapshot_offset_ = std::max(
                    snapshot_offset_,
                    decode_snapshot(page.records.back().body).next_offset);
            } catch (const decode_error&) {
                snapshot_offset_ = 0;
            }
        }
        if (fold_.state().next_offset - snapshot_offset_ <
            settings_.snapshot_records / 2)
            return;
        const std::string text = encode_snapshot(fold_.state());
        snapshot_offset_ = fold_.state().next_offset;
        ++metrics_.counter("snapshots_written");
        metrics_.counter("snapshot_bytes_written") += text.size();
        log_.append(SNAPSHOT_STREAM, text, [](append_result, std::int64_t) {});
    });
}

} // namespace rattan
