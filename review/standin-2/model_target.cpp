#include "model_target.hpp"

#include <algorithm>

namespace review {

using nlohmann::json;

namespace {

constexpr millis TICK_PERIOD{2};
/** The way there and back between zones, 1.4 ms each. */
constexpr millis ROUND_TRIP{3};
const std::string INSTANCE_HEADER = "X-Rattanknot-Target-Instance";

} // namespace

model_target::model_target(event_loop& loop, recorder& record, std::string id,
                           std::string address, std::string zone,
                           std::int64_t milli_cores, std::int64_t memory_mib,
                           plan_lookup plan)
    : loop_(loop), record_(record), id_(std::move(id)),
      address_(std::move(address)), zone_(std::move(zone)),
      milli_cores_(milli_cores), memory_mib_(memory_mib),
      plan_(std::move(plan)) {
    start_again();
    loop_.every(TICK_PERIOD, [this] { tick(); });
}

std::int64_t model_target::clock_ms() const {
    // A steady clock that begins near 0 in each process.
    return 1000 + (event_loop::now() - started_).count();
}

std::string model_target::entry() const {
    return json({{"service", "pool"},
                 {"address", address_},
                 {"zone", zone_},
                 {"configVersion", 1},
                 {"slots", 8},
                 {"state", "ready"},
                 {"coldLeftMs", 0},
                 {"seq", clock_ms()},
                 {"born", born_},
                 {"capacity",
                  {{"cpu", milli_cores_}, {"memMb", memory_mib_}, {"gpu", 0}}},
                 {"labels", {"a", "r1-1"}}})
        .dump();
}

void model_target::add_event(target_event::kind what, const std::string& task,
                             std::int64_t run, const std::string& how,
                             std::int64_t sequence, std::int64_t milli_cores) {
    record_.add({.what = what,
                 .at_ms = unix_ms(),
                 .target = id_,
                 .born = born_,
                 .task = task,
                 .run = run,
                 .how = how,
                 .sequence = sequence,
                 .milli_cores = milli_cores});
}

void model_target::crash() {
    if (!up())
        return;
    waiting_.clear();
    unanswered_.clear();
    server_.reset();
    add_event(target_event::kind::crash);
    runs_.clear();
    highest_ended_.clear();
    ended_.clear();
    last_end_ = 0;
    last_seen_ = 0;
    token_ = 0;
    lease_end_ms_ = 0;
    lapsed_ = true;
    held_at_ms_ = 0;
}

void model_target::start_again() {
    born_ = unix_ms();
    started_ = event_loop::now();
    serve();
    record_.note("target " + id_ + " begins, born " + std::to_string(born_));
}

void model_target::serve() {
    const auto serve_one = [this](const http_request& request,
                                  const http_server::responder& answer) {
        handle(request, [this, answer](const http_response& response) {
            loop_.after(ROUND_TRIP, [answer, response] { answer(response); });
        });
    };
    server_ = std::make_unique<http_server>(
        loop_, address_,
        rattan::http_limits{.connections = 500,
                            .captured_headers = {INSTANCE_HEADER}},
        serve_one);
}

void model_target::set_cut(bool cut) {
    record_.note("target " + id_ + (cut ? " is cut off" : " is reached again"));
    cut_ = cut;
}

http_response model_target::clock_answer() const {
    return {.body = json({{"clockMs", clock_ms()}}).dump()};
}

http_response model_target::refuse(const std::string& reason) const {
    return {.status = 409,
            .body = json({{"clockMs", clock_ms()}, {"reason", reason}}).dump()};
}

void model_target::handle(const http_request& request,
                          const http_server::responder& answer) {
    if (cut_)
        return unanswered_.push_back(answer);
    const auto named = request.headers.find(INSTANCE_HEADER);
    if (named != request.headers.end() && !named->second.empty() &&
        named->second != id_)
        return answer({.status = 421, .body = "{}"});
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return answer({.status = 400, .body = "{}"});
    if (request.path == "/-/run-start" && delay_next_start_.count() > 0) {
        const millis delay = std::exchange(delay_next_start_, millis(0));
        record_.note("target " + id_ + " gets no order yet: start of " +
                     body.value("task", "") + " run " +
                     std::to_string(body.value("run", 0)) +
                     ", carried out in " + std::to_string(delay.count()) +
                     " ms");
        unanswered_.push_back(answer);
        loop_.after(delay, [this, body] {
            if (!up())
                return record_.note("late start finds no process");
            const http_response late = handle_start(body);
            record_.note("late start of " + body.value("task", "") +
                         " carried out: " + std::to_string(late.status) + " " +
                         late.body);
        });
        return;
    }
    if (request.path == "/-/run-start")
        return answer(handle_start(body));
    if (request.path == "/-/run-stop")
        return answer(handle_stop(body));
    if (request.path == "/-/hold")
        return handle_hold(body, answer);
    if (request.path == "/-/pace")
        return answer(clock_answer());
    answer({.status = 404, .body = "{}"});
}

void model_target::extend_lease(std::int64_t until_ms) {
    lease_end_ms_ = std::max(
        lease_end_ms_, std::min(until_ms, clock_ms() + limits_.max_hold_ms));
    if (lease_end_ms_ >= clock_ms())
        lapsed_ = false;
}

http_response model_target::handle_start(const json& body) {
    const std::int64_t token = body.value("fencingToken", std::int64_t{0});
    if (token < token_)
        return refuse("fence");
    token_ = token;
    const std::string task = body.value("task", "");
    const std::int64_t run = body.value("run", std::int64_t{0});
    const std::int64_t until_ms = body.value("untilMs", std::int64_t{0});
    if (until_ms <= clock_ms())
        return refuse("late");
    const auto current = runs_.find(task);
    if (current != runs_.end() && current->second.run == run)
        return clock_answer();
    extend_lease(until_ms);
    const auto ended = highest_ended_.find(task);
    if ((ended != highest_ended_.end() && run <= ended->second) ||
        (current != runs_.end() && run < current->second.run))
        return refuse("old");
    if (current != runs_.end())
        end_run(task, "stopped");
    const task_plan plan = plan_(task, body.value("taskSpec", ""));
    run_state state{
        .run = run, .started_ms = clock_ms(), .milli_cores = plan.milli_cores};
    if (plan.ends_at_ms > 0)
        state.ends_at_ms = clock_ms() + plan.ends_at_ms - unix_ms();
    else if (plan.works_ms > 0)
        state.ends_at_ms = clock_ms() + plan.works_ms;
    runs_[task] = state;
    add_event(target_event::kind::start, task, run, "", 0, plan.milli_cores);
    return clock_answer();
}

http_response model_target::handle_stop(const json& body) {
    const std::int64_t token = body.value("fencingToken", std::int64_t{0});
    if (token < token_)
        return refuse("fence");
    token_ = token;
    const std::string task = body.value("task", "");
    const std::int64_t run = body.value("run", std::int64_t{0});
    std::int64_t& highest = highest_ended_[task];
    highest = std::max(highest, run);
    const auto current = runs_.find(task);
    if (current != runs_.end() && current->second.run <= run &&
        current->second.stops_at_ms == 0)
        current->second.stops_at_ms = clock_ms() + limits_.stop_ms / 2;
    return clock_answer();
}

void model_target::handle_hold(const json& body,
                               const http_server::responder& answer) {
    const std::int64_t token = body.value("fencingToken", std::int64_t{0});
    if (token < token_)
        return answer(refuse("fence"));
    token_ = token;
    if (std::exchange(held_at_ms_, clock_ms()) == 0)
        record_.note("target " + id_ + " born " + std::to_string(born_) +
                     " is held for the first time");
    extend_lease(body.value("untilMs", std::int64_t{0}));
    const std::int64_t seen = body.value("lastSeen", std::int64_t{0});
    if (seen > last_seen_) {
        last_seen_ = seen;
        while (!ended_.empty() && ended_.front()[0] <= seen)
            ended_.pop_front();
        add_event(target_event::kind::acknowledged, "", 0, "", seen);
    }
    const std::int64_t wait_ms = body.value("waitMs", std::int64_t{0});
    if (wait_ms == 0 || !ended_.empty())
        return answer(list());
    waiting_.push_back({answer, clock_ms() + wait_ms});
}

std::int64_t model_target::percent_of(const run_state& run) const {
    if (run.ends_at_ms <= run.started_ms)
        return 100;
    return std::min<std::int64_t>(100, (clock_ms() - run.started_ms) * 100 /
                                           (run.ends_at_ms - run.started_ms));
}

http_response model_target::list() const {
    json running = json::array();
    for (const auto& [task, run] : runs_)
        running.push_back(
            {task, run.run, "", percent_of(run), run.milli_cores});
    json finished = json::array();
    for (const json& row : ended_) {
        if (finished.size() == limits_.listed_ends)
            break;
        finished.push_back(row);
    }
    return {.body = json({{"clockMs", clock_ms()},
                          {"born", born_},
                          {"running", std::move(running)},
                          {"finished", std::move(finished)}})
                        .dump()};
}

void model_target::end_run(std::string task, const std::string& how) {
    const std::int64_t run = runs_.at(task).run;
    runs_.erase(task);
    std::int64_t& highest = highest_ended_[task];
    highest = std::max(highest, run);
    ended_.push_back(json::array({++last_end_, task, run, how, ""}));
    add_event(target_event::kind::end, task, run, how, last_end_);
}

void model_target::tick() {
    if (!up())
        return;
    const std::int64_t now = clock_ms();
    if (now > lease_end_ms_ && !std::exchange(lapsed_, true)) {
        add_event(target_event::kind::lapse);
        while (!runs_.empty())
            end_run(runs_.begin()->first, "lapsed");
    }
    std::vector<std::pair<std::string, std::string>> over;
    for (const auto& [task, run] : runs_)
        if (run.stops_at_ms > 0 && now >= run.stops_at_ms)
            over.emplace_back(task, "stopped");
        else if (run.ends_at_ms > 0 && now >= run.ends_at_ms)
            over.emplace_back(task, "done");
    for (const auto& [task, how] : over)
        end_run(task, how);
    for (auto at = waiting_.begin(); at != waiting_.end();) {
        if (ended_.empty() && now < at->until_ms) {
            ++at;
            continue;
        }
        if (cut_)
            unanswered_.push_back(at->answer);
        else
            at->answer(list());
        at = waiting_.erase(at);
    }
}

} // namespace review
