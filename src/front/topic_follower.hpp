/** @file Follows a keyed topic of the store: newest records, then new ones. */
#pragma once

#include "net/event_loop.hpp"
#include "platform/store_client.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace rattan::front {

/** Which topic, and how eagerly. */
struct follow_options {
    std::string topic;
    int part = 0;
    millis wait{1000}; ///< A read waits so long for a record.
    millis pause{0};   ///< Between reads that brought records.
};

/** Calls back with each record; repeats and old ones are left out. */
class topic_follower {
public:
    using on_record = std::function<void(const platform::keyed_record& record)>;
    /** All keys there are; called after each full load. */
    using on_loaded = std::function<void(const std::set<std::string>& keys)>;

    topic_follower(event_loop& loop, platform::store_client& store,
                   follow_options options, on_record record, on_loaded loaded);

    /** Starts to follow; stops when this object ends. */
    void start() { load(""); }

    /** Sets the pause between reads that brought records. */
    void set_pause(millis pause) { options_.pause = pause; }

    [[nodiscard]] bool loaded() const { return loaded_; }
    /** Tells whether a key has been seen here. */
    [[nodiscard]] bool holds(const std::string& key) const {
        return offsets_.contains(key);
    }
    /** Offset after the last record seen. */
    [[nodiscard]] std::int64_t next() const { return next_; }
    /** When the last call was sent that the store answered. */
    [[nodiscard]] mono_time answered_at() const { return answered_at_; }
    /** Called after every answer of the store, with its sending time. */
    void on_answered(std::function<void(mono_time)> call) {
        answered_ = std::move(call);
    }

private:
    void load(const std::string& after);
    void take_page(const platform::newest_answer& page, bool first);
    void read();
    void take(const platform::keyed_record& record);
    void note_answer(mono_time sent_at);
    /** Runs a call later, unless this object has ended. */
    void later(millis delay, std::function<void()> call);

    event_loop& loop_;
    platform::store_client& store_;
    follow_options options_;
    on_record record_;
    on_loaded on_loaded_;
    std::function<void(mono_time)> answered_;
    std::map<std::string, std::int64_t> offsets_; ///< Newest of each key.
    std::set<std::string> loading_keys_;
    std::int64_t next_ = 0;
    bool loaded_ = false;
    mono_time answered_at_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace rattan::front
