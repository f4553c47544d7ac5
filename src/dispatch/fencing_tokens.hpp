/** @file Fencing tokens of one owner. */
#pragma once

#include <cstdint>

namespace rattan::dispatch {

/**
 * Fencing tokens that each claim of the ownership reserves. The epoch of the
 * claim is the last one of them, so all tokens of a later owner are higher.
 */
constexpr std::int64_t TOKENS_PER_CLAIM = 100'000'000;

/** Issues the fencing tokens of an owner. */
class fencing_tokens {
public:
    explicit fencing_tokens(std::int64_t epoch)
        : last_issued_(epoch - TOKENS_PER_CLAIM), last_(epoch) {}

    /** Returns a token higher than all before; the last one when exhausted. */
    std::int64_t next() { return exhausted() ? last_ : ++last_issued_; }

    /** Tells whether the last token of the owner has been issued. */
    [[nodiscard]] bool exhausted() const { return last_issued_ == last_; }

private:
    std::int64_t last_issued_;
    std::int64_t last_;
};

} // namespace rattan::dispatch
