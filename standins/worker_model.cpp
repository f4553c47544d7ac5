#include "worker_model.hpp"

#include "placer/order_codec.hpp"

#include <algorithm>

namespace rattan::standin {

namespace {

/** Value of a setting in a payload, as in `run_ms=40`. */
std::int64_t payload_number(const std::string& payload, const std::string& name,
                            std::int64_t fallback) {
    const size_t at = payload.find(name + "=");
    if (at == std::string::npos)
        return fallback;
    return std::atoll(payload.c_str() + at + name.size() + 1);
}

/** The larger value of each component. */
resources component_max(const resources& a, const resources& b) {
    return {std::max(a.milli_cores, b.milli_cores),
            std::max(a.memory_mib, b.memory_mib),
            std::max(a.accelerators, b.accelerators)};
}

} // namespace

void auditor::started(const task_ref& task,
                      const organisation_name& organisation,
                      const resources& shape) {
    ++starts[task];
    if (++running[task] > 1)
        ++two_places;
    in_use[organisation] += shape;
    peak_in_use[organisation] =
        component_max(peak_in_use[organisation], in_use[organisation]);
}

void auditor::ended(const task_ref& task, const organisation_name& organisation,
                    const resources& shape, bool done) {
    if (--running[task] == 0)
        running.erase(task);
    in_use[organisation] -= shape;
    if (done)
        ++completions[task];
}

void auditor::check_capacity(const resources& held, const resources& owned) {
    if (!held.fits_in(owned))
        ++overcommitted;
}

worker_model::worker_model(worker_options initial_options, auditor& audit)
    : options(std::move(initial_options)), audit_(audit) {}

std::int64_t worker_model::clock_ms(std::int64_t now_ms) const {
    return static_cast<std::int64_t>(static_cast<double>(now_ms) *
                                     options.clock_rate) +
           1;
}

resources worker_model::held() const {
    resources total;
    for (const auto& [task, each] : tasks_)
        total += each.order.shape;
    return total;
}

std::vector<listed_task> worker_model::listing() const {
    std::vector<listed_task> list;
    for (const auto& [task, each] : tasks_)
        list.push_back(
            {task, each.order.organisation, each.order.shape, each.state});
    return list;
}

size_t worker_model::running() const {
    return static_cast<size_t>(
        std::count_if(tasks_.begin(), tasks_.end(), [](const auto& entry) {
            return entry.second.state == worker_task_state::running;
        }));
}

worker_answer worker_model::handle_order(const worker_order& order,
                                         std::int64_t now_ms) {
    advance_to(now_ms);
    worker_answer answer;
    answer.instance = options.instance;
    answer.clock_ms = clock_ms(now_ms);
    if (order.instance != 0 && order.instance != options.instance) {
        answer.verdict = order_verdict::replaced;
    } else if (order.owner < highest_epoch_) {
        answer.verdict = order_verdict::fenced;
    } else if (order.owner == highest_epoch_ && order.sequence != 0 &&
               order.sequence <= sequence_) {
        answer.verdict = order_verdict::overtaken;
    } else {
        if (order.owner > highest_epoch_)
            sequence_ = 0;
        highest_epoch_ = order.owner;
        lease_end_ms_ = std::max(lease_end_ms_, order.lease_until_ms);
        if (order.sequence != 0) {
            sequence_ = order.sequence;
            apply_order(order, now_ms);
        }
    }
    answer.fence = highest_epoch_;
    const auto list = listing();
    answer.listing = listing_digest(list);
    answer.same_listing =
        !order.known_listing.empty() && order.known_listing == answer.listing;
    if (!answer.same_listing)
        answer.tasks = list;
    answer.events = events_;
    return answer;
}

void worker_model::apply_order(const worker_order& order, std::int64_t now_ms) {
    std::erase_if(events_, [&](const task_event& event) {
        return event.number <= order.seen_event;
    });
    for (const task_ref& task : order.stop)
        end_task(task, task_outcome::stopped);
    for (const task_ref& task : order.checkpoint)
        end_task(task, task_outcome::stopped);
    // An order that arrives after the end of its own lease starts nothing.
    const bool order_expired = order.lease_until_ms <= clock_ms(now_ms);
    for (const task_order& task : order.prepare)
        if (order_expired)
            events_.push_back(
                {next_event_++, task.task, task_outcome::refused});
        else
            accept_task(task, false, now_ms);
    for (const task_order& task : order.start)
        if (order_expired)
            events_.push_back(
                {next_event_++, task.task, task_outcome::refused});
        else
            accept_task(task, true, now_ms);
}

void worker_model::accept_task(const task_order& order, bool start,
                               std::int64_t now_ms) {
    const auto found = tasks_.find(order.task);
    if (found == tasks_.end())
        tasks_[order.task] = {.order = order};
    held_task& task = tasks_[order.task];
    audit_.check_capacity(held(), options.owned);
    if (!start || task.state != worker_task_state::prepared)
        return;
    task.state = worker_task_state::running;
    const std::int64_t run_ms =
        payload_number(order.payload, "run_ms", order.run_ms);
    task.will_fail = options.fail_all_tasks ||
                     order.payload.find("fail") != std::string::npos;
    task.end_ms = task.will_fail ? now_ms + 1
                  : run_ms > 0   ? now_ms + run_ms
                                 : 0;
    ++starts;
    audit_.started(order.task, task.order.organisation, task.order.shape);
}

void worker_model::end_task(const task_ref& task, task_outcome outcome) {
    const auto found = tasks_.find(task);
    if (found == tasks_.end())
        return;
    const held_task ended = found->second;
    tasks_.erase(found);
    if (ended.state == worker_task_state::running)
        audit_.ended(task, ended.order.organisation, ended.order.shape,
                     outcome == task_outcome::done);
    events_.push_back({next_event_++, task, outcome});
}

void worker_model::advance_to(std::int64_t now_ms) {
    const auto tasks = tasks_;
    const bool lease_expired = clock_ms(now_ms) >= lease_end_ms_;
    for (const auto& [task, each] : tasks) {
        if (each.state == worker_task_state::running && each.end_ms > 0 &&
            each.end_ms <= now_ms)
            end_task(task, each.will_fail ? task_outcome::failed
                                          : task_outcome::done);
        else if (lease_expired)
            end_task(task, task_outcome::lapsed);
    }
}

void worker_model::restart(std::int64_t) {
    for (const auto& [task, each] : tasks_)
        if (each.state == worker_task_state::running)
            audit_.ended(task, each.order.organisation, each.order.shape,
                         false);
    tasks_.clear();
    events_.clear();
    highest_epoch_ = {};
    sequence_ = 0;
    lease_end_ms_ = 0;
    next_event_ = 1;
    ++options.instance;
}

} // namespace rattan::standin
