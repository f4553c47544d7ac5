#include "dispatch/state_waiters.hpp"

#include <utility>
#include <vector>

namespace rattan::dispatch {

bool state_waiters::add(const job_id& job, mono_time until, callback done) {
    if (waiters_.size() >= capacity_)
        return false;
    waiters_.emplace(job, waiter{.until = until, .done = std::move(done)});
    return true;
}

void state_waiters::end_stored(const job_id& job) {
    // Taken out first, since a callback may add a question.
    const auto [first, last] = waiters_.equal_range(job);
    std::vector<callback> released;
    for (auto it = first; it != last; ++it)
        released.push_back(std::move(it->second.done));
    waiters_.erase(first, last);
    for (const callback& done : released)
        done();
}

void state_waiters::expire(mono_time now) {
    std::vector<callback> released;
    for (auto it = waiters_.begin(); it != waiters_.end();) {
        if (it->second.until > now) {
            ++it;
            continue;
        }
        released.push_back(std::move(it->second.done));
        it = waiters_.erase(it);
    }
    for (const callback& done : released)
        done();
}

void state_waiters::release_all() {
    for (const auto& [job, held] : std::exchange(waiters_, {}))
        held.done();
}

} // namespace rattan::dispatch
