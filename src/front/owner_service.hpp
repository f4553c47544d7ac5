/** @file Connects the owner's decisions to the store and the targets. */
#pragma once

#include "base/metrics_base.hpp"
#include "dispatch/owner_base.hpp"
#include "dispatch/submission_table.hpp"
#include "dispatch/tick_pacer.hpp"
#include "front/delegate_service.hpp"
#include "front/member_service.hpp"
#include "front/progress_writer.hpp"
#include "front/restart_guard.hpp"
#include "front/topic_follower.hpp"
#include "platform/target_client.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace rattan::front {

/** Topic of accepted jobs and cancellations. */
inline const std::string JOBS_TOPIC = "keyed.jobs";
/** Partitions used of the progress topic; if one fails, the other is used. */
constexpr int MAX_PROGRESS_PARTITIONS = 2;

/** Services of the process that the owner uses. */
struct owner_context {
    event_loop& loop;
    http_client& http;
    platform::store_client& store;
    const platform::platform_settings& settings;
    member_service& members;
    metrics_registry& metrics;
    delegate_service& delegates;
    restart_guard& restarts;
    /** Called when the end of a job is stored and may be shown. */
    std::function<void(const job_id&)> end_stored;
};

/**
 * Runs the owner of the cell for one epoch: fences earlier owners, loads the
 * stored state, then decides until ownership is lost.
 */
class owner_service : public dispatch::owner_output {
public:
    owner_service(const owner_context& context, std::int64_t epoch);
    ~owner_service() override;

    void set_config(const dispatch::cell_config& config);
    void set_evacuated(const std::set<data_centre_id>& centres);
    /** Ends the ownership; no order is sent from now on. */
    std::optional<dispatch::lease_handover> resign() {
        return owner_.resign(clock());
    }
    /** Passes the entry hosts that are in touch to the owner. */
    void update_hosts();
    /** The store has shown that no other host had claimed by `at`. */
    void ownership_confirmed(mono_time at);
    /** Handles a client's record that has just been stored. @pre `serving`. */
    void handle_stored_record(const platform::keyed_record& record);

    /** Tells whether the stored state is loaded and requests are answered. */
    [[nodiscard]] bool serving() const { return serving_; }
    /** Tells whether a job that is not known here does not exist. */
    [[nodiscard]] bool knows_all_jobs() const;
    /** A host is about to store a job. */
    void submission_announced(const job_id& job);
    /**
     * Tells whether no submission of a job has been stored or may be stored
     * without this owner's knowledge.
     */
    [[nodiscard]] bool never_stored(const job_id& job);
    /**
     * Decides whether a host may store a job or, if the job is known, a
     * request to cancel it.
     */
    [[nodiscard]] dispatch::admission
    admit(const job_id& job, const dispatch::organisation_id& organisation,
          std::size_t state_bytes);
    /** The same for a request to cancel a job, known or not. */
    [[nodiscard]] dispatch::admission
    admit_cancel(const job_id& job,
                 const dispatch::organisation_id& organisation);
    /** What each host may accept without asking. */
    [[nodiscard]] received_grant grant();
    /** Expected waits for other hosts; empty if there are no recent ones. */
    [[nodiscard]] const std::string& encoded_waits();
    /** State of the cell's jobs and targets, and the decisions on them. */
    [[nodiscard]] const dispatch::owner& decisions() const { return owner_; }

    /** Calls the advice service from this host. */
    static void
    advise(http_client& http, const std::string& address,
           const std::string& step, const std::vector<std::string>& targets,
           millis timeout,
           std::function<void(const dispatch::advice_answer&)> done);

    // dispatch::owner_output
    void start(const dispatch::target_address& target,
               const dispatch::start_order& order) override;
    void stop(const dispatch::target_address& target,
              const dispatch::task_id& task, std::int32_t run,
              std::int64_t fencing_token) override;
    void throttle(const dispatch::target_address& target,
                  const dispatch::task_id& task, std::int32_t run, int percent,
                  std::int64_t fencing_token) override;
    void poll(const dispatch::target_address& target,
              const dispatch::poll_order& order) override;
    void guard_restart(const dispatch::target_address& target,
                       std::int64_t fencing_token, millis duration) override;
    void ask_advice(const host_id& host, const dispatch::step_ref& step,
                    const std::vector<std::string>& targets,
                    millis timeout) override;
    void store(const std::vector<dispatch::store_record>& records) override;
    void remove_jobs(const std::vector<job_id>& jobs) override;
    void end_stored(const job_id& job) override { context_.end_stored(job); }
    void start_wait_ended(millis waited) override;
    void log(std::string_view event, const job_id& job,
             const std::string& detail) override;

private:
    /** Newest progress record of a job over all partitions. */
    struct loaded_progress {
        progress_stamp stamp;
        std::string value;
    };

    /** Sets the limit on the state of jobs that the smallest host can bear. */
    void update_state_limit();
    /**
     * Lets all hosts announce what they store while much of the limit is used,
     * since only then refusals have to be told from lost answers.
     */
    void update_announcing();
    void follow_jobs();
    /** Loads the stored state once earlier owners are fenced. */
    void start_loading();
    /** Loads the jobs once the progress of all of them is known. */
    void load_jobs();
    /** Loads a page of progress. @param after Last key loaded so far. */
    void load_progress(int partition, const std::string& after);
    void handle_progress_record(const platform::keyed_record& record);
    /** Takes the cell over once everything is loaded. */
    void start_serving_if_loaded();
    void restore_job(const job_id& id, const std::string& record,
                     const dispatch::owner_clock& at);
    void handle_job_record(const platform::keyed_record& record);
    /** Handles a job record that was read from the store. */
    void handle_followed_job_record(std::size_t partition,
                                    const platform::keyed_record& record);
    void handle_target_record(const platform::keyed_record& record);
    /** Deletes job records of a partition, with retries until it succeeds. */
    void append_tombstones(int partition,
                           const std::vector<platform::keyed_record>& records,
                           std::function<void()> done);
    /** Current time; reports a suspension of this host to the owner. */
    [[nodiscard]] dispatch::owner_clock clock();
    /**
     * Schedules one tick for all events until then, in this round of the event
     * loop unless the last tick took long.
     */
    void schedule_tick();
    void tick();
    /** Sets the timer for the next tick without an event. */
    void arm_timer();
    /** Wraps a callback so that it does nothing once this is destroyed. */
    template <typename Call>
    auto guarded(Call call);

    owner_context context_;
    platform::target_client target_client_;
    dispatch::owner owner_;
    std::int64_t epoch_;
    progress_writer progress_writer_;
    /** Followers of the jobs topic, by partition. */
    std::vector<std::unique_ptr<topic_follower>> job_followers_;
    std::vector<mono_time> fast_read_until_; ///< By partition.
    std::unique_ptr<topic_follower> target_follower_;
    std::map<job_id, std::string> loaded_jobs_; ///< Encoded records.
    std::set<std::pair<job_id, dispatch::organisation_id>> loaded_cancels_;
    std::map<job_id, loaded_progress> loaded_progress_;
    std::set<std::string> target_keys_;
    dispatch::submission_table submissions_;
    bool announcing_ = false;          ///< All hosts announce what they store.
    std::set<host_id> hosts_in_touch_; ///< As of the last `update_hosts`.
    std::string encoded_waits_;
    mono_time encoded_waits_at_{}; ///< When those were estimated.
    int progress_partitions_to_load_ = 0;
    dispatch::adaptive_timeout start_timeout_;
    bool serving_ = false;
    bool tick_scheduled_ = false;
    dispatch::tick_pacer tick_pacer_;
    long timer_ = 0;
    mono_time timer_due_{};
    millis last_total_suspended_{0};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace rattan::front
