#include "front/progress_writer.hpp"

#include "base/log_func.hpp"
#include "rattan/error_type.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace rattan::front {

using platform::append_answer;
using platform::keyed_record;
using platform::store_result;

namespace {

constexpr millis RETRY_TIME{100};  ///< After an append without success.
constexpr millis FENCE_TIME{1000}; ///< An answer is given up after this.
constexpr char STAMP_END = ' ';
constexpr std::size_t MANY_DROPS = 200; ///< Keys; then they are sent alone.
constexpr std::int64_t ONLY_DROPS = -1; ///< In place of a batch's number.

} // namespace

std::pair<progress_stamp, std::string>
split_progress(const std::string& value) {
    progress_stamp stamp;
    const char* const end = value.data() + value.size();
    const auto epoch = std::from_chars(value.data(), end, stamp.epoch);
    if (epoch.ec != std::errc() || epoch.ptr == end || *epoch.ptr != STAMP_END)
        throw decode_error("stored progress has no stamp");
    const auto number = std::from_chars(epoch.ptr + 1, end, stamp.number);
    if (number.ec != std::errc() || number.ptr == end ||
        *number.ptr != STAMP_END)
        throw decode_error("stored progress has no stamp");
    return {stamp, std::string(number.ptr + 1, end)};
}

progress_writer::progress_writer(event_loop& loop,
                                 platform::store_client& store,
                                 std::int64_t epoch, int parts, callbacks call)
    : loop_(loop), store_(store), epoch_(epoch), call_(std::move(call)) {
    for (int part = 0; part < parts; ++part)
        lanes_.push_back({.part = part});
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
    fence_done_ = std::move(done);
    for (lane& at : lanes_)
        fence_lane(at);
}

void progress_writer::fence_lane(lane& at) {
    // From its success on no earlier owner can store anything there.
    store_.append(
        {.topic = PROGRESS_TOPIC,
         .part = at.part,
         .identity = platform::append_identity{.producer = "owner",
                                               .epoch = epoch_,
                                               .sequence = at.sequence},
         .timeout = FENCE_TIME},
        guarded([this, &at](const append_answer& answer) {
            if (answer.result == store_result::fenced)
                return call_.fenced();
            if (answer.result != store_result::ok &&
                answer.result != store_result::out_of_order) {
                loop_.after(RETRY_TIME,
                            guarded([this, &at] { fence_lane(at); }));
                return;
            }
            at.fenced = true;
            if (std::all_of(lanes_.begin(), lanes_.end(),
                            [](const lane& one) { return one.fenced; }))
                fence_done_();
        }));
}

void progress_writer::write(const std::vector<keyed_record>& records,
                            std::function<void()> done) {
    const std::string stamp = std::to_string(epoch_) + STAMP_END +
                              std::to_string(++number_) + STAMP_END;
    records_.clear();
    for (const keyed_record& record : records)
        records_.push_back({.key = record.key, .value = stamp + record.value});
    done_ = std::move(done);
    lane& first = lanes_[preferred_];
    if (first.batch == 0)
        return begin(first);
    for (lane& at : lanes_)
        if (at.batch == 0)
            return begin(at);
    // All lanes still send an older batch: the first that is done takes this.
}

void progress_writer::drop(const std::vector<std::string>& keys) {
    for (lane& at : lanes_) {
        if (!at.holds_keys)
            continue;
        at.drops.insert(at.drops.end(), keys.begin(), keys.end());
        if (at.batch == 0 && at.drops.size() >= MANY_DROPS)
            flush_drops(at);
    }
}

void progress_writer::flush_drops(lane& at) {
    at.batch = ONLY_DROPS;
    for (std::string& key : std::exchange(at.drops, {}))
        at.records.push_back({.key = std::move(key)});
    ++at.sequence;
    send(at);
}

void progress_writer::begin(lane& at) {
    at.batch = number_;
    at.records = records_;
    at.holds_keys = true;
    for (std::string& key : std::exchange(at.drops, {}))
        at.records.push_back({.key = std::move(key)});
    ++at.sequence;
    send(at);
}

void progress_writer::send(lane& at) {
    store_.append(
        {.topic = PROGRESS_TOPIC,
         .part = at.part,
         .records = at.records,
         .identity = platform::append_identity{.producer = "owner",
                                               .epoch = epoch_,
                                               .sequence = at.sequence},
         .timeout = at.pace.timeout()},
        guarded([this, &at,
                 sent_at = event_loop::now()](const append_answer& answer) {
            take_answer(at, answer, sent_at);
        }));
}

void progress_writer::take_answer(lane& at, const append_answer& answer,
                                  mono_time sent_at) {
    switch (answer.result) {
    case store_result::ok:
        at.pace.answered(event_loop::now() - sent_at);
        call_.answered(sent_at);
        return lane_done(at);
    case store_result::fenced:
        return call_.fenced();
    case store_result::out_of_order:
        if (answer.expected_sequence == at.sequence + 1)
            return lane_done(at); // An earlier try was done.
        log_event(log_level::warning, "owner_append_out_of_order",
                  {{"sent", std::to_string(at.sequence)},
                   {"expected", std::to_string(answer.expected_sequence)}});
        if (answer.expected_sequence < at.sequence)
            at.sequence = answer.expected_sequence;
        break;
    default:
        break;
    }
    lane_failed(at, answer);
}

void progress_writer::lane_done(lane& at) {
    const bool newest = at.batch == number_;
    at.batch = 0;
    at.records.clear();
    if (!done_)
        return;
    if (!newest)
        return begin(at);
    preferred_ = static_cast<std::size_t>(&at - lanes_.data());
    std::exchange(done_, nullptr)();
}

void progress_writer::lane_failed(lane& at, const append_answer& answer) {
    if (answer.result == store_result::unknown)
        at.pace.timed_out();
    log_event(log_level::warning, "owner_append_failed",
              {{"partition", std::to_string(at.part)},
               {"result", std::to_string(static_cast<int>(answer.result))}});
    if (done_ && at.batch == number_)
        for (lane& other : lanes_)
            if (other.batch == 0) {
                begin(other);
                break;
            }
    loop_.after(RETRY_TIME, guarded([this, &at] { send(at); }));
}

} // namespace rattan::front
