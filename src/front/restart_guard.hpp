/** @file Reaches the next process of a target before a late order does. */
#pragma once

#include "base/metrics_base.hpp"
#include "front/member_service.hpp"
#include "front/target_prober.hpp"
#include "net/connection_watch.hpp"
#include "net/http_type.hpp"
#include "net/rpc_server.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace rattan::front {

/**
 * Shows each new process of a target a fencing token as soon as it can be
 * reached. A connection tells when the process ends; from then on a poll with
 * the token is repeated until it is answered. Several hosts do so for each
 * target, each within its own processor share, and on a thread that other work
 * of the host does not delay.
 */
class restart_guard {
public:
    restart_guard(event_loop& loop, member_service& members,
                  metrics_registry& metrics,
                  const platform::platform_settings& settings);
    ~restart_guard();

    /**
     * Guards a target from this host and others. A new poll takes the place of
     * the earlier one.
     * @param poll Shows the token; sent at once and to each new process.
     * @param duration Time after which the guard ends.
     * @param reached Called when this host has reached a process after one
     * had been out of reach.
     */
    void guard(const std::string& target, const http_call& poll,
               millis duration, std::function<void()> reached);

    /** Registers the method by which other hosts have targets guarded here. */
    void register_guard_method(rpc_server& server);

private:
    struct guarded_target {
        probe_request poll;
        std::function<void()> reached;
        std::int64_t until_us = 0;
        bool connection_lost = false; ///< Since the last answer.
        /** Connections that may still be opened. */
        int connections_left = 0;
        /** Empty before the first answer, and while the process is gone. */
        std::unique_ptr<connection_watch> connection;
    };

    /** @return False if too many targets are guarded here. */
    bool guard_here(const std::string& target, const http_call& poll,
                    millis duration, std::function<void()> reached);
    /** Asks other hosts to guard a target as well. */
    void guard_elsewhere(const std::string& target, const http_call& poll,
                         millis duration);
    void watch(const std::string& target, guarded_target& guarded);
    /** Probes a target whose process may have ended. */
    void begin_probes(const std::string& target);
    void handle_reached(const reached_target& reached);
    void update_counters();
    /** Ends the guards whose time is over. */
    void end_guards();

    event_loop& loop_;
    member_service& members_;
    metrics_registry& metrics_;
    host_id own_host_;
    std::map<std::string, guarded_target> targets_;
    std::size_t watches_ = 0; ///< Connections held.
    bool end_scheduled_ = false;
    target_prober prober_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace rattan::front
