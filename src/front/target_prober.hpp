/** @file Sends probes on a thread of its own. */
#pragma once

#include "dispatch/probe_pacer.hpp"
#include "dispatch/probe_rotation.hpp"
#include "dispatch/probe_series.hpp"
#include "net/event_loop.hpp"
#include "net/probe_connection.hpp"
#include "net/wake_pipe.hpp"

#include <ace/Event_Handler.h>
#include <poll.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace rattan::front {

/** A target whose process has answered a probe. */
struct reached_target {
    std::string target;
    bool missed = false; ///< An earlier probe had no answer.
    dispatch::probe_series probes;
    /** From the probe to its answer. */
    std::int64_t answered_after_us = 0;
};

/**
 * Repeats a request to each of some targets until it is answered. The event
 * loop, whose other work would delay the probes, only adds targets and learns
 * of answers. Limits: see `probe_pacer` and `probe_rotation`.
 */
class target_prober : public ACE_Event_Handler {
public:
    /**
     * @param reached Called in the event loop.
     * @param slot_seed See `probe_pacer`.
     */
    target_prober(event_loop& loop, std::int64_t milli_cores,
                  std::function<void(const reached_target&)> reached,
                  std::uint64_t slot_seed = 0);
    ~target_prober() override;
    target_prober(const target_prober&) = delete;
    target_prober& operator=(const target_prober&) = delete;

    /**
     * Probes a target until it answers this request, at most until `until_us`.
     * The request takes the place of an earlier one, also where that is
     * answered.
     */
    void probe(const std::string& target, probe_request request,
               std::int64_t until_us);

    /** Place of this host among the hosts, which take turns to probe. */
    void set_rank(std::size_t rank) { rank_ = rank; }

    /** @name Numbers of probes so far. */
    ///@{
    [[nodiscard]] std::uint64_t sent() const { return sent_; }
    [[nodiscard]] std::uint64_t answered() const { return answered_; }
    ///@}

    ACE_HANDLE get_handle() const override { return results_pipe_.handle(); }
    int handle_input(ACE_HANDLE) override;

private:
    struct probed_target {
        std::shared_ptr<const probe_request> request;
        std::int64_t until_us = 0;
        bool missed = false;
        dispatch::probe_series probes;
        /** Of the timed probes. */
        std::optional<std::int64_t> shortest_us;
    };
    struct command {
        std::string target;
        std::shared_ptr<const probe_request> request;
        std::int64_t until_us = 0;
    };
    struct pending_probe {
        std::string target;
        std::shared_ptr<const probe_request> request;
        std::int64_t sent_us = 0;
        /** Its end is noticed at once; that of others with the next probe. */
        bool timed = false;
        probe_connection connection;
    };

    void start_thread();
    /** @name Run on the thread. */
    ///@{
    void run();
    /** @return False if the thread has to end. */
    bool take_commands();
    void advance_pending();
    void handle_end(const pending_probe& probe, std::int64_t now_us);
    void send_due();
    void measure(std::int64_t now_us);
    void wait();
    ///@}

    event_loop& loop_;
    std::function<void(const reached_target&)> reached_;
    wake_pipe results_pipe_;  ///< Wakes the event loop.
    wake_pipe commands_pipe_; ///< Wakes the thread.

    std::mutex mutex_; ///< Of the next three.
    std::vector<command> commands_;
    std::vector<reached_target> results_;
    bool stopping_ = false;

    std::atomic<std::size_t> rank_{0};
    std::atomic<std::uint64_t> sent_{0};
    std::atomic<std::uint64_t> answered_{0};

    /** @name Used by the thread alone once it runs. */
    ///@{
    dispatch::probe_pacer pacer_;
    dispatch::probe_rotation rotation_;
    std::map<std::string, probed_target> targets_;
    std::vector<pending_probe> pending_;
    std::vector<pollfd> handles_; ///< Waited for.
    std::int64_t expired_us_ = 0;
    ///@}

    std::thread thread_;
};

} // namespace rattan::front
