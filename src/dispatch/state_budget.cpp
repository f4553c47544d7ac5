#include "dispatch/state_budget.hpp"

namespace rattan::dispatch {

void state_budget::add(const organisation_id& organisation, std::size_t bytes) {
    used_ += bytes;
    by_organisation_[organisation] += bytes;
}

void state_budget::remove(const organisation_id& organisation,
                          std::size_t bytes) {
    used_ -= bytes;
    const auto found = by_organisation_.find(organisation);
    found->second -= bytes;
    if (found->second == 0)
        by_organisation_.erase(found);
}

bool state_budget::admits(const organisation_id& organisation,
                          std::size_t bytes) const {
    if (limit_ == 0)
        return true;
    const auto found = by_organisation_.find(organisation);
    const std::size_t own = found == by_organisation_.end() ? 0 : found->second;
    if (bytes > left())
        return false;
    const std::size_t left_after = left() - bytes;
    return own + bytes <=
           (bytes > SMALL_JOB_BYTES ? left_after / 2 : left_after);
}

std::set<organisation_id> state_budget::over_share() const {
    std::set<organisation_id> out;
    if (limit_ == 0)
        return out;
    for (const auto& [organisation, bytes] : by_organisation_)
        if (bytes >= left())
            out.insert(organisation);
    return out;
}

} // namespace rattan::dispatch
