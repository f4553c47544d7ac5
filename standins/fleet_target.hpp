/** @file A stand-in of a target: runs tasks under leases, and checks them. */
#pragma once

#include "net/event_loop.hpp"
#include "net/http_server.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rattan::standin {

/** What all targets together have seen. */
struct fleet_audit {
    std::map<std::string, int> present; ///< Runs of a task now.
    std::map<std::string, int> done;
    int two_places = 0;
    int after_done = 0;
    int overcommitted = 0;
    int starts = 0;
    std::map<std::string, std::int64_t> milli_cores; ///< Of a step's tasks.
};

/** One target; a task's payload `ms=N` says how long it runs. */
class fleet_target {
public:
    fleet_target(event_loop& loop, std::string id, const std::string& address,
                 std::int64_t milli_cores, fleet_audit& audit);

    /** Its entry in the list. */
    [[nodiscard]] std::string entry() const;

    /** Answers nothing while silent, and runs on. */
    void set_silent(bool silent) { silent_ = silent; }

private:
    struct run {
        std::int64_t number = 0;
        std::int64_t ends_ms = 0; ///< On its clock; 0: lasts.
    };
    struct waiting_look {
        http_server::responder answer;
        std::int64_t until_ms = 0;
    };

    void handle(const http_request& request, http_server::responder answer);
    http_response start(const nlohmann::json& body);
    http_response stop(const nlohmann::json& body);
    void look(const nlohmann::json& body, http_server::responder answer);
    [[nodiscard]] http_response list() const;
    void tick();
    void end(const std::string& task, const std::string& how);
    [[nodiscard]] std::int64_t clock() const;
    [[nodiscard]] http_response refuse(const std::string& reason) const;

    std::string id_;
    std::string address_;
    std::int64_t milli_cores_;
    fleet_audit& audit_;
    std::int64_t born_;
    std::map<std::string, run> runs_;
    std::map<std::string, std::int64_t> closed_; ///< Highest ended run.
    std::vector<nlohmann::json> ended_;
    std::int64_t last_end_ = 0;
    std::int64_t fence_ = 0;
    std::int64_t until_ = 0;
    bool silent_ = false;
    std::vector<waiting_look> looks_;
    std::vector<http_server::responder> lost_;
    http_server http_;
};

} // namespace rattan::standin
