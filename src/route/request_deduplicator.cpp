#include "route/request_deduplicator.hpp"

#include <algorithm>
#include <utility>

namespace rattan {

namespace {

constexpr size_t MAX_ENTRIES = 200'000;
constexpr size_t MAX_KEPT_BODY_BYTES = 4'096;
/** Of all kept answers; a repeat of a further request gets none. */
constexpr size_t MAX_KEPT_BYTES = 32U << 20U;

} // namespace

request_deduplicator::request_deduplicator(std::int64_t started_ms,
                                           std::int64_t skew_ms)
    // An earlier process accepted ids up to one skew ahead of its clock, which
    // may have been another skew ahead of this one.
    : skew_ms_(skew_ms), floor_ms_(started_ms + 2 * skew_ms) {}

void request_deduplicator::expire(std::int64_t now_ms) {
    while (!order_.empty() && now_ms - order_.front().first >
                                  REQUEST_ID_LIFETIME_MS + 2 * skew_ms_) {
        const auto found = entries_.find(order_.front().second);
        if (found != entries_.end())
            erase(found);
        order_.pop_front();
    }
}

void request_deduplicator::erase(std::map<request_key, entry>::iterator entry) {
    kept_bytes_ -= entry->second.result.body.size();
    entries_.erase(entry);
}

deduplication_verdict
request_deduplicator::admit(const organisation_name& organisation,
                            const request_id& request, std::int64_t made_ms,
                            std::int64_t now_ms, check_result& result,
                            callback on_result) {
    expire(now_ms);
    const request_key key{organisation, request};
    const auto found = entries_.find(key);
    if (found != entries_.end()) {
        if (found->second.ended) {
            result = found->second.result;
            return deduplication_verdict::completed;
        }
        found->second.waiting.push_back(std::move(on_result));
        return deduplication_verdict::in_progress;
    }
    if (made_ms > now_ms + skew_ms_)
        return deduplication_verdict::too_new;
    if (made_ms < floor_ms_ || now_ms - made_ms > REQUEST_ID_LIFETIME_MS)
        return deduplication_verdict::too_old;
    if (entries_.size() >= MAX_ENTRIES)
        return deduplication_verdict::full;
    entries_[key].made_ms = made_ms;
    order_.emplace_back(now_ms, key);
    return deduplication_verdict::new_request;
}

void request_deduplicator::finish(const organisation_name& organisation,
                                  const request_id& request,
                                  const check_result& result) {
    const auto found = entries_.find({organisation, request});
    if (found == entries_.end())
        return;
    entry& ended = found->second;
    const auto waiting = std::exchange(ended.waiting, {});
    if (result.outcome == check_outcome::not_run) {
        // It has certainly not run, so the same id may be tried again. Its
        // entry in `order_` stays; once that expires the id is too old anyway.
        erase(found);
    } else {
        ended.ended = true;
        kept_bytes_ -= ended.result.body.size();
        ended.result = result;
        if (ended.result.body.size() > MAX_KEPT_BODY_BYTES ||
            kept_bytes_ + ended.result.body.size() > MAX_KEPT_BYTES) {
            ended.result.body.clear();
            ended.result.reason = "answer-not-kept";
            ended.result.outcome = check_outcome::unknown;
        }
        kept_bytes_ += ended.result.body.size();
    }
    for (const callback& call : waiting)
        call(result);
}

} // namespace rattan
