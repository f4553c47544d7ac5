/** @file States of jobs from the store, while the owner can't be asked. */
#pragma once

#include "dispatch/record_codec.hpp"
#include "front/progress_writer.hpp"
#include "front/topic_follower.hpp"

#include <map>
#include <optional>

namespace rattan::front {

/** Follows accepted jobs and their progress; made when it is needed. */
class state_reader {
public:
    /** @param store_parts Partitions of a topic of the store. */
    state_reader(event_loop& loop, platform::store_client& store,
                 int store_parts);

    /** Everything that is kept has been read. */
    [[nodiscard]] bool loaded() const;

    /** A job's state, as far as it is stored. @pre `loaded`. */
    [[nodiscard]] dispatch::job_state
    state_of(const job_id& job, const dispatch::organisation_id& asking) const;

private:
    struct known_job {
        std::optional<dispatch::organisation_id> organisation;
        dispatch::job_state state = dispatch::job_state::pending;
        progress_stamp stamp; ///< Of that state.
        bool cancelled = false;
    };

    void take_job(const platform::keyed_record& record);
    void take_progress(const platform::keyed_record& record);

    std::map<job_id, known_job> known_;
    std::vector<std::unique_ptr<topic_follower>> followers_;
};

} // namespace rattan::front
