/** @file Estimates how long a new job of each queue waits for targets. */
#pragma once

#include "dispatch/expected_wait.hpp"
#include "dispatch/placement_rate.hpp"
#include "dispatch/waiting_work.hpp"

#include <map>
#include <optional>

namespace rattan::dispatch {

/**
 * Divides the work ahead of a new job by the rate at which such work has been
 * placed. Rates are measured only while work waits for capacity: at other
 * times they show the demand, and a burst would seem to take far too long. So
 * there is an estimate only after work has waited for some seconds.
 */
class wait_estimate {
public:
    /** Minimum time between two calls of `update`. */
    static constexpr millis UPDATE_PERIOD{200};

    /** A job was submitted. @param work That of all its steps. */
    void work_submitted(const work_group& group,
                        const organisation_id& organisation, std::int64_t work,
                        mono_time now);
    /** A task was placed on a target. */
    void work_placed(const work_group& group,
                     const organisation_id& organisation, std::int64_t work);

    [[nodiscard]] bool due(mono_time now) const {
        return now - updated_at_ >= UPDATE_PERIOD;
    }
    /**
     * Estimates anew.
     * @param confirmed The store confirms records, so that starts do not wait
     * for it. Otherwise all measurements begin again.
     */
    void update(const waiting_work& waiting, bool confirmed, mono_time now);

    /** As of the last update. */
    [[nodiscard]] const expected_waits& waits() const { return waits_; }
    /** Time of the last update; default: none. */
    [[nodiscard]] mono_time updated_at() const { return updated_at_; }

private:
    /** Work of a group or of an organisation. */
    struct flow {
        placement_rate submitted;
        placement_rate placed;
        /** Over a shorter time, to see whether work is placed at once. */
        placement_rate placed_recently;
        /** Only while work has to wait. */
        placement_rate placed_in_shortage;
        millis shortage{0}; ///< Time for which work has had to wait.

        flow();
        void add_placed(std::int64_t work);
        /** @param counted False: the time says nothing about the rate. */
        void advance(millis elapsed, std::int64_t backlog, bool counted);
        /** Discards what was added, since the time for it is not known. */
        void skip();
        [[nodiscard]] bool measured() const;
    };

    /** Work of a group that waits for capacity, without that at a limit. */
    [[nodiscard]] std::int64_t
    backlog_of(const waiting_work::entry& entry) const;
    [[nodiscard]] std::optional<millis> wait_of(const waiting_work& waiting,
                                                const work_group& group) const;
    void estimate_organisations(const waiting_work& waiting);
    void note_limits(const waiting_work& waiting, mono_time now);

    std::map<work_group, flow> groups_;
    std::map<organisation_id, flow> organisations_;
    /** When each organisation was last beyond its rate. */
    std::map<organisation_id, mono_time> over_rate_at_;
    /** When each organisation was last at its resource limit. */
    std::map<organisation_id, mono_time> at_limit_at_;
    expected_waits waits_;
    mono_time updated_at_{};
    mono_time placed_at_{}; ///< When work of any queue was placed.
    bool placed_since_update_ = false;
};

} // namespace rattan::dispatch
