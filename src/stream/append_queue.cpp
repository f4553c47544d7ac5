#include "stream/append_queue.hpp"

#include "fold/record_codec.hpp"
#include "rattan/record_type.hpp"

#include <algorithm>
#include <utility>

namespace rattan {

namespace {

constexpr size_t MAX_QUEUED_SUBMISSIONS = 50'000;
constexpr size_t MAX_GROUP_BYTES = 256U << 10U;
constexpr millis MIN_BACKOFF{50};
constexpr millis MAX_BACKOFF{1'000};

} // namespace

append_queue::append_queue(host_id writer, std::int64_t incarnation)
    : writer_(std::move(writer)), incarnation_(incarnation) {}

bool append_queue::submit(std::vector<std::string> entries, mono_time expires,
                          callback done) {
    if (waiting_.size() >= MAX_QUEUED_SUBMISSIONS ||
        static_cast<std::int64_t>(entries.size()) > MAX_GROUP_ENTRIES)
        return false;
    waiting_.push_back({std::move(entries), expires, std::move(done)});
    return true;
}

void append_queue::build_group() {
    size_t bytes = 0;
    std::int64_t count = 0;
    std::vector<std::string> texts;
    while (!waiting_.empty()) {
        const submission& next = waiting_.front();
        size_t size = 0;
        for (const std::string& entry : next.entries)
            size += entry.size();
        count += static_cast<std::int64_t>(next.entries.size());
        const bool full =
            bytes + size > MAX_GROUP_BYTES || count > MAX_GROUP_ENTRIES;
        if (full && !group_.empty())
            break;
        bytes += size;
        texts.insert(texts.end(), next.entries.begin(), next.entries.end());
        group_.push_back(std::move(waiting_.front()));
        waiting_.pop_front();
    }
    encoded_group_ = encode_group(writer_, incarnation_, sequence_ + 1, texts);
    may_be_appended_ = false;
}

std::optional<std::string> append_queue::next_group(mono_time now) {
    expire(now);
    if (in_flight_ || now < next_attempt_)
        return std::nullopt;
    if (group_.empty()) {
        if (waiting_.empty())
            return std::nullopt;
        build_group();
    }
    in_flight_ = true;
    ++appends_;
    bytes_ += encoded_group_.size();
    return encoded_group_;
}

void append_queue::on_answer(append_answer answer, std::int64_t offset,
                             mono_time now) {
    in_flight_ = false;
    if (group_.empty())
        return; // on_read_back has already finished the group
    if (answer == append_answer::appended) {
        backoff_ = millis(0);
        return finish_group(submit_result::appended, offset);
    }
    may_be_appended_ = may_be_appended_ || answer == append_answer::unknown;
    backoff_ = std::clamp(backoff_ * 2, MIN_BACKOFF, MAX_BACKOFF);
    next_attempt_ = now + backoff_;
    if (!may_be_appended_)
        requeue_group();
}

void append_queue::on_read_back(std::int64_t incarnation, std::int64_t sequence,
                                std::int64_t offset) {
    if (incarnation != incarnation_ || group_.empty() ||
        sequence != sequence_ + 1)
        return;
    finish_group(submit_result::appended, offset);
}

void append_queue::finish_group(submit_result result, std::int64_t offset) {
    ++sequence_;
    next_attempt_ = mono_time{};
    for (submission& finished : std::exchange(group_, {})) {
        entries_ += finished.entries.size();
        if (finished.done)
            finished.done(result, offset);
    }
    if (idle())
        for (const auto& call : std::exchange(idle_callbacks_, {}))
            call();
}

void append_queue::requeue_group() {
    while (!group_.empty()) {
        waiting_.push_front(std::move(group_.back()));
        group_.pop_back();
    }
}

void append_queue::expire(mono_time now) {
    std::vector<callback> refused;
    std::erase_if(waiting_, [&](submission& queued) {
        if (queued.expires > now)
            return false;
        refused.push_back(std::move(queued.done));
        return true;
    });
    for (const callback& done : refused)
        if (done)
            done(submit_result::refused, 0);
    for (submission& sent : group_)
        if (sent.expires <= now && sent.done)
            std::exchange(sent.done, nullptr)(submit_result::unknown, 0);
    if (idle())
        for (const auto& call : std::exchange(idle_callbacks_, {}))
            call();
}

void append_queue::when_idle(std::function<void()> done) {
    if (idle())
        return done();
    idle_callbacks_.push_back(std::move(done));
}

} // namespace rattan
