/** @file A worker as the tests know it, and the auditor of all workers. */
#pragma once

#include "rattan/order_type.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace rattan::standin {

/**
 * Counts what really runs, on all workers together. It knows nothing of
 * epochs, leases or limits as the system sees them.
 */
class auditor {
public:
    void started(const task_ref& task, const organisation_name& organisation,
                 const resources& shape);
    void ended(const task_ref& task, const organisation_name& organisation,
               const resources& shape, bool done);
    /** Checks what a worker holds against what it owns. */
    void holds(const resources& held, const resources& owned);

    std::map<task_ref, int> running; ///< Places where a task runs now.
    std::map<task_ref, int> starts;
    std::map<task_ref, int> completions;
    std::map<organisation_name, resources> in_use;
    std::map<organisation_name, resources>
        most_in_use; ///< Parts by themselves.
    std::uint64_t two_places = 0;
    std::uint64_t overcommitted = 0;
};

/** Size and habits of a worker. */
struct worker_habits {
    resources owned;
    std::int64_t instance = 1;
    bool fails_everything = false;
    double clock_rate = 1.0; ///< Of its clock against true time.
};

/** Obeys orders under leases. Time is given in true milliseconds. */
class worker_model {
public:
    worker_model(worker_habits habits, auditor& audit);

    /** Obeys an order that arrives at a time. */
    worker_answer obey(const worker_order& order, std::int64_t now_ms);

    /** Ends tasks that are done or have no lease any more. */
    void pass_time(std::int64_t now_ms);

    /** Loses everything, as a machine that dies and comes back. */
    void restart(std::int64_t now_ms);

    [[nodiscard]] size_t running() const;
    worker_habits habits;
    std::uint64_t starts = 0; ///< Tasks started here so far.

private:
    struct held_task {
        task_order order;
        worker_task_state state = worker_task_state::prepared;
        std::int64_t ends_ms = 0; ///< True time; 0: runs on.
        bool fails = false;
    };

    void take_orders(const worker_order& order, std::int64_t now_ms);
    void hold(const task_order& order, bool start, std::int64_t now_ms);
    void drop(const task_ref& task, task_outcome outcome);
    [[nodiscard]] std::int64_t clock(std::int64_t now_ms) const;
    [[nodiscard]] resources held() const;
    [[nodiscard]] std::vector<listed_task> listing() const;

    auditor& audit_;
    epoch fence_;
    std::int64_t sequence_ = 0;
    std::int64_t lease_until_ = 0; ///< By its own clock.
    std::map<task_ref, held_task> tasks_;
    std::vector<task_event> events_;
    std::int64_t next_event_ = 1;
};

} // namespace rattan::standin
