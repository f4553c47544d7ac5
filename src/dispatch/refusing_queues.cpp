#include "dispatch/refusing_queues.hpp"

namespace rattan::dispatch {

namespace {

/** A queue has stopped when it has refused nothing for so long. */
constexpr millis QUIET_TIME{5000};

} // namespace

bool refusing_queues::refused(const queue_id& queue, mono_time now) {
    return last_refused_.insert_or_assign(queue, now).second;
}

std::vector<queue_id> refusing_queues::stopped(mono_time now) {
    std::vector<queue_id> out;
    for (const auto& [queue, at] : last_refused_)
        if (now - at > QUIET_TIME)
            out.push_back(queue);
    for (const queue_id& queue : out)
        last_refused_.erase(queue);
    return out;
}

} // namespace rattan::dispatch
