#include "dispatch/submission_table.hpp"

namespace rattan::dispatch {

namespace {

/** More than the store takes in `HOLD_TIME` at its highest write rate. */
constexpr std::size_t MAX_JOBS = 20'000;

} // namespace

void submission_table::announced(const job_id& job, mono_time now) {
    expire(now);
    if (by_time_.size() >= MAX_JOBS) {
        incomplete_at_ = now;
        return;
    }
    announced_at_[job] = now;
    by_time_.emplace_back(now, job);
}

bool submission_table::may_be_stored(const job_id& job, mono_time now) {
    expire(now);
    return now - incomplete_at_ < HOLD_TIME || announced_at_.contains(job);
}

void submission_table::expire(mono_time now) {
    while (!by_time_.empty() && now - by_time_.front().first >= HOLD_TIME) {
        // A later announcement of the same job holds on.
        const auto found = announced_at_.find(by_time_.front().second);
        if (found != announced_at_.end() &&
            found->second == by_time_.front().first)
            announced_at_.erase(found);
        by_time_.pop_front();
    }
}

} // namespace rattan::dispatch
