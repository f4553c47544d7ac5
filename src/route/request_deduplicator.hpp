/** @file Deduplication of requests, so that a retry does not run again. */
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
    answered, ///< The runner has answered.
    not_run,  ///< It has certainly not run.
    unknown,  ///< It may have run.
};

/** The result of a check for its callers. */
struct check_result {
    check_outcome outcome = check_outcome::not_run;
    std::string body;   ///< The runner's answer.
    std::string reason; ///< Reason code when there is no answer.
};

/** What is known of a request. */
enum class deduplication_verdict {
    new_request, ///< First seen now: run it.
    in_progress, ///< Running: the caller gets the same result.
    completed,   ///< Ended: the result is returned.
    too_old,     ///< An earlier process may have seen it, or it is forgotten.
    too_new,     ///< Its time is ahead of the clock by too much.
    full,        ///< Too many requests are remembered.
};

/** A request id is accepted for this long after it was made. */
constexpr std::int64_t REQUEST_ID_LIFETIME_MS = 10 * 60 * 1'000;

/**
 * The requests that one gate has seen, with their results. All times are Unix
 * milliseconds of the host.
 */
class request_deduplicator {
public:
    using callback = std::function<void(const check_result&)>;

    /**
     * @param started_ms Start of this process.
     * @param skew_ms Largest clock skew among callers and hosts.
     */
    request_deduplicator(std::int64_t started_ms, std::int64_t skew_ms);

    /**
     * Checks a request and remembers a new one.
     * @param made_ms The time in its id.
     * @param result Set when the verdict is `completed`.
     * @param on_result Called at the end when the verdict is `in_progress`.
     */
    deduplication_verdict admit(const organisation_name& organisation,
                                const request_id& request, std::int64_t made_ms,
                                std::int64_t now_ms, check_result& result,
                                callback on_result);

    /** Stores a new request's result and passes it to waiting callers. */
    void finish(const organisation_name& organisation,
                const request_id& request, const check_result& result);

    [[nodiscard]] size_t size() const { return entries_.size(); }
    /** Size of the runners' answers that are kept. */
    [[nodiscard]] size_t kept_bytes() const { return kept_bytes_; }

private:
    struct request_key {
        organisation_name organisation;
        request_id request;

        auto operator<=>(const request_key&) const = default;
    };
    struct entry {
        bool ended = false;
        check_result result;
        std::vector<callback> waiting;
        std::int64_t made_ms = 0;
    };

    /** Removes an entry; its place in `order_` stays. */
    void erase(std::map<request_key, entry>::iterator position);
    /** Forgets requests whose ids are not accepted any more. */
    void expire(std::int64_t now_ms);

    std::int64_t skew_ms_;
    std::int64_t floor_ms_; ///< Ids made before this are not accepted.
    std::map<request_key, entry> entries_;
    size_t kept_bytes_ = 0;
    std::deque<std::pair<std::int64_t, request_key>> order_;
};

} // namespace rattan
