/** @file Bounds retries to a fraction of the load. */
#pragma once

namespace rattan {

/**
 * Each first attempt earns a fraction of a retry. When most attempts fail,
 * retries add only this fraction to the load instead of doubling it.
 */
class retry_budget {
public:
    /**
     * @param ratio Retries per first attempt, from 0 to 1.
     * @param max_balance Retries that can be saved up.
     */
    retry_budget(double ratio, double max_balance)
        : ratio_(ratio), max_balance_(max_balance) {}

    /** Counts a first attempt. */
    void earn() {
        balance_ += ratio_;
        if (balance_ > max_balance_)
            balance_ = max_balance_;
    }

    /** Takes a retry. @return False when none is left. */
    bool spend() {
        if (balance_ < 1)
            return false;
        balance_ -= 1;
        return true;
    }

private:
    double ratio_;
    double max_balance_;
    double balance_ = 0;
};

} // namespace rattan
