/** @file Jobs that entry hosts may have stored without the owner's knowledge.
 */
#pragma once

#include "rattan/id_type.hpp"
#include "rattan/unit_type.hpp"

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <utility>

namespace rattan::dispatch {

/** What the sender of a question for a job's state does with the job. */
enum class submission_intent {
    none,
    store,  ///< It is about to store the job.
    refuse, ///< It refuses the job if no submission of it may be stored.
    admit,  ///< It stores the job if the owner admits it.
    cancel, ///< It cancels the job, which the owner may not know.
};

/** The owner's answer to a host that is about to store a job or a cancel. */
enum class admission {
    unclear, ///< It may not be stored, but an earlier request may have been.
    known,   ///< The owner has the job: storing it again takes no memory.
    admitted,
    refused, ///< It may not be stored, and no submission of it was.
};

/**
 * The owner's knowledge of the submissions in progress. Each host announces a
 * job before it stores it: if that host or its answer is lost and the caller
 * repeats the submission elsewhere, the owner knows that the job may exist,
 * although its record is not stored or not read yet.
 */
class submission_table {
public:
    /**
     * After this time the record of an announced job has been stored and read,
     * or is never stored: a host writes it at most three times, each within
     * 2.7 s, and the owner reads a record within 2.8 s.
     */
    static constexpr millis HOLD_TIME{15'000};

    /** @param began_at The announcements before this time are not known. */
    explicit submission_table(mono_time began_at) : incomplete_at_(began_at) {}

    void announced(const job_id& job, mono_time now);
    /** Some announcements until now may not have arrived. */
    void announcements_lost(mono_time now) { incomplete_at_ = now; }
    /** Tells whether a submission of the job may be stored unnoticed. */
    [[nodiscard]] bool may_be_stored(const job_id& job, mono_time now);

    [[nodiscard]] std::size_t size() const { return announced_at_.size(); }

private:
    void expire(mono_time now);

    std::unordered_map<job_id, mono_time> announced_at_;
    std::deque<std::pair<mono_time, job_id>> by_time_;
    mono_time incomplete_at_; ///< Some announcements until then are missing.
};

} // namespace rattan::dispatch
