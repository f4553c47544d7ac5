/** @file Reads job states from the store while the owner is unreachable. */
#pragma once

#include "dispatch/record_codec.hpp"
#include "front/progress_writer.hpp"
#include "front/topic_follower.hpp"

#include <map>
#include <optional>
#include <set>

namespace rattan::front {

/** Follows the topics of accepted jobs and of their progress. */
class state_reader {
public:
    /** Both numbers are of partitions, of jobs and of their progress. */
    state_reader(event_loop& loop, platform::store_client& store,
                 int job_partitions, int progress_partitions);

    /** Tells whether the snapshots of all partitions have been read. */
    [[nodiscard]] bool loaded() const;

    /**
     * Stored state of a job; `unknown` when it is missing or belongs to another
     * organisation.
     * @pre `loaded`.
     */
    [[nodiscard]] dispatch::job_state
    state_of(const job_id& job,
             const dispatch::organisation_id& requester) const;

private:
    struct stored_job {
        std::optional<dispatch::organisation_id> organisation;
        dispatch::job_state state = dispatch::job_state::pending;
        progress_stamp stamp; ///< Of the record that gave the state.
        /** Organisations that asked to cancel it. */
        std::set<dispatch::organisation_id> cancelled_by;
    };

    void handle_job_record(const platform::keyed_record& record);
    void handle_progress_record(const platform::keyed_record& record);

    std::map<job_id, stored_job> jobs_;
    std::vector<std::unique_ptr<topic_follower>> followers_;
};

} // namespace rattan::front
