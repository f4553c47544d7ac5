/** @file Records on their way into the log. */
#pragma once

#include "rattan/record_type.hpp"
#include "rattan/unit_type.hpp"

#include <map>
#include <string>
#include <vector>

namespace rattan {

/** A record that is not seen in the log after this is offered again. */
constexpr millis APPEND_RETRY_INTERVAL{2000};

/**
 * Offers each wanted record until it is seen in the log. An append's answer
 * may be lost, so records are made such that a repeat has no effect.
 */
class record_outbox {
public:
    /** Offers a record under a name, unless that was done just now. */
    void offer(const std::string& name, const log_entry& entry, mono_time now);

    /** The record of that name was seen, or is not wanted any more. */
    void remove(const std::string& name) { offered_.erase(name); }

    /** Forgets everything, as at the loss of ownership. */
    void clear();

    /** Takes what is to be appended now. */
    std::vector<log_entry> take() { return std::exchange(ready_, {}); }

private:
    std::map<std::string, mono_time> offered_;
    std::vector<log_entry> ready_;
};

} // namespace rattan
