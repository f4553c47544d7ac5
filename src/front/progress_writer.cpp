#include "front/progress_writer.hpp"

#include "base/log_func.hpp"
#include "dispatch/record_packing.hpp"
#include "rattan/error_type.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace rattan::front {

using platform::append_answer;
using platform::keyed_record;
using platform::store_result;

namespace {

constexpr millis RETRY_DELAY{100}; ///< After a failed append.
constexpr millis FENCE_TIMEOUT{1000};
constexpr char STAMP_SEPARATOR = ' ';
/** With this many pending tombstones, they are sent without a batch. */
constexpr std::size_t TOMBSTONE_BATCH_KEYS = 200;
/** Upper bound of the size of a tombstone in an append. */
constexpr std::size_t MAX_TOMBSTONE_BYTES = 64;
/** Batch number of an append that contains only tombstones. */
constexpr std::int64_t TOMBSTONES_ONLY = -1;

} // namespace

std::pair<progress_stamp, std::string>
split_progress(const std::string& value) {
    progress_stamp stamp;
    const char* const end = value.data() + value.size();
    const auto epoch = std::from_chars(value.data(), end, stamp.epoch);
    if (epoch.ec != std::errc() || epoch.ptr == end ||
        *epoch.ptr != STAMP_SEPARATOR)
        throw decode_error("stored progress does not begin with an epoch");
    const auto batch = std::from_chars(epoch.ptr + 1, end, stamp.batch);
    if (batch.ec != std::errc() || batch.ptr == end ||
        *batch.ptr != STAMP_SEPARATOR)
        throw decode_error("stored progress has no batch number");
    return {stamp, dispatch::unpack_record(std::string(batch.ptr + 1, end))};
}

progress_writer::progress_writer(event_loop& loop,
                                 platform::store_client& store,
                                 std::int64_t epoch, int partition_count,
                                 const append_limits& limits,
                                 callbacks handlers)
    : loop_(loop), store_(store), epoch_(epoch),
      callbacks_(std::move(handlers)), limits_(limits) {
    // Deletions share the appends of records.
    constexpr std::size_t TOMBSTONE_BYTES =
        TOMBSTONE_BATCH_KEYS * MAX_TOMBSTONE_BYTES;
    if (limits_.append_bytes > 2 * TOMBSTONE_BYTES)
        limits_.append_bytes -= TOMBSTONE_BYTES;
    for (int partition = 0; partition < partition_count; ++partition)
        partitions_.push_back({.index = partition});
}

template <typename Call>
auto progress_writer::guarded(Call call) {
    return [call = std::move(call),
            alive = std::weak_ptr(alive_)](const auto&... values) {
        if (!alive.expired())
            call(values...);
    };
}

void progress_writer::fence(std::function<void()> done) {
    on_fenced_ = std::move(done);
    for (partition_state& state : partitions_)
        fence_partition(state);
}

void progress_writer::fence_partition(partition_state& state) {
    // Once this append succeeds the store rejects earlier epochs.
    store_.append(
        {.topic = PROGRESS_TOPIC,
         .partition = state.index,
         .identity = platform::append_identity{.producer = "owner",
                                               .epoch = epoch_,
                                               .sequence = state.sequence},
         .timeout = FENCE_TIMEOUT},
        guarded([this, &state](const append_answer& answer) {
            if (answer.result == store_result::fenced)
                return callbacks_.fenced();
            if (answer.result != store_result::ok &&
                answer.result != store_result::out_of_order) {
                loop_.after(RETRY_DELAY, guarded([this, &state] {
                                fence_partition(state);
                            }));
                return;
            }
            state.fenced = true;
            if (std::all_of(
                    partitions_.begin(), partitions_.end(),
                    [](const partition_state& one) { return one.fenced; }))
                on_fenced_();
        }));
}

void progress_writer::write(std::vector<keyed_record> records,
                            write_callback done) {
    split_records split = split_batch(std::move(records), limits_);
    for (const std::string& key : split.oversized)
        log_event(log_level::error, "record_too_large",
                  {{"key", key},
                   {"limit_bytes", std::to_string(limits_.record_bytes)}});
    pending_batches_ = std::move(split.batches);
    refused_keys_ = std::move(split.oversized);
    on_written_ = std::move(done);
    write_next_batch();
}

void progress_writer::write_next_batch() {
    if (pending_batches_.empty()) {
        // Deferred, since the caller may not expect the answer yet.
        loop_.defer(guarded([this] {
            const auto done = std::exchange(on_written_, nullptr);
            done(std::exchange(refused_keys_, {}));
        }));
        return;
    }
    last_batch_ = std::move(pending_batches_.front());
    pending_batches_.pop_front();
    last_stamp_ = std::to_string(epoch_) + STAMP_SEPARATOR +
                  std::to_string(++last_batch_number_) + STAMP_SEPARATOR;
    on_stored_ = [this] { write_next_batch(); };
    partition_state& first = partitions_[preferred_partition_];
    if (first.batch_number == 0)
        return start_batch(first);
    for (partition_state& state : partitions_)
        if (state.batch_number == 0)
            return start_batch(state);
    // All partitions still send an older batch: the first one to finish takes
    // this batch.
}

void progress_writer::delete_keys(const std::vector<std::string>& keys) {
    for (partition_state& state : partitions_) {
        if (!state.has_keys)
            continue;
        state.tombstones.insert(state.tombstones.end(), keys.begin(),
                                keys.end());
        if (state.batch_number == 0 &&
            state.tombstones.size() >= TOMBSTONE_BATCH_KEYS)
            flush_tombstones(state);
    }
}

void progress_writer::flush_tombstones(partition_state& state) {
    state.batch_number = TOMBSTONES_ONLY;
    add_tombstones(state);
    ++state.sequence;
    send_append(state);
}

void progress_writer::start_batch(partition_state& state) {
    state.batch_number = last_batch_number_;
    state.records.clear();
    for (const keyed_record& record : last_batch_)
        state.records.push_back(
            {.key = record.key, .value = last_stamp_ + record.value});
    state.has_keys = true;
    add_tombstones(state);
    ++state.sequence;
    send_append(state);
}

void progress_writer::add_tombstones(partition_state& state) {
    const std::size_t count =
        std::min(state.tombstones.size(), TOMBSTONE_BATCH_KEYS);
    for (std::size_t i = 0; i < count; ++i)
        state.records.push_back({.key = std::move(state.tombstones[i])});
    state.tombstones.erase(state.tombstones.begin(),
                           state.tombstones.begin() +
                               static_cast<std::ptrdiff_t>(count));
}

void progress_writer::send_append(partition_state& state) {
    store_.append(
        {.topic = PROGRESS_TOPIC,
         .partition = state.index,
         .records = state.records,
         .identity = platform::append_identity{.producer = "owner",
                                               .epoch = epoch_,
                                               .sequence = state.sequence},
         .timeout = state.append_timeout.timeout()},
        guarded([this, &state,
                 sent_at = event_loop::now()](const append_answer& answer) {
            handle_answer(state, answer, sent_at);
        }));
}

void progress_writer::handle_answer(partition_state& state,
                                    const append_answer& answer,
                                    mono_time sent_at) {
    switch (answer.result) {
    case store_result::ok:
        state.append_timeout.answered(event_loop::now() - sent_at);
        callbacks_.answered(sent_at);
        return append_succeeded(state);
    case store_result::fenced:
        return callbacks_.fenced();
    case store_result::malformed:
        return append_refused(state);
    case store_result::out_of_order:
        if (answer.expected_sequence == state.sequence + 1)
            return append_succeeded(state); // An earlier attempt was applied.
        log_event(log_level::warning, "owner_append_out_of_order",
                  {{"sent", std::to_string(state.sequence)},
                   {"expected", std::to_string(answer.expected_sequence)}});
        if (answer.expected_sequence < state.sequence)
            state.sequence = answer.expected_sequence;
        break;
    default:
        break;
    }
    append_failed(state, answer);
}

void progress_writer::append_succeeded(partition_state& state) {
    const bool newest = state.batch_number == last_batch_number_;
    state.batch_number = 0;
    state.records.clear();
    if (!on_stored_)
        return;
    if (!newest)
        return start_batch(state);
    preferred_partition_ =
        static_cast<std::size_t>(&state - partitions_.data());
    std::exchange(on_stored_, nullptr)();
}

void progress_writer::append_refused(partition_state& state) {
    log_event(log_level::error, "owner_append_refused",
              {{"partition", std::to_string(state.index)},
               {"records", std::to_string(state.records.size())},
               {"key", state.records.empty() ? "" : state.records[0].key}});
    const bool newest = state.batch_number == last_batch_number_;
    for (keyed_record& record : state.records)
        if (record.value.empty())
            state.tombstones.push_back(std::move(record.key));
    state.records.clear();
    state.batch_number = 0;
    --state.sequence; // The store has not used it.
    if (!on_stored_)
        return;
    if (!newest)
        return start_batch(state);
    on_stored_ = nullptr;
    if (last_batch_.size() == 1) {
        refused_keys_.push_back(last_batch_[0].key);
    } else {
        const auto middle = last_batch_.begin() +
                            static_cast<std::ptrdiff_t>(last_batch_.size() / 2);
        pending_batches_.emplace_front(middle, last_batch_.end());
        pending_batches_.emplace_front(last_batch_.begin(), middle);
    }
    write_next_batch();
}

void progress_writer::append_failed(partition_state& state,
                                    const append_answer& answer) {
    if (answer.result == store_result::unknown)
        state.append_timeout.timed_out();
    log_event(log_level::warning, "owner_append_failed",
              {{"partition", std::to_string(state.index)},
               {"result", std::to_string(static_cast<int>(answer.result))}});
    if (on_stored_ && state.batch_number == last_batch_number_)
        for (partition_state& other : partitions_)
            if (other.batch_number == 0) {
                start_batch(other);
                break;
            }
    loop_.after(RETRY_DELAY, guarded([this, &state] { send_append(state); }));
}

} // namespace rattan::front
