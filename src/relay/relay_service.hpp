/**
 * @file The relay service: reads the log, serves it to the programs on its
 * entry host and to other relays, and appends to it.
 */
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

/** The service of a relay process. */
class relay_service {
public:
    relay_service(event_loop& loop, relay_settings settings);

    /** Starts to read the log and to answer requests. */
    void start();

    /** Refuses new appends; stops the loop once the others are resolved. */
    void shut_down();

    /** Writes a state dump to the log output of the process. */
    void log_dump() const;

private:
    /** A `READ` call that waits for new records. */
    struct waiting_read {
        wire::read_request request;
        rpc_server::responder answer;
        mono_time deadline;
    };

    /** A configuration change whose record is not yet read back. */
    struct waiting_publish {
        std::string token;
        http_server::responder answer;
        mono_time deadline;
    };

    // relay_read_service.cpp: input from the log, peers and host list.

    /** Restores the newest snapshot in the log, or one of a peer. */
    void load_snapshot();
    void read_log();
    void handle_log_page(const log_page& page, mono_time requested_at);
    /** Reads records from the peers while the log is unreachable. */
    void read_from_peers();
    void fetch_peer_snapshots();
    void handle_peer_page(const wire::read_reply& page, mono_time requested_at);
    void apply(std::int64_t offset, std::int64_t time_ms,
               const std::string& body);
    void restore(cell_state state);
    void start_serving();
    void poll_hosts();
    void update_hosts(const host_list& hosts);
    /** Writes a snapshot if one is due and no other relay has written it. */
    void maybe_write_snapshot();

    // relay_serve_service.cpp: answers to programs, peers and operators.
    void register_rpc_handlers();
    /**
     * Answers a read if there is something new for it.
     * @param force Answers also if there is nothing new.
     * @return Whether it was answered.
     */
    bool answer_read(const wire::read_request& request,
                     const rpc_server::responder& answer, bool force);
    /** Answers waiting reads with news, and requests past their deadline. */
    void answer_waiting();
    /** Sends the next group of appends to the log if one is due. */
    void send_next_append();
    void on_append(const wire::append_request& request,
                   const rpc_server::responder& answer);
    void on_http(const http_request& request,
                 const http_server::responder& answer);
    void publish(const http_request& request,
                 const http_server::responder& answer);
    void cancel_jobs(const http_request& request,
                     const http_server::responder& answer);
    /** Checks the operator key of a request; sets `name` if it is valid. */
    bool authenticate_operator(const http_request& request,
                               std::string& name) const;
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
    caller_budget body_budget_; ///< Of operators' requests.
    http_server http_;
    std::vector<std::unique_ptr<rpc_client>> peers_;
    std::unique_ptr<append_queue> appends_; ///< Null until caught up once.
    cell_fold fold_;
    std::deque<stored_record> tail_;     ///< Recent records, for readers.
    std::int64_t tail_first_offset_ = 0; ///< Readers before it need a snapshot.
    freshness fresh_;
    bool serving_ = false; ///< The state may be sent to readers.
    bool shutting_down_ = false;
    bool log_was_reachable_ = false;
    host_list hosts_;
    std::string hosts_text_;
    std::list<waiting_read> waiting_reads_;
    std::list<waiting_publish> waiting_publishes_;
    /** `next_offset` of the newest known snapshot in the log. */
    std::int64_t snapshot_offset_ = 0;
    mono_time snapshot_checked_at_{};
    bool snapshot_in_progress_ = false;
    size_t peers_asked_ = 0;
    size_t peers_answered_ = 0;
    size_t next_peer_ = 0;
};

} // namespace rattan
