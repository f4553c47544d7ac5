/** @file Limit on the bytes that a process holds for others. */
#pragma once

#include <cstddef>
#include <memory>

namespace rattan {

/**
 * Counts the bytes of all buffers of one kind, such as request bodies. Copies
 * share their count. Not thread-safe, like all classes of the event loop.
 */
class caller_budget {
public:
    /** Buffers up to this size may also use the last quarter of the budget. */
    static constexpr std::size_t SMALL_BYTES = 16U << 10U;

    /** @param limit Bytes; 0: no limit. */
    explicit caller_budget(std::size_t limit = 0) : limit_(limit) {}

    /**
     * Adds bytes for a buffer. Large buffers may not use the last quarter of
     * the budget, so that they do not shut out small requests.
     * @param buffer_bytes Size of the whole buffer after this.
     * @return False, and nothing is added, if the limit would be exceeded.
     */
    [[nodiscard]] bool add(std::size_t bytes, std::size_t buffer_bytes);

    /** @pre The bytes have been added. */
    void remove(std::size_t bytes) { *used_ -= bytes; }

    [[nodiscard]] std::size_t limit() const { return limit_; }
    [[nodiscard]] std::size_t used() const { return *used_; }

private:
    std::size_t limit_;
    std::shared_ptr<std::size_t> used_ = std::make_shared<std::size_t>(0);
};

} // namespace rattan
