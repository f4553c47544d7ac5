/** @file The placer's process: timers, log, RPC and HTTP of a placer_base. */
#pragma once

#include "adapter/http_worker_client.hpp"
#include "net/http_client.hpp"
#include "net/program_runtime.hpp"
#include "net/rpc_server.hpp"
#include "net/stream_feed.hpp"
#include "placer/placer_base.hpp"

#include <map>
#include <memory>
#include <string>

namespace rattan {

/** Settings of a placer process. */
struct placer_settings {
    process_settings process;
    millis lease{15'000};
    millis owner_timeout{3'000};
    millis min_poll_period{500};
    std::string packing = "best_fit";
};

/** Connects a placer_base to the log, its workers and its peers. */
class placer_service {
public:
    placer_service(event_loop& loop, placer_settings settings);

    /** Starts to follow the log, and the timers. */
    void start();

    /** Shuts down once orders in flight had time to end; a peer takes over. */
    void shut_down();

    /** Writes the state dump to the process log. */
    void log_dump() const;

private:
    /** Runs one tick in the next turn of the loop. */
    void schedule_tick();
    void tick();
    void send(const outgoing_order& outgoing);
    void append(const std::vector<log_entry>& records);
    void ping_owner();
    void on_http(const http_request& request,
                 const http_server::responder& answer);
    [[nodiscard]] nlohmann::json state_json() const;
    [[nodiscard]] nlohmann::json dump() const;

    event_loop& loop_;
    placer_settings settings_;
    metrics_registry metrics_;
    http_client client_;
    http_worker_client workers_;
    rpc_server rpc_;
    caller_budget body_budget_; ///< Of operators' requests.
    http_server http_;
    placer_base placer_;
    stream_feed feed_;
    std::map<std::string, std::unique_ptr<rpc_client>> owners_;
    bool tick_scheduled_ = false;
    bool was_owner_ = false;
    bool leaving_ = false;
};

} // namespace rattan
