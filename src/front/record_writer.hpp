/** @file Writes clients' records to the store and reports the outcome. */
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

/** Outcome of a write. */
enum class write_result {
    stored,
    not_stored, ///< Certain: it will not be stored later either.
    unknown,    ///< It may be stored, now or later.
};

/** Destination of a writer's records. */
struct writer_options {
    std::string topic;
    int partitions = 1;      ///< Number of partitions that may be used.
    int first_partition = 0; ///< Used until an append fails.
    std::string producer;    ///< Unique name of this process and writer.
    std::size_t max_append_bytes = 0; ///< Of one append; 0: no limit.
};

/**
 * Writes the records of many clients in batches, one at a time. A batch whose
 * append fails is sent again to the next partition until it times out or the
 * store has refused its first two attempts. Its result is then `unknown` if any
 * attempt had no answer. Records queued behind a failing batch are reported as
 * `not_stored` at once. Readers follow all partitions and use the first copy of
 * a record.
 */
class record_writer {
public:
    using callback = std::function<void(write_result)>;

    record_writer(event_loop& loop, platform::store_client& store,
                  writer_options options);

    /** Writes a record; calls `done` once, within `MAX_WRITE_TIME`. */
    void write(const std::string& key, const std::string& value, callback done);

    /** Sets the callback for each successful append. */
    void on_answered(std::function<void()> call) {
        on_answered_ = std::move(call);
    }

    /** Tells whether the last append failed. */
    [[nodiscard]] bool failing() const { return failing_; }
    /** Number of records queued or in flight. */
    [[nodiscard]] std::size_t pending() const {
        return queue_.size() + batch_.size();
    }

    /** Upper bound of the time from `write` to its result. */
    static constexpr millis MAX_WRITE_TIME{2700};

private:
    struct queued_record {
        platform::keyed_record record;
        callback done;
        mono_time queued_at{};
    };

    void start_batch();
    void append_batch();
    void handle_answer(const platform::append_answer& answer,
                       mono_time sent_at);
    /** Continues with the next partition under a new producer name. */
    void switch_partition();
    void finish_batch(write_result result);
    /** Reports all queued records as `not_stored`. */
    void fail_queue();

    event_loop& loop_;
    platform::store_client& store_;
    writer_options options_;
    dispatch::adaptive_timeout append_timeout_;
    std::function<void()> on_answered_;
    int partition_;
    int producer_generation_ = 0; ///< Suffix of the producer's name.
    std::int64_t sequence_ = 0;
    std::deque<queued_record> queue_;
    std::vector<queued_record> batch_;
    int attempts_ = 0;             ///< Appends of this batch so far.
    bool outcome_unknown_ = false; ///< An append of this batch had no answer.
    bool failing_ = false;
};

/** Several writers in parallel: a slow append delays only its own batch. */
class writer_group {
public:
    writer_group(event_loop& loop, platform::store_client& store,
                 const writer_options& options);

    /** Writes through the least loaded writer, healthy ones first. */
    void write(const std::string& key, const std::string& value,
               record_writer::callback done);
    void on_answered(const std::function<void()>& call);
    /** Tells whether all writers fail. */
    [[nodiscard]] bool failing() const;
    [[nodiscard]] std::size_t pending() const;

private:
    std::vector<std::unique_ptr<record_writer>> writers_;
};

} // namespace rattan::front
