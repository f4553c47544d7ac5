/** @file Splits records into batches that the store accepts. */
#pragma once

#include "platform/store_client.hpp"

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace rattan::front {

/** Limits of the store. */
struct append_limits {
    std::size_t record_bytes = 0; ///< 0: no limit.
    std::size_t append_bytes = 0; ///< 0: no limit.
};

/** Size of a record in the body of an append. */
std::size_t stored_bytes(const platform::keyed_record& record);

/** Outcome of `split_batch`. */
struct split_records {
    /** Batches in the order of their records. */
    std::deque<std::vector<platform::keyed_record>> batches;
    std::vector<std::string> oversized; ///< Keys of records over the limit.
};

/** Splits records into batches within the limits. */
split_records split_batch(std::vector<platform::keyed_record> records,
                          const append_limits& limits);

} // namespace rattan::front
