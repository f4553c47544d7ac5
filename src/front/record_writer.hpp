/** @file Appends records in batches; knows what became of each. */
#pragma once

#include "net/event_loop.hpp"
#include "platform/store_client.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rattan::front {

/** What became of a record. */
enum class write_result {
    stored,
    not_stored, ///< It is certain that it never will be.
    unknown,    ///< It may be, or may become so.
};

/**
 * Writes the records of many callers. One batch is under way at a time; a
 * batch without an answer is sent again under its number, so it is stored
 * once, and its callers are told `unknown` when their time is over.
 */
class record_writer {
public:
    using callback = std::function<void(write_result)>;

    record_writer(event_loop& loop, platform::store_client& store,
                  std::string topic, std::string producer);

    /** Writes a record; `done` is called once, within `MOST_TIME`. */
    void write(const std::string& key, const std::string& value, callback done);

    /** Tells whether the last append failed. */
    [[nodiscard]] bool failing() const { return failing_; }
    /** Records that wait for an answer. */
    [[nodiscard]] std::size_t pending() const {
        return queue_.size() + batch_.size();
    }

    /** A caller is told by then at the latest. */
    static constexpr millis MOST_TIME{1300};

private:
    struct item {
        platform::keyed_record record;
        callback done;
        mono_time arrived{};
    };

    void send_batch();
    void append();
    void answered(const platform::append_answer& answer);
    void finish(write_result result);
    void fail_queue();

    event_loop& loop_;
    platform::store_client& store_;
    std::string topic_;
    std::string producer_;
    int generation_ = 0; ///< Of the producer's name.
    std::int64_t sequence_ = 0;
    std::deque<item> queue_;
    std::vector<item> batch_;
    bool unclear_ = false; ///< An append of this batch had no answer.
    bool failing_ = false;
};

} // namespace rattan::front
