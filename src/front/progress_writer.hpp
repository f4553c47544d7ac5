/** @file Writes the owner's progress records to the store. */
#pragma once

#include "dispatch/adaptive_timeout.hpp"
#include "front/append_batches.hpp"
#include "front/topic_follower.hpp"
#include "net/event_loop.hpp"
#include "platform/store_client.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace rattan::front {

/** Topic of the progress of jobs: their state, runs and results. */
inline const std::string PROGRESS_TOPIC = "keyed.progress";

/** Orders records of the same key across partitions. */
struct progress_stamp {
    std::int64_t epoch = 0; ///< Epoch of the owner that wrote the record.
    std::int64_t batch = 0; ///< Number of the batch; rises within an epoch.

    auto operator<=>(const progress_stamp&) const = default;
};

/**
 * Splits a stored value into its stamp and the unpacked progress.
 * @throw decode_error when the value has no stamp or can't be unpacked.
 */
std::pair<progress_stamp, std::string> split_progress(const std::string& value);

/**
 * Stores batches in order, one at a time, under the owner's epoch. A batch
 * whose append to one partition fails is written to another one as well. The
 * failed append is retried with the same sequence number until the partition
 * answers, because the first request may still take effect.
 */
class progress_writer {
public:
    /** Callbacks to the owner. */
    struct callbacks {
        /** An owner of a higher epoch has appended. */
        std::function<void()> fenced;
        /** The store has answered an append that was sent at `sent_at`. */
        std::function<void(mono_time sent_at)> answered;
    };

    progress_writer(event_loop& loop, platform::store_client& store,
                    std::int64_t epoch, int partition_count,
                    const append_limits& limits, callbacks handlers);

    /**
     * Appends under the new epoch to all partitions, so that the store rejects
     * appends of earlier owners; then calls `done`.
     */
    void fence(std::function<void()> done);

    /** Called with the keys of the records that the store refuses for good. */
    using write_callback =
        std::function<void(const std::vector<std::string>& refused_keys)>;

    /**
     * Stores records in order, in as many batches as the limits require, then
     * calls `done`. A record that the store refuses is set aside.
     * @pre No other call is pending.
     */
    void write(std::vector<platform::keyed_record> records,
               write_callback done);

    /** Deletes keys in the background, with the next batch or on their own. */
    void delete_keys(const std::vector<std::string>& keys);

    /** Notes that a partition contains records, so that deletions reach it. */
    void mark_has_keys(int partition) {
        partitions_[static_cast<std::size_t>(partition)].has_keys = true;
    }

    [[nodiscard]] int partition_count() const {
        return static_cast<int>(partitions_.size());
    }

private:
    /** State of the appends to one partition; one is in flight at a time. */
    struct partition_state {
        int index = 0;
        std::int64_t sequence = 0;
        std::int64_t batch_number = 0; ///< Of the batch in flight; 0: none.
        std::vector<platform::keyed_record> records; ///< Of that batch.
        bool fenced = false;
        bool has_keys = false;               ///< Contains records of some keys.
        std::vector<std::string> tombstones; ///< Keys to delete next.
        dispatch::adaptive_timeout append_timeout;
    };

    void fence_partition(partition_state& state);
    /** Begins with the next batch of the pending `write`, or ends it. */
    void write_next_batch();
    /**
     * The store never accepts a batch: it is halved until only the record that
     * is refused is left, which is set aside.
     */
    void append_refused(partition_state& state);
    void start_batch(partition_state& state);
    /** Adds pending tombstones to the records of an append. */
    static void add_tombstones(partition_state& state);
    /** Appends the pending tombstones without a batch. */
    void flush_tombstones(partition_state& state);
    void send_append(partition_state& state);
    void handle_answer(partition_state& state,
                       const platform::append_answer& answer,
                       mono_time sent_at);
    void append_succeeded(partition_state& state);
    void append_failed(partition_state& state,
                       const platform::append_answer& answer);
    /** Wraps a callback so that it does nothing once this is destroyed. */
    template <typename Call>
    auto guarded(Call call);

    event_loop& loop_;
    platform::store_client& store_;
    std::int64_t epoch_;
    callbacks callbacks_;
    std::vector<partition_state> partitions_;
    std::size_t preferred_partition_ = 0; ///< It stored the last batch.
    std::int64_t last_batch_number_ = 0;
    append_limits limits_;
    std::deque<std::vector<platform::keyed_record>> pending_batches_;
    std::vector<std::string> refused_keys_; ///< Of the pending `write`.
    write_callback on_written_;
    std::vector<platform::keyed_record> last_batch_; ///< Without stamps.
    std::string last_stamp_;
    std::function<void()> on_stored_; ///< Empty when that batch is stored.
    std::function<void()> on_fenced_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace rattan::front
