/** @file Simulation of placers, workers and a log in virtual time. */
#pragma once

#include "fold/fold_base.hpp"
#include "fold/record_codec.hpp"
#include "fold/request_func.hpp"
#include "placer/placer_base.hpp"
#include "worker_model.hpp"

#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace rattan {

/** Actions and faults of a history. `selector` picks what they hit. */
enum class event_kind {
    pass_time,             ///< `amount` steps of 50 ms.
    submit,                ///< Submits a job; `selector` sets its kind.
    cancel,                ///< Cancels a job.
    kill_placer,           ///< Replaces a placer by a new process at once.
    pause_placer,          ///< A placer's process stops.
    resume_placer,         ///< A paused placer continues.
    toggle_log_access,     ///< A placer loses or regains the log.
    toggle_worker_link,    ///< A placer and a worker lose or regain contact.
    toggle_peer_link,      ///< The placers of a data centre lose contact.
    toggle_log_outage,     ///< The log becomes unreachable for all, or back.
    duplicate_group,       ///< An earlier group is appended once more.
    late_group,            ///< A group whose append failed arrives late.
    restart_worker,        ///< A worker restarts without its tasks.
    toggle_worker_leaving, ///< The list marks a worker as leaving, or live.
    lose_answers,          ///< The next orders take effect without an answer.
    delay_orders,          ///< The next orders arrive late and reordered.
    change_limit,          ///< Sets the organisation's limit of cores.
    toggle_data_centre,    ///< A data centre goes out of service, or back.
    race_config_changes,   ///< Two changes are published on the same base.
    resubmit_job           ///< A caller sends a job's request again.
};

/** One step of a history. */
struct event {
    event_kind kind = event_kind::pass_time;
    int selector = 0;
    int amount = 1;
};

/** How often each fault has taken effect. */
struct fault_counts {
    std::uint64_t fenced = 0;
    std::uint64_t answers_lost = 0;
    std::uint64_t orders_late = 0;
    std::uint64_t groups_repeated = 0;
    std::uint64_t takeovers = 0;
    std::uint64_t races_lost = 0;
    std::uint64_t adopted = 0;
    std::uint64_t shed = 0;
    std::uint64_t moved = 0;

    fault_counts& operator+=(const fault_counts& other);
};

/**
 * Two data centres with two placers and three workers each, one organisation
 * and one log. What the workers ran, by their own count, is the reference that
 * the placers' decisions are checked against.
 */
class cell_world {
public:
    explicit cell_world(std::uint64_t seed);

    /** Executes one step of a history. */
    void apply(const event& next);

    /** The first invariant that was violated, or an empty text. */
    [[nodiscard]] std::string violation() const;

    /** Ends all faults and runs until no job is live, or a bound is reached. */
    bool completes_all_jobs();

    /** Prints owners and running tasks, to examine a counterexample. */
    void print_state() const;

    [[nodiscard]] fault_counts faults() const;
    [[nodiscard]] size_t jobs() const { return submitted_.size(); }
    [[nodiscard]] size_t live_jobs() const;

private:
    struct sent_order {
        outgoing_order out;
        std::int64_t arrives_ms = 0;
        size_t placer = 0;
        std::uint64_t process_id = 0;
    };
    struct placer_process {
        data_centre_id centre;
        host_id host;
        cell_fold fold;
        std::unique_ptr<placer_base> placer;
        std::int64_t incarnation = 0;
        std::int64_t sequence = 0;
        std::uint64_t process_id = 0;
        bool paused = false;
        bool log_cut = false;
        mono_time log_read_at{};
        std::deque<std::string> pings; ///< Received while it is paused, too.
    };
    struct worker_host {
        worker_info info;
        std::unique_ptr<standin::worker_model> model;
        bool leaving = false;
    };
    struct submitted_job {
        job_id id;
        job_spec spec;
        bool runs_once = false;
    };

    void step();
    void step_placer(size_t index);
    void ping(size_t index);
    void read_log(placer_process& process);
    void append(placer_process& process, const std::vector<log_entry>& records);
    void append_text(const std::string& text);
    void append_from_client(const std::vector<log_entry>& entries);
    void deliver_orders();
    void deliver(const sent_order& sent);
    void start_process(placer_process& process);
    void publish(const nlohmann::json& set);
    void submit(int selector);
    void check_limits();
    [[nodiscard]] bool is_cut(size_t placer, const worker_id& worker) const;
    [[nodiscard]] host_list hosts() const;
    [[nodiscard]] mono_time now() const;

    std::mt19937_64 random_;
    std::int64_t time_ms_ = 1'000'000;
    std::vector<std::string> log_;
    std::vector<std::int64_t> log_times_;
    std::vector<std::string> undelivered_groups_;
    cell_fold reference_fold_; ///< Applies each group when it is appended.
    std::vector<placer_process> placers_;
    std::vector<worker_host> workers_;
    standin::auditor audit_;
    std::vector<sent_order> orders_;
    std::set<std::pair<size_t, worker_id>> cuts_;
    std::set<data_centre_id> peer_cuts_;
    std::vector<submitted_job> submitted_;
    std::int64_t client_sequence_ = 0;
    bool outage_ = false;
    int lose_answers_ = 0;
    int delay_orders_ = 0;
    std::uint64_t next_process_id_ = 1;
    std::int64_t limit_cores_ = 12;
    bool limit_pending_ = false; ///< Not read by all placers yet.
    /** Running work above a lowered limit may only fall. */
    std::int64_t allowed_cores_ = 12;
    std::set<data_centre_id> drain_pending_; ///< Not read by its placers yet.
    std::map<data_centre_id, std::int64_t> drained_since_ms_;
    std::map<data_centre_id, std::uint64_t> starts_when_drained_;
    std::string violation_;
    fault_counts faults_;
};

} // namespace rattan
