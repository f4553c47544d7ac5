/** @file The owner's records of progress, in two partitions. */
#pragma once

#include "dispatch/adaptive_timeout.hpp"
#include "front/topic_follower.hpp"
#include "net/event_loop.hpp"
#include "platform/store_client.hpp"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace rattan::front {

/** Topic of what has become of jobs. */
inline const std::string PROGRESS_TOPIC = "keyed.progress";

/** Orders records of one key that lie in different partitions. */
struct progress_stamp {
    std::int64_t epoch = 0;  ///< Of the owner that wrote it.
    std::int64_t number = 0; ///< Rises with each batch of an owner.

    auto operator<=>(const progress_stamp&) const = default;
};

/** Splits a stored value. @throw decode_error when it has no stamp. */
std::pair<progress_stamp, std::string> split_progress(const std::string& value);

/**
 * Stores batches in order, one at a time, under the owner's epoch. A batch
 * that a partition does not take in time goes to the other one as well; the
 * first gets it again until it answers, for what was sent may still arrive.
 */
class progress_writer {
public:
    /** What the owner is told. */
    struct callbacks {
        std::function<void()> fenced; ///< A later owner has appended.
        /** The store has answered an append that was sent then. */
        std::function<void(mono_time sent_at)> answered;
    };

    progress_writer(event_loop& loop, platform::store_client& store,
                    std::int64_t epoch, int parts, callbacks call);

    /** Shuts out earlier owners in all partitions, then calls. */
    void fence(std::function<void()> done);

    /** Stores a batch; `done` follows. @pre No other batch is under way. */
    void write(const std::vector<platform::keyed_record>& records,
               std::function<void()> done);

    /** Drops keys, now or later; nobody waits for it. */
    void drop(const std::vector<std::string>& keys);

    /** Says that a partition was found to hold records. */
    void note_keys(int part) {
        lanes_[static_cast<std::size_t>(part)].holds_keys = true;
    }

    [[nodiscard]] int parts() const { return static_cast<int>(lanes_.size()); }

private:
    /** One partition. */
    struct lane {
        int part = 0;
        std::int64_t sequence = 0;
        std::int64_t batch = 0; ///< Number of the one under way; 0: none.
        std::vector<platform::keyed_record> records; ///< Of that batch.
        bool fenced = false;
        bool holds_keys = false;        ///< Written here, now or earlier.
        std::vector<std::string> drops; ///< Keys for the next append.
        dispatch::adaptive_timeout pace;
    };

    void fence_lane(lane& at);
    void begin(lane& at);
    /** Sends dropped keys by themselves, when there are many. */
    void flush_drops(lane& at);
    void send(lane& at);
    void take_answer(lane& at, const platform::append_answer& answer,
                     mono_time sent_at);
    /** The batch of a lane is in the store. */
    void lane_done(lane& at);
    void lane_failed(lane& at, const platform::append_answer& answer);
    template <typename Call>
    auto guarded(Call call);

    event_loop& loop_;
    platform::store_client& store_;
    std::int64_t epoch_;
    callbacks call_;
    std::vector<lane> lanes_;
    std::size_t preferred_ = 0;                   ///< Lane that answered last.
    std::int64_t number_ = 0;                     ///< Of the newest batch.
    std::vector<platform::keyed_record> records_; ///< Of that batch.
    std::function<void()> done_;                  ///< Empty: it is stored.
    std::function<void()> fence_done_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace rattan::front
