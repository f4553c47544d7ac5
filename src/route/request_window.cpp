#include "route/request_window.hpp"

#include <algorithm>
#include <utility>

namespace rattan {

namespace {

constexpr size_t MAX_ENTRIES = 200'000;
constexpr size_t MAX_KEPT_BODY = 4'096;

} // namespace

request_window::request_window(std::int64_t started_ms, std::int64_t skew_ms)
    // An earlier process took ids up to a skew ahead of its clock, which
    // may itself have been a skew ahead of ours.
    : skew_ms_(skew_ms), floor_ms_(started_ms + 2 * skew_ms) {}

void request_window::expire(std::int64_t now_ms) {
    while (!order_.empty() &&
           now_ms - order_.front().first > REQUEST_WINDOW_MS + 2 * skew_ms_) {
        entries_.erase(order_.front().second);
        order_.pop_front();
    }
}

window_verdict request_window::take(const organisation_name& organisation,
                                    const request_id& request,
                                    std::int64_t made_ms, std::int64_t now_ms,
                                    check_result& result, callback joined) {
    expire(now_ms);
    const request_key key{organisation, request};
    const auto found = entries_.find(key);
    if (found != entries_.end()) {
        if (found->second.ended) {
            result = found->second.result;
            return window_verdict::known;
        }
        found->second.joined.push_back(std::move(joined));
        return window_verdict::joined;
    }
    if (made_ms > now_ms + skew_ms_)
        return window_verdict::too_new;
    if (made_ms < floor_ms_ || now_ms - made_ms > REQUEST_WINDOW_MS)
        return window_verdict::too_old;
    if (entries_.size() >= MAX_ENTRIES)
        return window_verdict::full;
    entries_[key].made_ms = made_ms;
    order_.emplace_back(now_ms, key);
    return window_verdict::fresh;
}

void request_window::finish(const organisation_name& organisation,
                            const request_id& request,
                            const check_result& result) {
    const auto found = entries_.find({organisation, request});
    if (found == entries_.end())
        return;
    entry& ended = found->second;
    const auto joined = std::exchange(ended.joined, {});
    if (result.outcome == check_outcome::not_run) {
        // Provably not run: the same id may be tried again. Its place in the
        // order stays; when that expires the id is too old anyway.
        entries_.erase(found);
    } else {
        ended.ended = true;
        ended.result = result;
        if (ended.result.body.size() > MAX_KEPT_BODY) {
            ended.result.body.clear();
            ended.result.reason = "answer-not-kept";
            ended.result.outcome = check_outcome::unknown;
        }
    }
    for (const callback& call : joined)
        call(result);
}

} // namespace rattan
