#include "front/record_writer.hpp"

#include "base/log_func.hpp"

#include <algorithm>
#include <utility>

namespace rattan::front {

using platform::append_answer;
using platform::store_result;

namespace {

constexpr millis APPEND_TIME{600}; ///< An answer is given up after this.
constexpr millis RETRY_TIME{80};
constexpr std::size_t MOST_RECORDS = 64; ///< Of one batch.

} // namespace

record_writer::record_writer(event_loop& loop, platform::store_client& store,
                             std::string topic, std::string producer)
    : loop_(loop), store_(store), topic_(std::move(topic)),
      producer_(std::move(producer)) {}

void record_writer::write(const std::string& key, const std::string& value,
                          callback done) {
    queue_.push_back({.record = {.key = key, .value = value},
                      .done = std::move(done),
                      .arrived = event_loop::now()});
    if (batch_.empty())
        send_batch();
}

void record_writer::send_batch() {
    while (!queue_.empty() && batch_.size() < MOST_RECORDS) {
        batch_.push_back(std::move(queue_.front()));
        queue_.pop_front();
    }
    unclear_ = false;
    if (!batch_.empty())
        append();
}

void record_writer::append() {
    std::vector<platform::keyed_record> records;
    for (const item& entry : batch_)
        records.push_back(entry.record);
    store_.append(
        {.topic = topic_,
         .records = std::move(records),
         .identity =
             platform::append_identity{.producer = producer_ + "/" +
                                                   std::to_string(generation_),
                                       .epoch = 1,
                                       .sequence = sequence_},
         .timeout = APPEND_TIME},
        [this](const append_answer& answer) { answered(answer); });
}

void record_writer::answered(const append_answer& answer) {
    const bool ok = answer.result == store_result::ok ||
                    (answer.result == store_result::out_of_order && unclear_ &&
                     answer.expected_sequence == sequence_ + 1);
    if (std::exchange(failing_, !ok) == ok)
        log_event(ok ? log_level::info : log_level::warning,
                  ok ? "store_regained" : "store_lost", {{"topic", topic_}});
    if (ok) {
        ++sequence_;
        return finish(write_result::stored);
    }
    if (answer.result == store_result::unknown)
        unclear_ = true;
    const bool expired =
        event_loop::now() - batch_.front().arrived >= MOST_TIME - APPEND_TIME;
    if (!unclear_) {
        finish(write_result::not_stored);
        return;
    }
    if (expired) {
        // The batch may still arrive: its number is not used again.
        ++generation_;
        sequence_ = 0;
        return finish(write_result::unknown);
    }
    fail_queue();
    loop_.after(RETRY_TIME, [this] { append(); });
}

void record_writer::fail_queue() {
    for (item& entry : std::exchange(queue_, {}))
        entry.done(write_result::not_stored);
}

void record_writer::finish(write_result result) {
    const auto batch = std::exchange(batch_, {});
    if (result != write_result::stored)
        fail_queue();
    for (const item& entry : batch)
        entry.done(result);
    if (batch_.empty())
        send_batch();
}

} // namespace rattan::front
