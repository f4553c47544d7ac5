#include "dispatch/state_reservations.hpp"

namespace rattan::dispatch {

bool state_reservations::reserve(const job_id& job,
                                 const organisation_id& organisation,
                                 std::size_t bytes, mono_time now) {
    const auto earlier = reservations_.find(job);
    if (earlier != reservations_.end() && earlier->second.bytes >= bytes) {
        earlier->second.made_at = now; // A repeated submission.
        return true;
    }
    release(job);
    if (!budget_.admits(organisation, bytes))
        return false;
    budget_.add(organisation, bytes);
    reservations_[job] = {
        .organisation = organisation, .bytes = bytes, .made_at = now};
    return true;
}

void state_reservations::release(const job_id& job) {
    const auto found = reservations_.find(job);
    if (found == reservations_.end())
        return;
    budget_.remove(found->second.organisation, found->second.bytes);
    reservations_.erase(found);
}

void state_reservations::expire(mono_time oldest) {
    for (auto position = reservations_.begin();
         position != reservations_.end();) {
        const auto current = position++;
        if (current->second.made_at < oldest)
            release(current->first);
    }
}

} // namespace rattan::dispatch
