/** @file Questions for a job's state that wait until its end is stored. */
#pragma once

#include "rattan/id_type.hpp"
#include "rattan/unit_type.hpp"

#include <cstddef>
#include <functional>
#include <map>

namespace rattan::dispatch {

/**
 * Holds questions for jobs that have ended but whose end is not stored. Until
 * it is, the end can't be shown: a later owner would not know it.
 */
class state_waiters {
public:
    /** Looks the state up again and replies. */
    using callback = std::function<void()>;

    /** @param capacity Largest number of questions held at once. */
    explicit state_waiters(std::size_t capacity) : capacity_(capacity) {}

    /**
     * Holds a question until the end of the job is stored or `until` is over.
     * @return False if too many are held; `done` is not called then.
     */
    bool add(const job_id& job, mono_time until, callback done);

    /** Releases the questions for a job. */
    void end_stored(const job_id& job);
    /** Releases the questions that have waited until `now` or earlier. */
    void expire(mono_time now);
    /** Releases all questions: this host is not the owner any more. */
    void release_all();

    [[nodiscard]] std::size_t size() const { return waiters_.size(); }

private:
    struct waiter {
        mono_time until{};
        callback done;
    };

    std::size_t capacity_;
    std::multimap<job_id, waiter> waiters_;
};

} // namespace rattan::dispatch
