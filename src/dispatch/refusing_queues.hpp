/** @file Which queues refuse jobs, for the log. */
#pragma once

#include "dispatch/dispatch_type.hpp"

#include <map>
#include <vector>

namespace rattan::dispatch {

/** Tells when queues start to refuse and when they stop. */
class refusing_queues {
public:
    /** A job was refused. @return True if its queue starts to refuse. */
    bool refused(const queue_id& queue, mono_time now);
    /** Returns the queues that have stopped refusing. */
    std::vector<queue_id> stopped(mono_time now);

private:
    std::map<queue_id, mono_time> last_refused_;
};

} // namespace rattan::dispatch
