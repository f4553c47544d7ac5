#include "placer/order_codec.hpp"

#include <xxhash.h>

#include <algorithm>

namespace rattan {

std::string listing_digest(std::vector<listed_task> tasks) {
    std::sort(tasks.begin(), tasks.end(),
              [](const listed_task& a, const listed_task& b) {
                  return a.task < b.task;
              });
    std::string text;
    for (const listed_task& entry : tasks) {
        text += entry.task.job.value;
        text += '/' + std::to_string(entry.task.index) + '/' +
                std::to_string(static_cast<int>(entry.state)) + '\n';
    }
    return std::to_string(XXH3_64bits(text.data(), text.size()));
}

} // namespace rattan
