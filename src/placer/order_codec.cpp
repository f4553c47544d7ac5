#include "placer/order_codec.hpp"

#include <xxhash.h>

#include <algorithm>

namespace rattan {

using nlohmann::json;

void to_json(json& out, const task_order& order) {
    out["task"] = order.task;
    out["team"] = order.organisation;
    out["shape"] = order.shape;
    out["run_ms"] = order.run_ms;
    out["payload"] = order.payload;
}

void from_json(const json& in, task_order& order) {
    in.at("task").get_to(order.task);
    in.at("team").get_to(order.organisation);
    in.at("shape").get_to(order.shape);
    in.at("run_ms").get_to(order.run_ms);
    in.at("payload").get_to(order.payload);
}

void to_json(json& out, const listed_task& listed) {
    out["task"] = listed.task;
    out["team"] = listed.organisation;
    out["shape"] = listed.shape;
    out["state"] = listed.state;
}

void from_json(const json& in, listed_task& listed) {
    in.at("task").get_to(listed.task);
    in.at("team").get_to(listed.organisation);
    in.at("shape").get_to(listed.shape);
    in.at("state").get_to(listed.state);
}

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
