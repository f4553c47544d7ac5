#include "dispatch/expected_wait.hpp"

#include <algorithm>

namespace rattan::dispatch {

millis expected_waits::wait_of(const queue_id& queue,
                               const organisation_id& organisation) const {
    millis out{0};
    const bool over = std::find(over_rate.begin(), over_rate.end(),
                                organisation) != over_rate.end();
    for (const queue_wait& row : queues)
        if (row.queue == queue)
            out = std::max(
                out,
                (over ? row.over_rate_wait : row.wait).value_or(millis(0)));
    for (const organisation_wait& row : organisations)
        if (row.queue == queue && row.organisation == organisation)
            out = std::max(out, row.wait);
    return out;
}

} // namespace rattan::dispatch
