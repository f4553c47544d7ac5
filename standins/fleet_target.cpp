#include "fleet_target.hpp"

#include "net/program_runtime.hpp"

#include <algorithm>
#include <utility>

namespace rattan::standin {

using nlohmann::json;

namespace {

constexpr millis TICK_PERIOD{5};
constexpr std::int64_t MEMORY_MIB = 1 << 20;
constexpr std::int64_t MAX_LEASE_MS = 6'000;

} // namespace

fleet_target::fleet_target(event_loop& loop, std::string id,
                           const std::string& address, std::int64_t milli_cores,
                           fleet_audit& audit)
    : id_(std::move(id)), address_(address), milli_cores_(milli_cores),
      audit_(audit), started_ms_(wall_millis()),
      http_(loop, address, {.connections = 200},
            [this](const http_request& request, http_server::responder answer) {
                handle(request, std::move(answer));
            }) {
    loop.every(TICK_PERIOD, [this, alive = std::weak_ptr(alive_)] {
        if (!alive.expired())
            tick();
    });
}

fleet_target::~fleet_target() {
    for (const auto& [task, run] : runs_)
        --audit_.present[task];
}

std::int64_t fleet_target::clock_ms() const {
    return event_loop::now().time_since_epoch().count();
}

std::string fleet_target::entry() const {
    return json({{"service", "pool"},
                 {"address", address_},
                 {"zone", "dc1"},
                 {"state", "ready"},
                 {"born", started_ms_},
                 {"capacity",
                  {{"cpu", milli_cores_}, {"memMb", MEMORY_MIB}, {"gpu", 0}}},
                 {"labels", {"a", "r1-1"}}})
        .dump();
}

http_response fleet_target::refuse(const std::string& reason) const {
    return {.status = 409,
            .body = json({{"reason", reason}, {"clockMs", clock_ms()}}).dump()};
}

void fleet_target::handle(const http_request& request,
                          http_server::responder answer) {
    if (silent_) {
        unanswered_.push_back(std::move(answer));
        return;
    }
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return answer({.status = 400, .body = "{}"});
    const bool start_order = request.path == "/-/run-start";
    if (start_order && std::exchange(hold_next_start_, false)) {
        held_start_ = request.body;
        unanswered_.push_back(std::move(answer));
        return;
    }
    if (!accept_token(body))
        return answer(refuse("fence"));
    if (start_order)
        return answer(start(body));
    if (request.path == "/-/run-stop")
        return answer(stop(body));
    if (request.path == "/-/hold")
        return poll(body, std::move(answer));
    answer({.status = 404, .body = "{}"});
}

bool fleet_target::accept_token(const json& body) {
    const auto token = body.value("fencingToken", std::int64_t{0});
    if (token < highest_token_)
        return false;
    highest_token_ = token;
    return true;
}

void fleet_target::start_late(const std::string& body) {
    const json order = json::parse(body);
    if (accept_token(order))
        start(order);
}

http_response fleet_target::start(const json& body) {
    const std::string task = body.at("task").get<std::string>();
    const auto run_number = body.at("run").get<std::int64_t>();
    const auto lease_end_ms = body.at("untilMs").get<std::int64_t>();
    const http_response accepted{.body =
                                     json({{"clockMs", clock_ms()}}).dump()};
    if (lease_end_ms <= clock_ms())
        return refuse("late");
    lease_end_ms_ = std::max(lease_end_ms_,
                             std::min(lease_end_ms, clock_ms() + MAX_LEASE_MS));
    const auto current = runs_.find(task);
    if (current != runs_.end() && current->second.run_number == run_number)
        return accepted;
    if (current != runs_.end() || highest_ended_run_[task] >= run_number)
        return refuse("old");
    ++audit_.starts;
    audit_.last_start_target = id_;
    if (audit_.done.contains(task))
        ++audit_.after_done;
    if (++audit_.present[task] > 1)
        ++audit_.two_places;
    const std::string payload = body.value("taskSpec", "");
    const std::int64_t duration_ms =
        payload.starts_with("ms=") ? std::stoll(payload.substr(3)) : 0;
    runs_[task] = {run_number, duration_ms == 0 ? 0 : clock_ms() + duration_ms};
    // Every job of the tests asks for one core per task.
    constexpr std::int64_t MILLI_CORES_PER_TASK = 1000;
    if (static_cast<std::int64_t>(runs_.size()) * MILLI_CORES_PER_TASK >
        milli_cores_)
        ++audit_.overcommitted;
    return accepted;
}

http_response fleet_target::stop(const json& body) {
    const std::string task = body.at("task").get<std::string>();
    const auto run_number = body.at("run").get<std::int64_t>();
    highest_ended_run_[task] = std::max(highest_ended_run_[task], run_number);
    const auto current = runs_.find(task);
    if (current != runs_.end() && current->second.run_number <= run_number)
        end_run(task, "stopped");
    return {.body = json({{"clockMs", clock_ms()}}).dump()};
}

void fleet_target::poll(const json& body, http_server::responder answer) {
    const auto lease_end_ms = body.value("untilMs", std::int64_t{0});
    lease_end_ms_ = std::max(lease_end_ms_,
                             std::min(lease_end_ms, clock_ms() + MAX_LEASE_MS));
    const auto acknowledged = body.value("lastSeen", std::int64_t{0});
    std::erase_if(ended_runs_, [&](const json& row) {
        return row.at(0).get<std::int64_t>() <= acknowledged;
    });
    const auto wait = body.value("waitMs", std::int64_t{0});
    if (!ended_runs_.empty() || wait == 0)
        return answer(list());
    waiting_polls_.push_back({std::move(answer), clock_ms() + wait});
}

http_response fleet_target::list() const {
    json running = json::array();
    for (const auto& [task, run] : runs_)
        running.push_back({task, run.run_number, "", 100, 0});
    return {.body = json({{"clockMs", clock_ms()},
                          {"born", started_ms_},
                          {"running", running},
                          {"finished", ended_runs_}})
                        .dump()};
}

void fleet_target::end_run(const std::string& task,
                           const std::string& outcome) {
    const std::int64_t run_number = runs_.at(task).run_number;
    runs_.erase(task);
    --audit_.present[task];
    if (outcome == "done")
        ++audit_.done[task];
    highest_ended_run_[task] = std::max(highest_ended_run_[task], run_number);
    ended_runs_.push_back(
        {++last_event_number_, task, run_number, outcome, ""});
}

void fleet_target::tick() {
    std::vector<std::string> finished;
    const bool lease_expired = clock_ms() > lease_end_ms_;
    for (const auto& [task, run] : runs_)
        if (lease_expired || (run.end_ms != 0 && clock_ms() >= run.end_ms))
            finished.push_back(task);
    for (const std::string& task : finished)
        end_run(task, lease_expired ? "lapsed" : "done");
    for (auto at = waiting_polls_.begin(); at != waiting_polls_.end();) {
        if (ended_runs_.empty() && clock_ms() < at->timeout_at_ms) {
            ++at;
            continue;
        }
        if (!silent_)
            at->answer(list());
        at = waiting_polls_.erase(at);
    }
}

} // namespace rattan::standin
