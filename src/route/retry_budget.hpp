/** @file Bounds repeats to a part of the load. */
#pragma once

namespace rattan {

/**
 * Each first attempt earns a part of a repeat. When much fails, repeats stay
 * that part of the load instead of doubling it.
 */
class retry_budget {
public:
    /**
     * @param ratio Repeats for each first attempt, from 0 to 1.
     * @param most Repeats that can be saved up.
     */
    retry_budget(double ratio, double most) : ratio_(ratio), most_(most) {}

    /** Counts a first attempt. */
    void earn() {
        balance_ += ratio_;
        if (balance_ > most_)
            balance_ = most_;
    }

    /** Takes a repeat. @return False when there is none left. */
    bool spend() {
        if (balance_ < 1)
            return false;
        balance_ -= 1;
        return true;
    }

private:
    double ratio_;
    double most_;
    double balance_ = 0;
};

} // namespace rattan
