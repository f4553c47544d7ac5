#include "net/caller_budget.hpp"

namespace rattan {

bool caller_budget::add(std::size_t bytes, std::size_t buffer_bytes) {
    const std::size_t available =
        buffer_bytes > SMALL_BYTES ? limit_ - limit_ / 4 : limit_;
    if (limit_ > 0 && (*used_ > available || bytes > available - *used_))
        return false;
    *used_ += bytes;
    return true;
}

} // namespace rattan
