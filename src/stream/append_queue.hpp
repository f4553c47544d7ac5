/** @file Batches log appends of an entry host and retries lost ones. */
#pragma once

#include "rattan/id_type.hpp"
#include "rattan/unit_type.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace rattan {

/** Result of a submission. */
enum class submit_result {
    appended, ///< It is in the log.
    refused,  ///< It is not in the log and never will be.
    unknown,  ///< It may be in the log, now or later.
};

/** Result of one attempt to append a group. */
using append_answer = submit_result;

/**
 * Queue of entries to append to the log. At most one group is in flight. A
 * group that may have been appended is sent again unchanged until its offset is
 * known: readers drop a repeat by its sequence number, so a retry is harmless,
 * whereas without one it would stay unknown whether the group was lost.
 */
class append_queue {
public:
    using callback =
        std::function<void(submit_result result, std::int64_t offset)>;

    append_queue(host_id writer, std::int64_t incarnation);

    /**
     * Queues entries.
     * @param expires Entries not sent by then are refused.
     * @return False if the queue is full or there are too many entries; then
     *         `done` is not called.
     */
    bool submit(std::vector<std::string> entries, mono_time expires,
                callback done);

    /** The encoded group to send now, if one is due. */
    std::optional<std::string> next_group(mono_time now);

    /** Handles the answer to the last group that `next_group` returned. */
    void on_answer(append_answer answer, std::int64_t offset, mono_time now);

    /** Handles a group of this writer that was read from the log. */
    void on_read_back(std::int64_t incarnation, std::int64_t sequence,
                      std::int64_t offset);

    /** Answers expired submissions: refused, or unknown if already sent. */
    void expire(mono_time now);

    /** Tells whether nothing is queued or in flight. */
    [[nodiscard]] bool idle() const {
        return waiting_.empty() && group_.empty();
    }

    /** Calls back as soon as the queue is idle. */
    void when_idle(std::function<void()> done);

    [[nodiscard]] std::uint64_t appends() const { return appends_; }
    [[nodiscard]] std::uint64_t entries() const { return entries_; }
    [[nodiscard]] std::uint64_t bytes() const { return bytes_; }

private:
    struct submission {
        std::vector<std::string> entries;
        mono_time expires;
        callback done; ///< Empty once called.
    };

    /** Moves submissions from the queue into a new group, up to its limits. */
    void build_group();
    /** Answers the submissions of the group and moves on to the next. */
    void finish_group(submit_result result, std::int64_t offset);
    /** Puts the submissions of a refused group back in the queue. */
    void requeue_group();

    host_id writer_;
    std::int64_t incarnation_;
    std::int64_t sequence_ = 0;
    std::deque<submission> waiting_;
    std::vector<submission> group_;
    std::string encoded_group_;
    bool in_flight_ = false;
    bool may_be_appended_ = false; ///< An attempt had an unknown result.
    mono_time next_attempt_{};
    millis backoff_{0};
    std::vector<std::function<void()>> idle_callbacks_;
    std::uint64_t appends_ = 0;
    std::uint64_t entries_ = 0;
    std::uint64_t bytes_ = 0;
};

} // namespace rattan
