/** @file Remembers requests, so that a repeat does not run again. */
#pragma once

#include "rattan/id_type.hpp"
#include "rattan/unit_type.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace rattan {

/** How a quick check ended. */
enum class check_outcome {
    answered, ///< The runner's whole answer.
    not_run,  ///< Provably not run.
    unknown,  ///< It may have run.
};

/** A check's end, as told to callers. */
struct check_result {
    check_outcome outcome = check_outcome::not_run;
    std::string body;   ///< The answer, or why there is none.
    std::string reason; ///< Stable name of a refusal.
};

/** What a window says of a request. */
enum class deduplication_verdict {
    new_request, ///< First seen now: run it.
    in_progress, ///< Under way: the call is told of its end.
    completed,   ///< Ended: the result is at hand.
    too_old,     ///< May have been seen by an earlier process, or forgotten.
    too_new,     ///< Its time is ahead of the clock.
    full,        ///< No room to remember it.
};

/** Ids are taken for this long after they were made. */
constexpr std::int64_t REQUEST_ID_LIFETIME_MS = 10 * 60 * 1'000;

/** The memory of one home. All times are Unix milliseconds of the host. */
class request_deduplicator {
public:
    using callback = std::function<void(const check_result&)>;

    /**
     * @param started_ms When this process began to remember.
     * @param skew_ms Clocks of callers and hosts are apart by this at most.
     */
    request_deduplicator(std::int64_t started_ms, std::int64_t skew_ms);

    /**
     * Takes a request.
     * @param made_ms The time in its id.
     * @param result Set when the verdict is `known`.
     * @param joined Called at the end when the verdict is `joined`.
     */
    deduplication_verdict admit(const team_id& team, const request_id& request,
                                std::int64_t made_ms, std::int64_t now_ms,
                                check_result& result, callback on_result);

    /** Notes the end of a fresh request and tells those who joined. */
    void finish(const team_id& team, const request_id& request,
                const check_result& result);

    [[nodiscard]] size_t size() const { return entries_.size(); }

private:
    struct request_key {
        team_id team;
        request_id request;

        auto operator<=>(const request_key&) const = default;
    };
    struct entry {
        bool ended = false;
        check_result result;
        std::vector<callback> waiting;
        std::int64_t made_ms = 0;
    };

    /** Forgets what is older than ids are taken. */
    void expire(std::int64_t now_ms);

    std::int64_t skew_ms_;
    std::int64_t floor_ms_; ///< Ids made before this are not taken.
    std::map<request_key, entry> entries_;
    std::deque<std::pair<std::int64_t, request_key>> order_;
};

} // namespace rattan
