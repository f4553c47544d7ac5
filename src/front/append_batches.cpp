#include "front/append_batches.hpp"

#include <utility>

namespace rattan::front {

namespace {

constexpr std::size_t LENGTH_BYTES = 4; ///< Precedes each record.
constexpr std::size_t KEY_LENGTH_BYTES = 1;
/** Left free for the stamp of a record. */
constexpr std::size_t STAMP_BYTES = 64;

} // namespace

std::size_t stored_bytes(const platform::keyed_record& record) {
    return LENGTH_BYTES + KEY_LENGTH_BYTES + record.key.size() +
           record.value.size();
}

split_records split_batch(std::vector<platform::keyed_record> records,
                          const append_limits& limits) {
    split_records out;
    std::size_t batch_bytes = 0;
    for (platform::keyed_record& record : records) {
        const std::size_t bytes = stored_bytes(record) + STAMP_BYTES;
        if (limits.record_bytes > 0 && bytes > limits.record_bytes) {
            out.oversized.push_back(std::move(record.key));
            continue;
        }
        const bool full = limits.append_bytes > 0 &&
                          batch_bytes + bytes > limits.append_bytes;
        if (out.batches.empty() || full) {
            out.batches.emplace_back();
            batch_bytes = 0;
        }
        batch_bytes += bytes;
        out.batches.back().push_back(std::move(record));
    }
    return out;
}

} // namespace rattan::front
