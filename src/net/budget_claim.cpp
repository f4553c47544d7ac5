#include "net/budget_claim.hpp"

#include <algorithm>

namespace rattan {

namespace {

constexpr std::size_t MIN_CAPACITY = 1024;

} // namespace

bool budget_claim::grow(std::size_t bytes) {
    if (bytes <= bytes_)
        return true;
    if (!budget_.add(bytes - bytes_, bytes))
        return false;
    bytes_ = bytes;
    return true;
}

void budget_claim::shrink(std::size_t bytes) {
    if (bytes >= bytes_)
        return;
    budget_.remove(bytes_ - bytes);
    bytes_ = bytes;
}

bool budget_claim::reserve(std::string& buffer, std::size_t bytes) {
    if (!grow(bytes))
        return false;
    buffer.reserve(bytes);
    return true;
}

bool budget_claim::append(std::string& buffer, const char* data,
                          std::size_t size, std::size_t max_bytes,
                          std::size_t free_bytes) {
    const std::size_t needed = buffer.size() + size;
    if (needed > buffer.capacity()) {
        // The last step goes to the limit, so that the old and the new buffer
        // never take more than 1.75 times the limit together.
        std::size_t capacity =
            max_bytes <= 2 * needed
                ? std::max(needed, max_bytes)
                : std::max(needed + needed / 2, MIN_CAPACITY);
        if (needed <= free_bytes)
            capacity = std::min(capacity, free_bytes);
        const std::size_t counted =
            capacity > free_bytes ? capacity - free_bytes : 0;
        if (counted > 0 && !grow(bytes_ + counted))
            return false;
        // A string that has bytes may reserve more than what it is asked for.
        std::string grown;
        grown.reserve(capacity);
        grown.append(buffer);
        buffer.swap(grown);
        shrink(counted);
    }
    buffer.append(data, size);
    return true;
}

} // namespace rattan
