#include "front/record_writer.hpp"

#include "base/log_func.hpp"
#include "front/append_batches.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace rattan::front {

using platform::append_answer;
using platform::store_result;

namespace {

constexpr millis RETRY_DELAY{20};
constexpr std::size_t MAX_BATCH_RECORDS = 64;
/** Clients wait 3 s; half of that is left for a retry by the client. */
constexpr millis BATCH_TIMEOUT{1100};
/** Attempts at a batch if the store refuses every one of them. */
constexpr int MAX_REFUSED_ATTEMPTS = 2;
constexpr int WRITER_COUNT = 2;

} // namespace

record_writer::record_writer(event_loop& loop, platform::store_client& store,
                             writer_options options)
    : loop_(loop), store_(store), options_(std::move(options)),
      partition_(options_.first_partition % options_.partitions) {}

void record_writer::write(const std::string& key, const std::string& value,
                          callback done) {
    queue_.push_back({.record = {.key = key, .value = value},
                      .done = std::move(done),
                      .queued_at = event_loop::now()});
    if (batch_.empty())
        start_batch();
}

void record_writer::start_batch() {
    std::size_t bytes = 0;
    while (!queue_.empty() && batch_.size() < MAX_BATCH_RECORDS) {
        bytes += stored_bytes(queue_.front().record);
        if (!batch_.empty() && options_.max_append_bytes > 0 &&
            bytes > options_.max_append_bytes)
            break;
        batch_.push_back(std::move(queue_.front()));
        queue_.pop_front();
    }
    outcome_unknown_ = false;
    attempts_ = 0;
    if (!batch_.empty())
        append_batch();
}

void record_writer::append_batch() {
    std::vector<platform::keyed_record> records;
    for (const queued_record& entry : batch_)
        records.push_back(entry.record);
    ++attempts_;
    store_.append(
        {.topic = options_.topic,
         .partition = partition_,
         .records = std::move(records),
         .identity =
             platform::append_identity{.producer =
                                           options_.producer + "/" +
                                           std::to_string(producer_generation_),
                                       .epoch = 1,
                                       .sequence = sequence_},
         .timeout = append_timeout_.timeout()},
        [this, sent_at = event_loop::now()](const append_answer& answer) {
            handle_answer(answer, sent_at);
        });
}

void record_writer::handle_answer(const append_answer& answer,
                                  mono_time sent_at) {
    const mono_time now = event_loop::now();
    const bool ok = answer.result == store_result::ok;
    if (ok) {
        append_timeout_.answered(now - sent_at);
        if (on_answered_)
            on_answered_();
    } else if (answer.result == store_result::unknown) {
        append_timeout_.timed_out();
        outcome_unknown_ = true;
    }
    if (std::exchange(failing_, !ok) == ok)
        log_event(
            ok ? log_level::info : log_level::warning,
            ok ? "store_regained" : "store_lost",
            {{"topic", options_.topic},
             {"partition", std::to_string(partition_)},
             {"result", std::to_string(static_cast<int>(answer.result))}});
    if (ok) {
        ++sequence_;
        return finish_batch(write_result::stored);
    }
    switch_partition();
    if (now - batch_.front().queued_at >= BATCH_TIMEOUT)
        return finish_batch(outcome_unknown_ ? write_result::unknown
                                             : write_result::not_stored);
    if (!outcome_unknown_ && attempts_ >= MAX_REFUSED_ATTEMPTS)
        return finish_batch(write_result::not_stored);
    fail_queue();
    loop_.after(RETRY_DELAY, [this] { append_batch(); });
}

void record_writer::switch_partition() {
    // The lost append may still take effect there; a new producer name makes
    // sure that its sequence number is not used for another batch.
    partition_ = (partition_ + 1) % options_.partitions;
    ++producer_generation_;
    sequence_ = 0;
}

void record_writer::fail_queue() {
    for (queued_record& entry : std::exchange(queue_, {}))
        entry.done(write_result::not_stored);
}

void record_writer::finish_batch(write_result result) {
    const auto batch = std::exchange(batch_, {});
    if (result != write_result::stored)
        fail_queue();
    for (const queued_record& entry : batch)
        entry.done(result);
    if (batch_.empty())
        start_batch();
}

writer_group::writer_group(event_loop& loop, platform::store_client& store,
                           const writer_options& options) {
    for (int i = 0; i < WRITER_COUNT; ++i) {
        writer_options own_options = options;
        own_options.first_partition = options.first_partition + i;
        own_options.producer += "/" + std::to_string(i);
        writers_.push_back(std::make_unique<record_writer>(
            loop, store, std::move(own_options)));
    }
}

void writer_group::write(const std::string& key, const std::string& value,
                         record_writer::callback done) {
    const auto best = std::min_element(
        writers_.begin(), writers_.end(), [](const auto& a, const auto& b) {
            return std::tuple(a->failing(), a->pending()) <
                   std::tuple(b->failing(), b->pending());
        });
    (*best)->write(key, value, std::move(done));
}

void writer_group::on_answered(const std::function<void()>& call) {
    for (const auto& writer : writers_)
        writer->on_answered(call);
}

bool writer_group::failing() const {
    return std::all_of(writers_.begin(), writers_.end(),
                       [](const auto& writer) { return writer->failing(); });
}

std::size_t writer_group::pending() const {
    std::size_t sum = 0;
    for (const auto& writer : writers_)
        sum += writer->pending();
    return sum;
}

} // namespace rattan::front
