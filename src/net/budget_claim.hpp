/** @file The part of a budget that one buffer uses. */
#pragma once

#include "net/caller_budget.hpp"

#include <string>

namespace rattan {

/** Bytes of a budget, given back on destruction. */
class budget_claim {
public:
    /** @param budget None: nothing is limited. Its count is shared. */
    explicit budget_claim(const caller_budget* budget)
        : budget_(budget != nullptr ? *budget : caller_budget()) {}
    ~budget_claim() { shrink(0); }
    budget_claim(const budget_claim&) = delete;
    budget_claim& operator=(const budget_claim&) = delete;

    /** @return False, and nothing changes, if the budget is exhausted. */
    [[nodiscard]] bool grow(std::size_t bytes);

    /** Gives back all bytes beyond `bytes`. */
    void shrink(std::size_t bytes);

    /**
     * Appends to a buffer whose capacity this claim counts. The buffer grows
     * by half of its size, and the claim covers both copies meanwhile.
     * @param max_bytes Limit on the capacity; the result must not be longer.
     * @param free_bytes Capacity that is not counted.
     * @return False, and nothing changes, if the budget is exhausted.
     */
    [[nodiscard]] bool append(std::string& buffer, const char* data,
                              std::size_t size, std::size_t max_bytes,
                              std::size_t free_bytes = 0);

    /**
     * Reserves the capacity of an empty buffer.
     * @return False, and nothing changes, if the budget is exhausted.
     */
    [[nodiscard]] bool reserve(std::string& buffer, std::size_t bytes);

    [[nodiscard]] std::size_t bytes() const { return bytes_; }

private:
    caller_budget budget_;
    std::size_t bytes_ = 0;
};

} // namespace rattan
