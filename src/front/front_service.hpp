/** @file The service of an entry host: clients, other hosts and ownership. */
#pragma once

#include "base/metrics_base.hpp"
#include "dispatch/refusing_queues.hpp"
#include "dispatch/route_type.hpp"
#include "dispatch/state_share.hpp"
#include "dispatch/state_waiters.hpp"
#include "dispatch/wait_codec.hpp"
#include "front/member_service.hpp"
#include "front/owner_service.hpp"
#include "front/record_writer.hpp"
#include "front/state_reader.hpp"
#include "front/topic_follower.hpp"
#include "net/caller_budget.hpp"
#include "net/http_server.hpp"
#include "net/resource_shares.hpp"
#include "net/rpc_server.hpp"
#include "net/thrift_codec.hpp"
#include "platform/platform_settings.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace rattan::front {

/** Reply with an empty JSON object; 503 and 429 get a Retry-After header. */
http_response status_reply(int status);

/** Serves clients and other entry hosts; owns the cell when elected. */
class front_service {
public:
    front_service(event_loop& loop,
                  const platform::platform_settings& settings);

    void start();
    /**
     * Releases ownership, closes client connections after their replies and
     * stops the loop when no request is pending, or when the grace period is
     * almost over.
     */
    void shut_down();
    void log_state_dump() const;

private:
    /** A client's request while it is processed. */
    struct pending_request {
        http_request request;
        http_server::responder answer;
        dispatch::queue_config queue;
        dispatch::organisation_id organisation;
        job_id job;
        mono_time arrived_at{};
        std::string record_key;      ///< Key of the record to write.
        std::string record_value;    ///< Its value.
        std::size_t state_bytes = 0; ///< That the owner will keep for it.
        std::vector<std::string> tried_hosts; ///< Hosts asked to write it.
        int writes_in_flight = 0;
        bool outcome_unknown = false; ///< A failed write may take effect.
        bool answered = false;
    };

    void handle_request(const http_request& request,
                        const http_server::responder& answer);
    void submit(const std::shared_ptr<pending_request>& pending);
    // front_refusal.cpp
    /**
     * Refuses a job that would end without value. If the job may have been
     * accepted before, it is accepted.
     */
    void submit_unless_hopeless(const std::shared_ptr<pending_request>& pending,
                                const dispatch::job_record& record);
    /** Announces a job to the owner and writes its record. */
    void store_submission(const std::shared_ptr<pending_request>& pending);
    void refuse_submission(const std::shared_ptr<pending_request>& pending,
                           int retry_after_s);
    /** Calls `done`, at once unless the owner is another host. */
    void ask_never_stored(const job_id& job,
                          const std::function<void(bool never_stored)>& done);
    /** Answers an announcement, or a question whether a job may be stored. */
    void answer_submission(const job_id& job,
                           dispatch::submission_intent intent,
                           const rpc_server::responder& answer);
    /** Keeps the expected waits that the owner has sent. */
    void receive_waits(const std::string& encoded, mono_time sent_at);
    /** The newest expected waits, with their age. */
    [[nodiscard]] dispatch::aged_waits newest_waits() const;
    /** Logs which queues have stopped refusing; updates the metrics. */
    void report_waits();
    // front_admission.cpp
    /** Keeps what the owner lets this host accept. */
    void receive_grant(const std::optional<received_grant>& grant,
                       mono_time sent_at);
    /** Tells whether the owner has to hear of a job before it is stored. */
    [[nodiscard]] bool must_announce() const;
    /** Calls `done`, at once unless the owner has to be asked. */
    void admit(const std::shared_ptr<pending_request>& pending,
               dispatch::submission_intent intent,
               const std::function<void(dispatch::admission)>& done);
    /** Stores a job if its state is within the limit. */
    void admit_submission(const std::shared_ptr<pending_request>& pending);
    /** Stores a request to cancel a job if the job may exist. */
    void admit_cancel(const std::shared_ptr<pending_request>& pending);
    void reply_not_admitted(const std::shared_ptr<pending_request>& pending,
                            int status);
    /** Answers another host's question as the owner. */
    void answer_admission(const wire::job_state_request& request,
                          const rpc_server::responder& answer);
    /** Updates the metrics of the state of jobs; logs when it is full. */
    void report_job_state();
    // front_state.cpp
    /** Replies with a job's state, from the owner if it can be asked. */
    void reply_current_state(const std::shared_ptr<pending_request>& pending);
    /**
     * Asks a host that reads job states from the store; replies 503 if none
     * knows the job. @param attempt Number of hosts asked so far.
     */
    void ask_state_reader(const std::shared_ptr<pending_request>& pending,
                          std::size_t attempt);
    void reply_state(const std::shared_ptr<pending_request>& pending,
                     dispatch::job_state state);
    /**
     * Time for which a caller's question may wait for an end to be stored,
     * from now on; none if the caller did not say how long it waits.
     */
    [[nodiscard]] static millis
    remaining_state_wait(const pending_request& pending);
    /** Replies with the state that this host knows, once its end is stored. */
    void reply_own_state(const std::shared_ptr<pending_request>& pending);
    /**
     * As the owner, calls `done` once the job has ended with its last runs, but
     * soon in any case.
     * @return False, and `done` is not called, if there is nothing to wait for.
     */
    bool wait_for_last_runs(const job_id& job, millis wait,
                            std::function<void()> done);
    /**
     * As the owner, calls `done` once the end of a job is stored, but no later
     * than after `wait`.
     * @return False, and `done` is not called, if there is nothing to wait for.
     */
    bool wait_for_stored_end(const job_id& job, millis wait,
                             std::function<void()> done);
    /**
     * Asks the owner, which has answered that the end of the job is not stored,
     * to answer once it is.
     */
    void ask_for_stored_end(const std::shared_ptr<pending_request>& pending,
                            const std::string& owner_address);
    /**
     * Replies to a question that has waited for an end to be stored.
     * @param state Nothing if this host does not know the state any more.
     */
    void reply_waited_state(const std::shared_ptr<pending_request>& pending,
                            std::optional<dispatch::job_state> state);
    /** Answers `JOB_STATE` as the owner. */
    void answer_job_state(const std::string& body,
                          const rpc_server::responder& answer);
    /** Answers `READ_STATE`, from the stored states or through the owner. */
    void answer_read_state(const std::string& body,
                           const rpc_server::responder& answer);
    /**
     * State of a job as far as this host knows it: as the owner, or from the
     * store. A job that is missing in a copy that may lag is not known.
     */
    [[nodiscard]] std::optional<dispatch::job_state>
    known_state(const job_id& job,
                const dispatch::organisation_id& organisation) const;
    /** Tells whether the owner, another host, does not answer at all. */
    [[nodiscard]] bool owner_silent() const;

    void reply_waiting_count(const std::shared_ptr<pending_request>& pending);
    /** Writes a client's record directly or, if needed, through a peer. */
    void write(const std::shared_ptr<pending_request>& pending,
               const std::string& key, const std::string& value);
    /** Sends the write to the next usable host. @return False if none left. */
    bool write_via_peer(const std::shared_ptr<pending_request>& pending);
    /** Sends the write to other hosts too if it has no result in time. */
    void schedule_hedge(const std::shared_ptr<pending_request>& pending);
    /** Sends a stored record to the owner, which otherwise reads it later. */
    void notify_owner(const pending_request& pending);
    void handle_write_result(const std::shared_ptr<pending_request>& pending,
                             write_result result);
    void reply_write_result(const std::shared_ptr<pending_request>& pending,
                            write_result result);
    /** Closes idle client connections while this host can store nothing. */
    void shed_idle_connections();
    /**
     * Sheds idle connections. Starts reading job states from the store when the
     * owner does not answer, and stops when it answers again.
     */
    void run_periodic_checks();

    void handle_operator_record(const platform::keyed_record& record);
    /** Drops evacuations whose records are not in the loaded snapshot. */
    void handle_operator_records_loaded(const std::set<std::string>& keys);
    /** Limits of a server for clients, health checks or metrics. */
    [[nodiscard]] http_limits server_limits(std::size_t connections);
    /** Limits of RPC connections to and from other hosts. */
    [[nodiscard]] rpc_limits peer_limits();
    /** Registers the methods that other entry hosts call. */
    void serve_rpc();
    /** Result of the load balancer's readiness check. */
    [[nodiscard]] bool ready() const;
    /** Tells whether a record can be stored, directly or through a peer. */
    [[nodiscard]] bool can_store() const;

    event_loop& loop_;
    platform::platform_settings settings_;
    std::int64_t incarnation_;
    metrics_registry metrics_;
    resource_shares shares_;
    caller_budget body_budget_;   ///< Of clients' requests.
    caller_budget answer_budget_; ///< Of answers to calls of this process.
    caller_budget peer_budget_;   ///< Of frames from and to other hosts.
    http_client http_;            ///< For targets and the advice service.
    http_client store_http_;      ///< For the store, with many long polls.
    platform::store_client store_;
    std::string rpc_address_;
    member_service members_;
    delegate_service delegates_;
    restart_guard restarts_;
    topic_follower operator_follower_;
    writer_group job_writer_;
    dispatch::cell_config config_;
    std::set<data_centre_id> evacuated_;
    std::unique_ptr<owner_service> owner_;
    dispatch::state_waiters state_waiters_;
    dispatch::expected_waits received_waits_;
    mono_time received_waits_at_{}; ///< When the owner estimated them.
    dispatch::refusing_queues refusing_queues_;
    dispatch::state_share state_share_; ///< While another host is the owner.
    bool announce_jobs_ = false;        ///< As the owner asked.
    mono_time granted_at_{};            ///< When the owner last replied.
    bool job_state_full_ = false;       ///< As logged last.
    std::unique_ptr<state_reader> state_reader_; ///< While no owner answers.
    std::unique_ptr<rpc_server> rpc_server_;
    std::unique_ptr<http_server> client_server_;
    std::unique_ptr<http_server> readiness_server_;
    std::unique_ptr<http_server> metrics_server_;
    mono_time could_store_at_{}; ///< When `can_store` last held.
    /** When the next periodic checks are due, on the clock of the loop. */
    std::int64_t checks_due_us_ = 0;
    bool shutting_down_ = false;
};

} // namespace rattan::front
