#include "dispatch/state_share.hpp"

#include <algorithm>

namespace rattan::dispatch {

void state_share::granted(state_grant grant, mono_time computed_at) {
    limited_ = true;
    grant_ = std::move(grant);
    while (!uncounted_.empty() &&
           uncounted_.front().first + SEEN_AFTER < computed_at) {
        uncounted_bytes_ -= uncounted_.front().second;
        uncounted_.pop_front();
    }
}

bool state_share::admits(const organisation_id& organisation,
                         std::size_t bytes) const {
    return !limited_ || (!grant_.refused.contains(organisation) &&
                         uncounted_bytes_ + bytes <= grant_.bytes);
}

void state_share::accepted(std::size_t bytes, mono_time now) {
    if (!limited_)
        return;
    uncounted_.emplace_back(now, bytes);
    uncounted_bytes_ += bytes;
}

std::size_t host_share(std::size_t left, std::size_t hosts) {
    return left / 2 / std::max<std::size_t>(1, hosts);
}

} // namespace rattan::dispatch
