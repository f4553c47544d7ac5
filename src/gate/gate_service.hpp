/** @file The gate's process: callers' HTTP, checks to runners, jobs to the
 * log. */
#pragma once

#include "adapter/http_runner_client.hpp"
#include "net/http_client.hpp"
#include "net/problem_func.hpp"
#include "net/program_runtime.hpp"
#include "net/rpc_server.hpp"
#include "net/stream_feed.hpp"
#include "quota/quota_holder.hpp"
#include "route/admission_func.hpp"
#include "route/check_queue.hpp"
#include "route/request_deduplicator.hpp"
#include "route/retry_budget.hpp"
#include "route/runner_pool.hpp"

#include <list>
#include <map>
#include <memory>
#include <string>

namespace rattan {

/** Settings of a gate. */
struct gate_settings {
    process_settings process;
    std::map<std::string, std::string> gates; ///< Host: address for calls.
    http_limits callers;
    millis default_deadline{1'000}; ///< Of a check that names none.
    millis longest_deadline{5'000}; ///< That a check may name.
    /** How long a leaving gate still takes what the balancer sends. */
    millis leave_grace{5'000};
    /** Clocks of callers and entry hosts are apart by this at most. */
    millis clock_skew{2'000};
    std::string choice = "least_wait";
};

/** Everything that a gate process does. */
class gate_service {
public:
    gate_service(event_loop& loop, gate_settings settings);

    /** Begins to follow the log and to answer. */
    void start();

    /** Turns not ready, serves what still comes, then ends the loop. */
    void shut_down();

    /** Writes everything known into the log. */
    void log_dump() const;

private:
    using http_answer_fn = http_server::responder;
    using result_fn = std::function<void(const check_result&)>;

    /** A check as it came in. */
    struct check_call {
        caller who;
        request_id request;
        bool idempotent = false;
        millis deadline{0}; ///< From its arrival.
        std::string input;
    };

    /** A check that waits for a slot or runs. */
    struct active_check {
        check_call call;
        mono_time deadline{};
        std::int64_t began_micros = 0;
        int attempts = 0;
        result_fn done;
    };

    /** A submitted or cancelled job that waits for the log. */
    struct waiting_job {
        bool cancel = false;
        request_id request;
        http_answer_fn answer;
        mono_time until{};
        bool maybe_appended = false;
        bool first_attempt = false;
    };

    // gate_service.cpp: frame, keys and the way of a request.
    void on_http(const http_request& request, const http_answer_fn& answer);
    void route(const http_request& request, const http_answer_fn& answer);
    bool refuse_unready(const http_request& request,
                        const http_answer_fn& answer);
    void refuse(const http_request& request, const http_answer_fn& answer,
                const refused& why) const;
    [[nodiscard]] run_state state_of_refused(const http_request& request,
                                             refusal which) const;
    bool may_serve(const caller& who) const;
    void begin_spending();
    void tick();
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] nlohmann::json state_json() const;
    [[nodiscard]] nlohmann::json dump() const;

    // gate_check_service.cpp: quick checks.
    void on_check(const http_request& request, const http_answer_fn& answer);
    void answer_check(const http_request& request, const http_answer_fn& answer,
                      const check_result& result) const;
    void run_at_home(const check_call& call, const result_fn& done);
    void run_here(const check_call& call, const result_fn& done);
    void take_remembered(const check_call& call, const result_fn& done);
    void place_check(const check_call& call, const result_fn& done);
    void pump_checks();
    void ask_for_quota();
    void dispatch(std::int64_t id, runner_view& runner);
    void on_run_answer(std::int64_t id, const runner_id& runner,
                       std::int64_t sent_micros, const run_answer& answer);
    void finish_check(std::int64_t id, const check_result& result);
    void on_check_call(const wire::check_request& request,
                       const rpc_server::responder& answer);
    void send_check(const host_id& host, const check_call& call,
                    bool place_only, const result_fn& done);
    void expire_checks();
    void update_runners();
    [[nodiscard]] std::optional<host_id> gate_in_service();

    // gate_job_service.cpp: batch plans and watches.
    void on_submit(const http_request& request, const http_answer_fn& answer);
    void on_list(const http_request& request, const http_answer_fn& answer);
    void on_job(const http_request& request, const http_answer_fn& answer);
    void on_cancel(const http_request& request, const job_id& job,
                   const caller& who, const http_answer_fn& answer);
    void on_entry(const log_entry& entry, fold_verdict verdict);
    void answer_submitted(const job_id& job, int status,
                          const http_answer_fn& answer) const;
    void append_for(const job_id& job, const log_entry& entry,
                    waiting_job waiting);
    void expire_jobs();
    [[nodiscard]] nlohmann::json job_json(const job_id& job) const;
    [[nodiscard]] bool owns_job(const job_id& job,
                                const organisation_name& organisation) const;

    event_loop& loop_;
    gate_settings settings_;
    metrics_registry metrics_;
    http_client client_;
    http_runner_client runner_client_;
    rpc_server rpc_;
    http_server http_;
    stream_feed feed_;
    quota_holder quota_;
    runner_pool runners_;
    check_queue queue_;
    request_deduplicator deduplicator_;
    retry_budget retries_;
    std::map<std::string, std::unique_ptr<rpc_client>> gates_;
    std::map<std::string, std::unique_ptr<rpc_client>> placers_;
    std::map<std::int64_t, active_check> checks_;
    std::int64_t next_check_ = 1;
    std::multimap<job_id, waiting_job> waiting_jobs_;
    mono_time started_{};
    bool settled_ = false; ///< No append of an earlier process is open.
    bool primed_ = false;  ///< Has had its idle slices granted.
    bool leaving_ = false;
    mono_time next_quota_look_{};
    mono_time last_request_{};
    size_t next_gate_ = 0;
};

} // namespace rattan
