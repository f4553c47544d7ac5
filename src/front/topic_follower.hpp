/** @file Reads a keyed topic of the store: a snapshot, then new records. */
#pragma once

#include "net/event_loop.hpp"
#include "platform/store_client.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace rattan::front {

/** Which partition to follow and how often to read it. */
struct follow_options {
    std::string topic;
    int partition = 0;
    millis max_wait{1000}; ///< Long-poll time of a read.
    millis read_delay{0};  ///< Delay between two reads.
};

/**
 * Follows one partition of a topic. A record that is not newer than the one
 * reported last for its key is skipped. When the store has trimmed records that
 * were not read yet, the snapshot is loaded again.
 */
class topic_follower {
public:
    using record_handler =
        std::function<void(const platform::keyed_record& record)>;
    /** Called after each full load with all keys of the snapshot. */
    using loaded_handler =
        std::function<void(const std::set<std::string>& keys)>;

    topic_follower(event_loop& loop, platform::store_client& store,
                   follow_options options, record_handler on_record,
                   loaded_handler on_loaded);

    /** Starts loading; following ends with the destruction of this object. */
    void start() { load(""); }

    void set_read_delay(millis read_delay) { options_.read_delay = read_delay; }

    [[nodiscard]] bool loaded() const { return loaded_; }
    /** Tells whether a key has a record that was not deleted since. */
    [[nodiscard]] bool has_key(const std::string& key) const {
        return newest_offsets_.contains(key);
    }
    /** Keys that begin with a prefix and were not deleted since. */
    [[nodiscard]] std::vector<std::string>
    keys_with_prefix(const std::string& prefix) const;
    /** Offset after the last record read. */
    [[nodiscard]] std::int64_t next_offset() const { return next_offset_; }
    /** Send time of the latest call that succeeded. */
    [[nodiscard]] mono_time answered_at() const { return answered_at_; }
    /** Sets the callback for successful calls; it gets the call's send time. */
    void on_answered(std::function<void(mono_time)> call) {
        on_answered_ = std::move(call);
    }

private:
    /** Loads a page of the snapshot. @param after Last key loaded so far. */
    void load(const std::string& after);
    void handle_page(const platform::newest_answer& page,
                     const std::string& after);
    void read();
    void handle_record(const platform::keyed_record& record);
    void note_answer(mono_time sent_at);
    /** Runs a call after a delay, unless this object is destroyed by then. */
    void call_later(millis delay, std::function<void()> call);

    event_loop& loop_;
    platform::store_client& store_;
    follow_options options_;
    record_handler on_record_;
    loaded_handler on_loaded_;
    std::function<void(mono_time)> on_answered_;
    std::map<std::string, std::int64_t> newest_offsets_; ///< By key.
    std::set<std::string> loading_keys_; ///< Keys read by the current load.
    std::int64_t next_offset_ = 0;
    bool loaded_ = false;
    mono_time answered_at_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace rattan::front
