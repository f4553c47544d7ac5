/** @file A runner as the users' PROTOCOL page describes it. */
#pragma once

#include "recorder.hpp"

#include "net/event_loop.hpp"
#include "net/http_server.hpp"

#include <nlohmann/json.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace review {

using rattan::event_loop;
using rattan::http_request;
using rattan::http_response;
using rattan::http_server;
using rattan::millis;

/** Limits of the deployment, as in the settings of the hosts. */
struct target_limits {
    std::int64_t max_hold_ms = 6000;
    std::int64_t stop_ms = 200;
    std::size_t listed_ends = 500;
};

/** How long a task works; its demand. Looked up by the task's name. */
struct task_plan {
    std::int64_t ends_at_ms = 0; ///< Unix time; 0: it lasts.
    std::int64_t works_ms = 0;   ///< From its start, if `ends_at_ms` is 0.
    std::int64_t milli_cores = 0;
};

using plan_lookup = std::function<task_plan(const std::string& task,
                                            const std::string& payload)>;

class model_target {
public:
    model_target(event_loop& loop, recorder& record, std::string id,
                 std::string address, std::string zone,
                 std::int64_t milli_cores, std::int64_t memory_mib,
                 plan_lookup plan);

    /** Its entry in `keyed.servers`. */
    [[nodiscard]] std::string entry() const;
    [[nodiscard]] const std::string& id() const { return id_; }
    [[nodiscard]] bool up() const { return server_ != nullptr; }
    [[nodiscard]] bool cut() const { return cut_; }
    /** Unix millisecond of the start of its process. */
    [[nodiscard]] std::int64_t born() const { return born_; }
    /** Runs that are present. */
    [[nodiscard]] std::size_t runs() const { return runs_.size(); }

    /** The process dies: it runs nothing and refuses connections. */
    void crash();
    /** A new process under the same id, which knows nothing of before. */
    void start_again();
    /** While cut off, no request arrives and no answer leaves; it works on. */
    void set_cut(bool cut);
    /**
     * The next start gets no answer and is carried out this much later, by
     * whichever process is there then.
     */
    void delay_next_start(millis delay) { delay_next_start_ = delay; }
    /** Tells whether a start is still to be delayed. */
    [[nodiscard]] bool start_delayed() const {
        return delay_next_start_.count() > 0;
    }

private:
    struct run_state {
        std::int64_t run = 0;
        std::int64_t started_ms = 0; ///< On its clock.
        std::int64_t ends_at_ms = 0; ///< On its clock; 0: it lasts.
        std::int64_t stops_at_ms = 0;
        std::int64_t milli_cores = 0;
    };
    struct waiting_hold {
        http_server::responder answer;
        std::int64_t until_ms = 0;
    };

    [[nodiscard]] std::int64_t clock_ms() const;
    void serve();
    void handle(const http_request& request,
                const http_server::responder& answer);
    http_response handle_start(const nlohmann::json& body);
    http_response handle_stop(const nlohmann::json& body);
    void handle_hold(const nlohmann::json& body,
                     const http_server::responder& answer);
    [[nodiscard]] http_response refuse(const std::string& reason) const;
    [[nodiscard]] http_response clock_answer() const;
    [[nodiscard]] http_response list() const;
    /** Share of the work that is done; 100 for a task that lasts. */
    [[nodiscard]] std::int64_t percent_of(const run_state& run) const;
    void extend_lease(std::int64_t until_ms);
    void end_run(std::string task, const std::string& how);
    void tick();
    void add_event(target_event::kind what, const std::string& task = "",
                   std::int64_t run = 0, const std::string& how = "",
                   std::int64_t sequence = 0, std::int64_t milli_cores = 0);

    event_loop& loop_;
    recorder& record_;
    std::string id_;
    std::string address_;
    std::string zone_;
    std::int64_t milli_cores_;
    std::int64_t memory_mib_;
    plan_lookup plan_;
    target_limits limits_;

    std::unique_ptr<http_server> server_;
    std::int64_t born_ = 0;
    rattan::mono_time started_{};
    std::map<std::string, run_state> runs_;
    std::map<std::string, std::int64_t> highest_ended_;
    std::deque<nlohmann::json> ended_;
    std::int64_t last_end_ = 0;
    std::int64_t last_seen_ = 0;
    std::int64_t token_ = 0;
    std::int64_t lease_end_ms_ = 0;
    bool lapsed_ = true; ///< The lease is over; runs have been killed.
    std::int64_t held_at_ms_ = 0;
    std::vector<waiting_hold> waiting_;
    bool cut_ = false;
    std::vector<http_server::responder> unanswered_;
    millis delay_next_start_{0};
};

} // namespace review
