/** @file Entries waiting to appear in the log. */
#pragma once

#include "rattan/record_type.hpp"
#include "rattan/unit_type.hpp"

#include <map>
#include <string>
#include <vector>

namespace rattan {

/** An entry not seen in the log after this is appended again. */
constexpr millis APPEND_RETRY_INTERVAL{2000};

/**
 * Retries each entry until it is seen in the log. As the answer to an append
 * may be lost, entries must be idempotent.
 */
class record_outbox {
public:
    /** Queues an entry, at most once per name and retry interval. */
    void offer(const std::string& name, const log_entry& entry, mono_time now);

    /** Forgets an entry that was seen in the log or is not needed any more. */
    void remove(const std::string& name) { offered_.erase(name); }

    /** Removes all entries, as when ownership is lost. */
    void clear();

    /** Returns the entries to append now and dequeues them. */
    std::vector<log_entry> take() { return std::exchange(ready_, {}); }

private:
    std::map<std::string, mono_time> offered_;
    std::vector<log_entry> ready_;
};

} // namespace rattan
