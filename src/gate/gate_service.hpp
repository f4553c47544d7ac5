/**
 * @file The gate service: answers callers over HTTP, sends checks to runners
 * and appends jobs to the log.
 */
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
    std::map<std::string, std::string> gates; ///< RPC addresses, by host.
    http_limits caller_limits;
    millis default_deadline{1'000}; ///< For checks without a deadline.
    millis max_deadline{5'000};     ///< Longer deadlines are shortened to this.
    /** During shutdown, serves requests for at least this long. */
    millis shutdown_grace{5'000};
    /** Largest difference between the clocks of callers and entry hosts. */
    millis clock_skew{2'000};
    std::string runner_choice = "least_wait"; ///< Name of a `choice_policy`.
};

/** The service of a gate process. */
class gate_service {
public:
    gate_service(event_loop& loop, gate_settings settings);

    /** Starts to read the log and to answer requests. */
    void start();

    /**
     * Becomes not ready, serves requests until the load balancer sends no
     * more, then stops the loop.
     */
    void shut_down();

    /** Writes a state dump to the log output of the process. */
    void log_dump() const;

private:
    using http_responder = http_server::responder;
    using check_callback = std::function<void(const check_result&)>;

    /** A check from a caller or from another gate. */
    struct check_call {
        caller who;
        request_id request;
        bool idempotent = false;
        millis deadline{0}; ///< Counted from its arrival.
        std::string input;
    };

    /** A check that is queued for a runner or runs on one. */
    struct active_check {
        check_call call;
        mono_time deadline{};
        std::int64_t started_micros = 0;
        int attempts = 0;
        check_callback done;
    };

    /** A request to submit or cancel a job; its record is not yet read back. */
    struct waiting_job {
        bool cancel = false;
        request_id request;
        http_responder answer;
        mono_time deadline{};
        bool maybe_appended = false;
        bool first_attempt = false;
    };

    // gate_service.cpp: start, shutdown, routing and refusal of requests.
    void on_http(const http_request& request, const http_responder& answer);
    void route(const http_request& request, const http_responder& answer);
    /** Refuses a request while there is no state yet. @return If it did. */
    bool refuse_if_not_started(const http_request& request,
                               const http_responder& answer);
    /** Refuses a caller if the state is too old for it. @return If it did. */
    bool refuse_if_stale(const http_request& request, const caller& who,
                         const http_responder& answer);
    void refuse(const http_request& request, const http_responder& answer,
                const refused& why) const;
    [[nodiscard]] run_state run_state_after_refusal(const http_request& request,
                                                    refusal which) const;
    /** Whether the state is recent enough to serve a caller. */
    bool may_serve(const caller& who) const;
    /** Polls until the appends of the previous process are resolved. */
    void wait_for_earlier_appends();
    /** Handles deadlines and quota; called every `TICK_PERIOD`. */
    void tick();
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] nlohmann::json state_json() const;
    [[nodiscard]] nlohmann::json dump() const;

    // gate_check_service.cpp: quick checks.
    //
    // A check that is not idempotent runs through its home gate: the gate that
    // `home_of_request` selects by request id. That gate records the result,
    // so that a repeat of the request does not run again.
    void on_check(const http_request& request, const http_responder& answer);
    void answer_check(const http_request& request, const http_responder& answer,
                      const check_result& result) const;
    /** Runs a check here or forwards it if this is not its home gate. */
    void run_through_home(const check_call& call, const check_callback& done);
    /** Runs a check as its home gate, unless it is a repeat. */
    void run_as_home(const check_call& call, const check_callback& done);
    /** Places a check and records its result for repeats. */
    void place_and_record(const check_call& call, const check_callback& done);
    /**
     * Queues a check, or forwards it to another gate while the data centre of
     * this one is out of service.
     */
    void place_check(const check_call& call, const check_callback& done);
    /** Sends queued checks to runners as far as slots and quota allow. */
    void dispatch_queued_checks();
    void request_quota();
    void send_to_runner(std::int64_t id, runner_view& runner);
    void on_runner_answer(std::int64_t id, const runner_id& runner,
                          std::int64_t sent_micros, const run_answer& answer);
    void finish_check(std::int64_t id, const check_result& result);
    void on_forwarded_check(const wire::check_request& request,
                            const rpc_server::responder& answer);
    /** @param place_only The receiver need not be the home gate. */
    void forward_check(const host_id& host, const check_call& call,
                       bool place_only, const check_callback& done);
    /** Ends the queued checks whose deadline has passed. */
    void expire_checks();
    /** Updates the runners from the host list and the configuration. */
    void update_runners();
    /** A gate of another data centre that is in service, in rotation. */
    [[nodiscard]] std::optional<host_id> next_gate_in_service();

    // gate_job_service.cpp: jobs of batch plans and watches.
    void on_submit(const http_request& request, const http_responder& answer);
    void on_list_jobs(const http_request& request,
                      const http_responder& answer);
    void on_job(const http_request& request, const http_responder& answer);
    void on_cancel(const http_request& request, const job_id& job,
                   const caller& who, const http_responder& answer);
    void on_entry(const log_entry& entry, fold_verdict verdict);
    void answer_job(const job_id& job, int status,
                    const http_responder& answer) const;
    /** Appends a record; the request is answered when it is read back. */
    void append_and_wait(const job_id& job, const log_entry& entry,
                         waiting_job waiting);
    /** Answers waiting requests whose deadline has passed. */
    void expire_waiting_jobs();
    [[nodiscard]] nlohmann::json job_json(const job_id& job) const;
    [[nodiscard]] bool owns_job(const job_id& job,
                                const organisation_name& organisation) const;

    event_loop& loop_;
    gate_settings settings_;
    metrics_registry metrics_;
    http_client client_;
    http_runner_client runner_client_;
    rpc_server rpc_;
    caller_budget body_budget_; ///< Of callers' requests.
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
    /** The appends of the previous process of this gate are resolved. */
    bool earlier_appends_resolved_ = false;
    bool idle_quota_granted_ = false;
    bool shutting_down_ = false;
    mono_time next_quota_check_{};
    mono_time last_request_at_{};
    size_t next_gate_ = 0;
};

} // namespace rattan
