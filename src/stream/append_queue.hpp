/** @file Groups the appends of an entry host and survives lost answers. */
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

/** What became of a submission. */
enum class submit_result {
    appended, ///< It stands in the log.
    refused,  ///< Provably it does not and never will.
    unknown,  ///< It may stand there, now or later.
};

/** How the log answered an append; the same cases as for a submission. */
using append_answer = submit_result;

/**
 * One group is under way at a time. A group that may have been appended is
 * sent again unchanged until the log says where it stands: readers drop a
 * repeat by its sequence, so that sending twice is harmless, whereas leaving
 * it out could not be told from a loss.
 */
class append_queue {
public:
    using callback =
        std::function<void(submit_result result, std::int64_t offset)>;

    append_queue(host_id writer, std::int64_t incarnation);

    /**
     * Queues entries.
     * @param expires After this they are not sent for a first time.
     * @return False when the queue is full; nothing was queued.
     */
    bool submit(std::vector<std::string> entries, mono_time expires,
                callback done);

    /** The group to send now, if one is due. */
    std::optional<std::string> next_group(mono_time now);

    /** The answer to the group of the last `next_group`. */
    void on_answer(append_answer answer, std::int64_t offset, mono_time now);

    /** A group of this writer was read back from the log. */
    void on_read_back(std::int64_t incarnation, std::int64_t sequence,
                      std::int64_t offset);

    /** Answers submissions whose time is over. */
    void expire(mono_time now);

    /** Tells whether nothing is queued or under way. */
    [[nodiscard]] bool idle() const {
        return waiting_.empty() && group_.empty();
    }

    /** Calls back when everything queued so far has been decided. */
    void when_idle(std::function<void()> done);

    [[nodiscard]] std::uint64_t appends() const { return appends_; }
    [[nodiscard]] std::uint64_t entries() const { return entries_; }
    [[nodiscard]] std::uint64_t bytes() const { return bytes_; }

private:
    struct submission {
        std::vector<std::string> entries;
        mono_time expires;
        callback done; ///< Empty once answered.
    };

    /** Makes a group of what waits. */
    void build_group();
    /** Ends the group that is under way. */
    void finish_group(submit_result result, std::int64_t offset);
    /** Ends the group without effect and lets its entries wait again. */
    void dissolve_group();

    host_id writer_;
    std::int64_t incarnation_;
    std::int64_t sequence_ = 0;
    std::deque<submission> waiting_;
    std::vector<submission> group_;
    std::string group_text_;
    bool in_flight_ = false;
    bool maybe_sent_ = false; ///< The group may stand in the log.
    mono_time next_attempt_{};
    millis backoff_{0};
    std::vector<std::function<void()>> idle_calls_;
    std::uint64_t appends_ = 0;
    std::uint64_t entries_ = 0;
    std::uint64_t bytes_ = 0;
};

} // namespace rattan
