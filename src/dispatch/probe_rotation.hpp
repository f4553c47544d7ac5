/** @file Which target a host probes next. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rattan::dispatch {

/** How a probe ended. */
enum class probe_end {
    reached,    ///< The target has seen the token of the probe.
    refused,    ///< Something else answered in place of the target.
    unanswered, ///< There was no answer.
};

/**
 * Takes the targets that have to be probed in turn, so that each gets the same
 * part of what the host can send. Times are in microseconds.
 */
class probe_rotation {
public:
    /**
     * Adds a target, or extends the time for which it is probed.
     * @return False if there are too many targets already.
     */
    bool add(const std::string& target, std::int64_t until_us);

    /** Removes the targets whose time is over. */
    void expire(std::int64_t now_us);

    /**
     * Returns the target to probe now, and counts the probe as pending;
     * nothing if each target has enough pending probes or has to wait.
     */
    [[nodiscard]] std::optional<std::string> next(std::int64_t now_us);

    /** Reports the end of a pending probe. */
    void ended(const std::string& target, probe_end end, std::int64_t now_us);

    [[nodiscard]] bool empty() const { return entries_.empty(); }
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        std::string target;
        std::int64_t until_us = 0;
        std::int64_t not_before_us = 0;
        int pending = 0;
    };

    [[nodiscard]] std::vector<entry>::iterator find(const std::string& target);

    std::vector<entry> entries_;
    std::size_t position_ = 0; ///< Entry whose turn it is.
    int pending_ = 0;          ///< Of all targets, and of those removed.
};

} // namespace rattan::dispatch
