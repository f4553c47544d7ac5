/** @file Median of the newest samples of a series. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace rattan::dispatch {

/**
 * Median of the newest samples. It follows changes within a window and ignores
 * a heavy tail. Samples are whole numbers, so that the result is the same on
 * every processor.
 */
class running_median {
public:
    /** @param initial Samples that count until newer ones replace them. */
    explicit running_median(std::vector<std::int64_t> initial = {});

    void add(std::int64_t sample);

    /** The lower of two middle samples; 0 without any sample. */
    [[nodiscard]] std::int64_t value() const { return value_; }

private:
    void update();

    std::vector<std::int64_t> samples_; ///< Ring of the newest samples.
    std::size_t oldest_ = 0;
    std::int64_t value_ = 0;
};

} // namespace rattan::dispatch
