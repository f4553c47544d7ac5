/** @file Runs the owner's decisions against the store and the targets. */
#pragma once

#include "base/metrics_base.hpp"
#include "dispatch/owner_base.hpp"
#include "front/delegate_service.hpp"
#include "front/member_service.hpp"
#include "front/progress_writer.hpp"
#include "front/topic_follower.hpp"
#include "platform/target_client.hpp"

#include <memory>
#include <set>
#include <string>

namespace rattan::front {

/** Topic of jobs as accepted. */
inline const std::string JOBS_TOPIC = "keyed.jobs";
/** Each host begins with partitions of its own; a slow one delays few. */
constexpr int MOST_JOB_PARTS = 8;
/** Progress goes to the second one while the first does not answer. */
constexpr int MOST_PROGRESS_PARTS = 2;

/** What the owner needs of its process. */
struct owner_context {
    event_loop& loop;
    http_client& http;
    platform::store_client& store;
    const platform::platform_settings& settings;
    member_service& members;
    metrics_registry& metrics;
    delegate_service& delegates;
};

/** One ownership: loads what was before, then decides until it is lost. */
class owner_service : public dispatch::owner_output {
public:
    owner_service(const owner_context& context, std::int64_t epoch);
    ~owner_service() override;

    /** Takes the configuration in force. */
    void set_config(const dispatch::cell_config& config);
    void set_evacuated(const std::set<data_centre_id>& centres);
    void set_hosts();
    void confirmed(mono_time at);
    /** Takes a caller's record that is in the store. @pre `serving`. */
    void take_stored(const platform::keyed_record& record);

    /** Everything is loaded: questions can be answered. */
    [[nodiscard]] bool serving() const { return serving_; }
    [[nodiscard]] const dispatch::owner& decisions() const { return owner_; }

    /** Asks the advice service from this host. */
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
              std::int64_t fence) override;
    void throttle(const dispatch::target_address& target,
                  const dispatch::task_id& task, std::int32_t run, int percent,
                  std::int64_t fence) override;
    void poll(const dispatch::target_address& target,
              const dispatch::poll_order& order) override;
    void ask_advice(const host_id& host, const dispatch::step_ref& step,
                    const std::vector<std::string>& targets,
                    millis timeout) override;
    void store(const std::vector<dispatch::store_record>& records) override;
    void remove_jobs(const std::vector<job_id>& jobs) override;
    void log(std::string_view event, const job_id& job,
             const std::string& detail) override;

private:
    /** Progress as loaded, the newest of all partitions. */
    struct loaded_progress {
        progress_stamp stamp;
        std::string value;
    };

    void follow_jobs();
    void fenced();
    void load_progress(int part, const std::string& after);
    void take_progress(const platform::keyed_record& record);
    void load_done();
    void restore_job(const job_id& id, const std::string& record,
                     const dispatch::owner_clock& at);
    void take_job_record(const platform::keyed_record& record);
    /** The log shows a record: it should have been told already. */
    void take_followed_record(std::size_t part,
                              const platform::keyed_record& record);
    void take_target_record(const platform::keyed_record& record);
    /** Drops job records of a partition, until it is done. */
    void append_drops(int part,
                      const std::vector<platform::keyed_record>& records,
                      std::function<void()> done);
    [[nodiscard]] dispatch::owner_clock clock();
    /** Does what an event made due, once a round of the loop. */
    void wake();
    void tick();
    void arm();
    template <typename Call>
    auto guarded(Call call);

    owner_context context_;
    platform::target_client targets_;
    dispatch::owner owner_;
    std::int64_t epoch_;
    progress_writer progress_;
    std::vector<std::unique_ptr<topic_follower>> jobs_; ///< By partition.
    std::vector<mono_time> eager_until_;                ///< The same.
    std::unique_ptr<topic_follower> listed_;
    std::map<job_id, std::string> loaded_jobs_; ///< Records as stored.
    std::set<job_id> loaded_cancels_;
    std::map<job_id, loaded_progress> loaded_progress_;
    std::set<std::string> target_keys_;
    int progress_to_load_ = 0; ///< Partitions.
    dispatch::adaptive_timeout start_pace_;
    bool serving_ = false;
    bool tick_scheduled_ = false;
    long timer_ = 0;
    mono_time timer_due_{};
    millis suspended_before_{0};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace rattan::front
