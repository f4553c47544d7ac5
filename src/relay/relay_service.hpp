/** @file The relay: reads the log, feeds programs and peers, appends. */
#pragma once

#include "adapter/http_host_list_client.hpp"
#include "adapter/http_log_client.hpp"
#include "fold/fold_base.hpp"
#include "net/http_client.hpp"
#include "net/rpc_client.hpp"
#include "net/rpc_server.hpp"
#include "relay/relay_settings.hpp"
#include "stream/append_queue.hpp"
#include "stream/freshness_type.hpp"

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace rattan {

/** Everything that a relay process does. */
class relay_service {
public:
    relay_service(event_loop& loop, relay_settings settings);

    /** Begins to read the log and to answer. */
    void start();

    /** Stops taking appends; ends the loop when the rest is decided. */
    void shut_down();

    /** Writes everything known into the log. */
    void log_dump() const;

private:
    /** A call of `READ` that waits for records. */
    struct waiting_read {
        wire::read_request request;
        rpc_server::responder answer;
        mono_time until;
    };

    /** An operator's change that waits for its verdict. */
    struct waiting_publish {
        std::string token;
        http_server::responder answer;
        mono_time until;
    };

    // relay_read.cpp: from the log, from peers, from snapshots.
    void load_snapshot();
    void read_log();
    void take_log_page(const log_page& page, mono_time asked);
    void ask_peers();
    void ask_peer_snapshots();
    void take_peer_page(const wire::read_reply& page, mono_time asked);
    void apply(std::int64_t offset, std::int64_t time_ms,
               const std::string& body);
    void restore(cell_state state);
    void begin_serving();
    void poll_hosts();
    void take_hosts(const host_list& hosts);
    void maybe_write_snapshot();

    // relay_serve.cpp: to programs, peers and operators.
    void register_calls();
    bool answer_read(const wire::read_request& request,
                     const rpc_server::responder& answer, bool force);
    void wake_readers();
    void pump_appends();
    void on_append(const wire::append_request& request,
                   const rpc_server::responder& answer);
    void on_http(const http_request& request,
                 const http_server::responder& answer);
    void publish(const http_request& request,
                 const http_server::responder& answer);
    void cancel_jobs(const http_request& request,
                     const http_server::responder& answer);
    bool is_operator(const http_request& request, std::string& name) const;
    void on_entry(const log_entry& entry, const entry_context& context,
                  fold_verdict verdict);
    [[nodiscard]] nlohmann::json state_json() const;
    [[nodiscard]] nlohmann::json dump() const;

    event_loop& loop_;
    relay_settings settings_;
    metrics_registry metrics_;
    http_client client_;
    http_log_client log_;
    http_host_list_client host_client_;
    rpc_server rpc_;
    http_server http_;
    std::vector<std::unique_ptr<rpc_client>> peers_;
    std::unique_ptr<append_queue> appends_; ///< Once the log was reached.
    cell_fold fold_;
    std::deque<stored_record> tail_; ///< Recent records, for readers.
    std::int64_t tail_first_ = 0;    ///< Offset at which the tail begins.
    freshness fresh_;
    bool serving_ = false; ///< Has a state that may be handed on.
    bool leaving_ = false;
    bool log_was_reachable_ = false;
    host_list hosts_;
    std::string hosts_text_;
    std::list<waiting_read> readers_;
    std::list<waiting_publish> publishes_;
    std::int64_t snapshot_at_ = 0; ///< Offset of the last known snapshot.
    mono_time snapshot_time_{};
    bool snapshot_busy_ = false;
    size_t peers_asked_ = 0;
    size_t peers_answered_ = 0;
    size_t next_peer_ = 0;
};

} // namespace rattan
