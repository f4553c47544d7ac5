#include "dispatch/probe_rotation.hpp"

#include <algorithm>

namespace rattan::dispatch {

namespace {

constexpr std::size_t MAX_TARGETS = 1024;
/**
 * A slow probe must not keep the next one from being sent; nine hosts together
 * must leave connections of the target to its owner.
 */
constexpr int MAX_PENDING_PER_TARGET = 4;
/** Bounds the connections of the host; each pending probe has one. */
constexpr int MAX_PENDING = 32;
/** After an answer that is not the target's, which will not change soon. */
constexpr std::int64_t REFUSED_DELAY_US = 20'000;

} // namespace

std::vector<probe_rotation::entry>::iterator
probe_rotation::find(const std::string& target) {
    return std::find_if(
        entries_.begin(), entries_.end(),
        [&](const entry& each) { return each.target == target; });
}

bool probe_rotation::add(const std::string& target, std::int64_t until_us) {
    if (const auto found = find(target); found != entries_.end()) {
        found->until_us = std::max(found->until_us, until_us);
        return true;
    }
    if (entries_.size() >= MAX_TARGETS)
        return false;
    entries_.push_back({.target = target, .until_us = until_us});
    return true;
}

void probe_rotation::expire(std::int64_t now_us) {
    std::erase_if(entries_,
                  [&](const entry& each) { return each.until_us <= now_us; });
}

std::optional<std::string> probe_rotation::next(std::int64_t now_us) {
    if (pending_ >= MAX_PENDING)
        return std::nullopt;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        position_ = (position_ + 1) % entries_.size();
        entry& each = entries_[position_];
        if (each.pending >= MAX_PENDING_PER_TARGET ||
            each.not_before_us > now_us)
            continue;
        ++each.pending;
        ++pending_;
        return each.target;
    }
    return std::nullopt;
}

void probe_rotation::ended(const std::string& target, probe_end end,
                           std::int64_t now_us) {
    --pending_;
    const auto found = find(target);
    if (found == entries_.end())
        return;
    // The entry may have been added again since the probe was sent.
    found->pending = std::max(0, found->pending - 1);
    if (end == probe_end::reached)
        entries_.erase(found);
    else if (end == probe_end::refused)
        found->not_before_us = now_us + REFUSED_DELAY_US;
}

} // namespace rattan::dispatch
