#include "fleet_target.hpp"

#include "net/program_runtime.hpp"

#include <algorithm>

namespace rattan::standin {

using nlohmann::json;

namespace {

constexpr millis TICK{5};
constexpr std::int64_t MEMORY_MIB = 1 << 20;
constexpr std::int64_t LONGEST_LEASE_MS = 6'000;

} // namespace

fleet_target::fleet_target(event_loop& loop, std::string id,
                           const std::string& address, std::int64_t milli_cores,
                           fleet_audit& audit)
    : id_(std::move(id)), address_(address), milli_cores_(milli_cores),
      audit_(audit), born_(wall_millis()),
      http_(loop, address, {.connections = 200},
            [this](const http_request& request, http_server::responder answer) {
                handle(request, std::move(answer));
            }) {
    loop.every(TICK, [this] { tick(); });
}

std::int64_t fleet_target::clock() const {
    return event_loop::now().time_since_epoch().count();
}

std::string fleet_target::entry() const {
    return json({{"service", "pool"},
                 {"address", address_},
                 {"zone", "dc1"},
                 {"state", "ready"},
                 {"born", born_},
                 {"capacity",
                  {{"cpu", milli_cores_}, {"memMb", MEMORY_MIB}, {"gpu", 0}}},
                 {"labels", {"a", "r1-1"}}})
        .dump();
}

http_response fleet_target::refuse(const std::string& reason) const {
    return {.status = 409,
            .body = json({{"reason", reason}, {"clockMs", clock()}}).dump()};
}

void fleet_target::handle(const http_request& request,
                          http_server::responder answer) {
    if (silent_) {
        lost_.push_back(std::move(answer));
        return;
    }
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return answer({.status = 400, .body = "{}"});
    const auto fence = body.value("fencingToken", std::int64_t{0});
    if (fence < fence_)
        return answer(refuse("fence"));
    fence_ = fence;
    if (request.path == "/-/run-start")
        return answer(start(body));
    if (request.path == "/-/run-stop")
        return answer(stop(body));
    if (request.path == "/-/hold")
        return look(body, std::move(answer));
    answer({.status = 404, .body = "{}"});
}

http_response fleet_target::start(const json& body) {
    const std::string task = body.at("task").get<std::string>();
    const auto number = body.at("run").get<std::int64_t>();
    const auto until = body.at("untilMs").get<std::int64_t>();
    const http_response good{.body = json({{"clockMs", clock()}}).dump()};
    if (until <= clock())
        return refuse("late");
    until_ = std::max(until_, std::min(until, clock() + LONGEST_LEASE_MS));
    const auto present = runs_.find(task);
    if (present != runs_.end() && present->second.number == number)
        return good;
    if (present != runs_.end() || closed_[task] >= number)
        return refuse("old");
    ++audit_.starts;
    if (audit_.done.contains(task))
        ++audit_.after_done;
    if (++audit_.present[task] > 1)
        ++audit_.two_places;
    const std::string payload = body.value("taskSpec", "");
    const std::int64_t takes =
        payload.starts_with("ms=") ? std::stoll(payload.substr(3)) : 0;
    runs_[task] = {number, takes == 0 ? 0 : clock() + takes};
    constexpr std::int64_t TASK_CORES = 1000; ///< Of every job of the tests.
    if (static_cast<std::int64_t>(runs_.size()) * TASK_CORES > milli_cores_)
        ++audit_.overcommitted;
    return good;
}

http_response fleet_target::stop(const json& body) {
    const std::string task = body.at("task").get<std::string>();
    const auto number = body.at("run").get<std::int64_t>();
    closed_[task] = std::max(closed_[task], number);
    const auto present = runs_.find(task);
    if (present != runs_.end() && present->second.number <= number)
        end(task, "stopped");
    return {.body = json({{"clockMs", clock()}}).dump()};
}

void fleet_target::look(const json& body, http_server::responder answer) {
    const auto until = body.value("untilMs", std::int64_t{0});
    until_ = std::max(until_, std::min(until, clock() + LONGEST_LEASE_MS));
    const auto seen = body.value("lastSeen", std::int64_t{0});
    std::erase_if(ended_, [&](const json& row) {
        return row.at(0).get<std::int64_t>() <= seen;
    });
    const auto wait = body.value("waitMs", std::int64_t{0});
    if (!ended_.empty() || wait == 0)
        return answer(list());
    looks_.push_back({std::move(answer), clock() + wait});
}

http_response fleet_target::list() const {
    json running = json::array();
    for (const auto& [task, present] : runs_)
        running.push_back({task, present.number, "", 100, 0});
    return {.body = json({{"clockMs", clock()},
                          {"born", born_},
                          {"running", running},
                          {"finished", ended_}})
                        .dump()};
}

void fleet_target::end(const std::string& task, const std::string& how) {
    const std::int64_t number = runs_.at(task).number;
    runs_.erase(task);
    --audit_.present[task];
    if (how == "done")
        ++audit_.done[task];
    closed_[task] = std::max(closed_[task], number);
    ended_.push_back({++last_end_, task, number, how, ""});
}

void fleet_target::tick() {
    std::vector<std::string> over;
    const bool lapsed = clock() > until_;
    for (const auto& [task, present] : runs_)
        if (lapsed || (present.ends_ms != 0 && clock() >= present.ends_ms))
            over.push_back(task);
    for (const std::string& task : over)
        end(task, lapsed ? "lapsed" : "done");
    for (auto at = looks_.begin(); at != looks_.end();) {
        if (ended_.empty() && clock() < at->until_ms) {
            ++at;
            continue;
        }
        if (!silent_)
            at->answer(list());
        at = looks_.erase(at);
    }
}

} // namespace rattan::standin
