/** @file The placer's process: carries bytes to and from its decisions. */
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

/** Settings of a placer. */
struct placer_settings {
    process_settings process;
    millis lease{15'000};
    millis owner_timeout{3'000};
    millis shortest_poll{500};
    std::string packing = "best_fit";
};

/** Everything that a placer process does. */
class placer_service {
public:
    placer_service(event_loop& loop, placer_settings settings);

    /** Begins to follow the log. */
    void start();

    /** Ends the loop; a peer takes over what this placer owned. */
    void shut_down();

    /** Writes everything known into the log. */
    void log_dump() const;

private:
    /** Runs a tick soon, once. */
    void wake();
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
    http_server http_;
    placer_base placer_;
    stream_feed feed_;
    std::map<std::string, std::unique_ptr<rpc_client>> owners_;
    bool wake_scheduled_ = false;
    bool was_owner_ = false;
    bool leaving_ = false;
};

} // namespace rattan
