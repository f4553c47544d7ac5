#include "dispatch/partition_func.hpp"

#include <algorithm>

namespace rattan::dispatch {

namespace {

constexpr int MIN_JOB_PARTITIONS = 8;
constexpr double WRITES_PER_PARTITION = 100; ///< Of the store's limit, 1/s.

} // namespace

int job_partition_count(int available, double writes_per_s) {
    const double wanted = writes_per_s / WRITES_PER_PARTITION;
    return std::min(
        available,
        std::max(MIN_JOB_PARTITIONS,
                 static_cast<int>(std::min<double>(wanted, available))));
}

} // namespace rattan::dispatch
