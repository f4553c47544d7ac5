/** @file A stand-in of a target: runs tasks under leases, keeps an audit. */
#pragma once

#include "net/event_loop.hpp"
#include "net/http_server.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rattan::standin {

/** Counts of all targets together; tests check them. */
struct fleet_audit {
    std::map<std::string, int> present; ///< Current runs of each task.
    std::map<std::string, int> done;
    int two_places = 0;
    int after_done = 0;
    int overcommitted = 0;
    int starts = 0;
    std::string last_start_target; ///< Id of the target of the last start.
    /** Demand of each task of a step. */
    std::map<std::string, std::int64_t> milli_cores;
};

/** One target; the payload `ms=N` of a task sets its run time. */
class fleet_target {
public:
    fleet_target(event_loop& loop, std::string id, const std::string& address,
                 std::int64_t milli_cores, fleet_audit& audit);
    /** Ends the process: its runs end without notice. */
    ~fleet_target();
    fleet_target(const fleet_target&) = delete;
    fleet_target& operator=(const fleet_target&) = delete;

    /** Its entry in the target list of the store, as JSON. */
    [[nodiscard]] std::string entry() const;

    /** While silent it sends no responses; its tasks keep running. */
    void set_silent(bool silent) { silent_ = silent; }

    /** The next start order has no answer and no effect yet. */
    void hold_next_start() { hold_next_start_ = true; }
    /** Returns the start order that is held; empty: none. */
    [[nodiscard]] const std::string& held_start() const { return held_start_; }
    /** Carries out a start order that arrives late. */
    void start_late(const std::string& body);

private:
    struct run {
        std::int64_t run_number = 0;
        std::int64_t end_ms = 0; ///< On the target's clock; 0: no end.
    };
    struct waiting_poll {
        http_server::responder answer;
        std::int64_t timeout_at_ms = 0;
    };

    void handle(const http_request& request, http_server::responder answer);
    /** Notes a fencing token. @return False if it is an outdated one. */
    bool accept_token(const nlohmann::json& body);
    http_response start(const nlohmann::json& body);
    http_response stop(const nlohmann::json& body);
    void poll(const nlohmann::json& body, http_server::responder answer);
    [[nodiscard]] http_response list() const;
    void tick();
    void end_run(const std::string& task, const std::string& outcome);
    [[nodiscard]] std::int64_t clock_ms() const;
    [[nodiscard]] http_response refuse(const std::string& reason) const;

    std::string id_;
    std::string address_;
    std::int64_t milli_cores_;
    fleet_audit& audit_;
    std::int64_t started_ms_;
    std::map<std::string, run> runs_;
    /** Highest run number of each task that has ended. */
    std::map<std::string, std::int64_t> highest_ended_run_;
    std::vector<nlohmann::json> ended_runs_;
    std::int64_t last_event_number_ = 0;
    std::int64_t highest_token_ = 0; ///< Fencing token.
    std::int64_t lease_end_ms_ = 0;  ///< On the target's clock.
    bool silent_ = false;
    bool hold_next_start_ = false;
    std::string held_start_;
    std::vector<waiting_poll> waiting_polls_;
    std::vector<http_server::responder> unanswered_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    http_server http_;
};

} // namespace rattan::standin
