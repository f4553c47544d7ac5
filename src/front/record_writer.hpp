/** @file Writes callers' records into the store and says what became of them.
 */
#pragma once

#include "dispatch/adaptive_timeout.hpp"
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

/** Where a writer's records go. */
struct writer_options {
    std::string topic;
    int parts = 1;        ///< Partitions of the topic that may be used.
    int first_part = 0;   ///< Used until it fails.
    std::string producer; ///< Names this process and writer.
};

/**
 * Writes the records of many callers. One batch is under way at a time; a
 * batch without an answer is sent again to the next partition, and its callers
 * are told `unknown` when their time is over. Readers follow all partitions
 * and take a record's first copy.
 */
class record_writer {
public:
    using callback = std::function<void(write_result)>;

    record_writer(event_loop& loop, platform::store_client& store,
                  writer_options options);

    /** Writes a record; `done` is called once, within `MOST_TIME`. */
    void write(const std::string& key, const std::string& value, callback done);

    /** Called after every answer of the store. */
    void on_answered(std::function<void()> call) {
        answered_ = std::move(call);
    }

    /** Tells whether the last append failed. */
    [[nodiscard]] bool failing() const { return failing_; }
    /** Records that wait for an answer. */
    [[nodiscard]] std::size_t pending() const {
        return queue_.size() + batch_.size();
    }

    /** A caller is told by then at the latest. */
    static constexpr millis MOST_TIME{2700};

private:
    struct item {
        platform::keyed_record record;
        callback done;
        mono_time arrived{};
    };

    void send_batch();
    void append();
    void take_answer(const platform::append_answer& answer, mono_time sent_at);
    /** Goes on with the next partition, under a new producer. */
    void change_part();
    void finish(write_result result);
    void fail_queue();

    event_loop& loop_;
    platform::store_client& store_;
    writer_options options_;
    dispatch::adaptive_timeout pace_;
    std::function<void()> answered_;
    int part_;
    int generation_ = 0; ///< Of the producer's name.
    std::int64_t sequence_ = 0;
    std::deque<item> queue_;
    std::vector<item> batch_;
    int tries_ = 0;        ///< Of this batch.
    bool unclear_ = false; ///< An append of this batch had no answer.
    bool failing_ = false;
};

/** Several writers of a process: a slow append holds up only its own batch. */
class writer_group {
public:
    writer_group(event_loop& loop, platform::store_client& store,
                 const writer_options& options);

    /** As `record_writer::write`, through the writer that is free first. */
    void write(const std::string& key, const std::string& value,
               record_writer::callback done);
    void on_answered(const std::function<void()>& call);
    [[nodiscard]] bool failing() const;
    [[nodiscard]] std::size_t pending() const;

private:
    std::vector<std::unique_ptr<record_writer>> writers_;
};

} // namespace rattan::front
