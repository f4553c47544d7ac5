/** @file A model of a worker for tests, and the auditor of all workers. */
#pragma once

#include "rattan/order_type.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace rattan::standin {

/**
 * Counts what actually runs on all workers. It is independent of the epochs,
 * leases and limits of the system under test.
 */
class auditor {
public:
    void started(const task_ref& task, const organisation_name& organisation,
                 const resources& shape);
    void ended(const task_ref& task, const organisation_name& organisation,
               const resources& shape, bool done);
    /** Counts an overcommitment when a worker holds more than it owns. */
    void check_capacity(const resources& held, const resources& owned);

    std::map<task_ref, int> running; ///< Current places of each task.
    std::map<task_ref, int> starts;
    std::map<task_ref, int> completions;
    std::map<organisation_name, resources> in_use;
    /** Peak of each component by itself. */
    std::map<organisation_name, resources> peak_in_use;
    std::uint64_t two_places = 0;
    std::uint64_t overcommitted = 0;
};

/** Size, faults and clock of a worker. */
struct worker_options {
    resources owned;
    std::int64_t instance = 1;
    bool fail_all_tasks = false;
    double clock_rate = 1.0; ///< Of its clock against true time.
};

/** Carries out orders under leases. Times passed in are true time in ms. */
class worker_model {
public:
    worker_model(worker_options options, auditor& audit);

    /** Handles an order that arrives at `now_ms`. */
    worker_answer handle_order(const worker_order& order, std::int64_t now_ms);

    /** Ends tasks that are complete or whose lease has expired by `now_ms`. */
    void advance_to(std::int64_t now_ms);

    /** Loses all state and gets a new instance number, as after a crash. */
    void restart(std::int64_t now_ms);

    [[nodiscard]] size_t running() const;
    worker_options options;
    std::uint64_t starts = 0; ///< Tasks started here so far.

private:
    struct held_task {
        task_order order;
        worker_task_state state = worker_task_state::prepared;
        std::int64_t end_ms = 0; ///< True time; 0: no end.
        bool will_fail = false;
    };

    void apply_order(const worker_order& order, std::int64_t now_ms);
    void accept_task(const task_order& order, bool start, std::int64_t now_ms);
    void end_task(const task_ref& task, task_outcome outcome);
    [[nodiscard]] std::int64_t clock_ms(std::int64_t now_ms) const;
    [[nodiscard]] resources held() const;
    [[nodiscard]] std::vector<listed_task> listing() const;

    auditor& audit_;
    epoch highest_epoch_;
    std::int64_t sequence_ = 0;
    std::int64_t lease_end_ms_ = 0; ///< On the local clock.
    std::map<task_ref, held_task> tasks_;
    std::vector<task_event> events_;
    std::int64_t next_event_ = 1;
};

} // namespace rattan::standin
