#include "base/record_outbox.hpp"

namespace rattan {

void record_outbox::offer(const std::string& name, const log_entry& entry,
                          mono_time now) {
    const auto [slot, is_new] = offered_.try_emplace(name, now);
    if (!is_new && now - slot->second < APPEND_RETRY_INTERVAL)
        return;
    slot->second = now;
    ready_.push_back(entry);
}

void record_outbox::clear() {
    offered_.clear();
    ready_.clear();
}

} // namespace rattan
