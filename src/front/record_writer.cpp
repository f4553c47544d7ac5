#include "front/record_writer.hpp"

#include "base/log_func.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace rattan::front {

using platform::append_answer;
using platform::store_result;

namespace {

constexpr millis RETRY_TIME{20};
constexpr std::size_t MOST_RECORDS = 64; ///< Of one batch.
/** A caller waits 3 s; half of that is kept for another try of its own. */
constexpr millis GIVE_UP{1100};
constexpr int MOST_REFUSED = 2; ///< Tries of a batch that all were refused.
constexpr int WRITERS = 2;      ///< Of one process.

} // namespace

record_writer::record_writer(event_loop& loop, platform::store_client& store,
                             writer_options options)
    : loop_(loop), store_(store), options_(std::move(options)),
      part_(options_.first_part % options_.parts) {}

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
    tries_ = 0;
    if (!batch_.empty())
        append();
}

void record_writer::append() {
    std::vector<platform::keyed_record> records;
    for (const item& entry : batch_)
        records.push_back(entry.record);
    ++tries_;
    store_.append(
        {.topic = options_.topic,
         .part = part_,
         .records = std::move(records),
         .identity =
             platform::append_identity{.producer = options_.producer + "/" +
                                                   std::to_string(generation_),
                                       .epoch = 1,
                                       .sequence = sequence_},
         .timeout = pace_.timeout()},
        [this, sent_at = event_loop::now()](const append_answer& answer) {
            take_answer(answer, sent_at);
        });
}

void record_writer::take_answer(const append_answer& answer,
                                mono_time sent_at) {
    const mono_time now = event_loop::now();
    const bool ok = answer.result == store_result::ok;
    if (ok) {
        pace_.answered(now - sent_at);
        if (answered_)
            answered_();
    } else if (answer.result == store_result::unknown) {
        pace_.timed_out();
        unclear_ = true;
    }
    if (std::exchange(failing_, !ok) == ok)
        log_event(
            ok ? log_level::info : log_level::warning,
            ok ? "store_regained" : "store_lost",
            {{"topic", options_.topic},
             {"partition", std::to_string(part_)},
             {"result", std::to_string(static_cast<int>(answer.result))}});
    if (ok) {
        ++sequence_;
        return finish(write_result::stored);
    }
    change_part();
    if (now - batch_.front().arrived >= GIVE_UP)
        return finish(unclear_ ? write_result::unknown
                               : write_result::not_stored);
    if (!unclear_ && tries_ >= MOST_REFUSED)
        return finish(write_result::not_stored);
    fail_queue();
    loop_.after(RETRY_TIME, [this] { append(); });
}

void record_writer::change_part() {
    // The batch may still arrive where it went: its number is not used again.
    part_ = (part_ + 1) % options_.parts;
    ++generation_;
    sequence_ = 0;
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

writer_group::writer_group(event_loop& loop, platform::store_client& store,
                           const writer_options& options) {
    for (int i = 0; i < WRITERS; ++i) {
        writer_options own = options;
        own.first_part = options.first_part + i;
        own.producer += "/" + std::to_string(i);
        writers_.push_back(
            std::make_unique<record_writer>(loop, store, std::move(own)));
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
