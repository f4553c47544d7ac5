#include "route/check_queue.hpp"

#include <algorithm>

namespace rattan {

namespace {

constexpr size_t MAX_QUEUED_CHECKS = 20'000;
constexpr double SMOOTHING = 0.05; ///< Weight of the newest service time.
constexpr double MICROS_PER_MILLI = 1'000;

} // namespace

push_result check_queue::push(const queued_check& check, std::int64_t slots,
                              mono_time now) {
    if (size_ >= MAX_QUEUED_CHECKS)
        return push_result::full;
    const double wait_ms =
        static_cast<double>(size_) * service_micros_ / MICROS_PER_MILLI /
        static_cast<double>(std::max<std::int64_t>(slots, 1));
    const auto left = static_cast<double>((check.deadline - now).count());
    if (slots > 0 && size_ > static_cast<size_t>(slots) && wait_ms > left)
        return push_result::too_late;
    queues_[check.organisation].push_back(check);
    ++size_;
    return push_result::queued;
}

std::optional<queued_check>
check_queue::pop(const organisation_filter& may_run,
                 const organisation_weight& weight) {
    std::deque<queued_check>* best = nullptr;
    double best_load = 0;
    for (auto& [organisation, queue] : queues_) {
        if (queue.empty() || !may_run(organisation))
            continue;
        const double load = static_cast<double>(running_[organisation]) /
                            static_cast<double>(weight(organisation));
        if (best != nullptr && load >= best_load)
            continue;
        best = &queue;
        best_load = load;
    }
    if (best == nullptr)
        return std::nullopt;
    const queued_check check = best->front();
    best->pop_front();
    --size_;
    ++running_[check.organisation];
    if (best->empty())
        queues_.erase(check.organisation);
    return check;
}

void check_queue::put_back(const queued_check& check) {
    queues_[check.organisation].push_front(check);
    ++size_;
    --running_[check.organisation];
}

std::vector<queued_check> check_queue::expire(mono_time now) {
    std::vector<queued_check> expired;
    for (auto& [organisation, queue] : queues_)
        std::erase_if(queue, [&](const queued_check& check) {
            if (check.deadline > now)
                return false;
            expired.push_back(check);
            return true;
        });
    std::erase_if(queues_,
                  [](const auto& entry) { return entry.second.empty(); });
    size_ -= expired.size();
    return expired;
}

void check_queue::finished(const organisation_name& organisation,
                           std::int64_t service_micros) {
    const auto found = running_.find(organisation);
    if (found != running_.end() && --found->second <= 0)
        running_.erase(found);
    service_micros_ = service_micros_ * (1 - SMOOTHING) +
                      static_cast<double>(service_micros) * SMOOTHING;
}

std::map<organisation_name, std::int64_t> check_queue::waiting() const {
    std::map<organisation_name, std::int64_t> counts;
    for (const auto& [organisation, queue] : queues_)
        counts[organisation] = static_cast<std::int64_t>(queue.size());
    return counts;
}

} // namespace rattan
