/** @file A stand-in of a runner; prints what begins and ends on it. */
#include "harness_http.hpp"
#include "net/event_loop.hpp"
#include "net/http_server.hpp"
#include "tool.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <map>

namespace review {

namespace {

using nlohmann::json;
using rattan::event_loop;
using rattan::http_request;
using rattan::http_response;
using rattan::http_server;
using rattan::millis;

constexpr std::int64_t MAX_HOLD_MS = 6'000;
constexpr std::int64_t STOP_MS = 150; ///< At most `stopMs`, which is 200.
constexpr std::int64_t HEARTBEAT_MS = 1'500;
const std::string INSTANCE = "X-Rattanknot-Target-Instance";

std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/** Value of `name=` in a task's text; the fallback without one. */
std::int64_t option(const std::string& spec, const std::string& name,
                    std::int64_t fallback) {
    const std::size_t at = spec.find(name + "=");
    return at == std::string::npos
               ? fallback
               : std::stoll(spec.substr(at + name.size() + 1));
}

class runner {
public:
    runner(event_loop& loop, const arguments& args)
        : id_(args[0]), address_(args[1]), admin_(args[2]),
          cpu_(std::stoll(args[3])), zone_(args[4]), born_(unix_ms()),
          started_(steady_ms()),
          http_(loop, address_,
                {.connections = 500, .captured_headers = {INSTANCE}},
                [this](const http_request& request,
                       http_server::responder answer) {
                    handle(request, std::move(answer));
                }) {
        print("up", "", 0, "");
        heartbeat();
        loop.every(millis(HEARTBEAT_MS), [this] { heartbeat(); });
        loop.every(millis(5), [this] { tick(); });
    }

private:
    struct run {
        std::int64_t number = 0;
        std::int64_t began_at = 0; ///< On the runner's clock.
        std::int64_t ends_at = 0;  ///< 0: it lasts.
        std::string how = "done";
    };
    struct waiting_poll {
        http_server::responder answer;
        std::int64_t until = 0;
    };

    [[nodiscard]] std::int64_t clock() const {
        return steady_ms() - started_ + 1'000;
    }

    void print(const std::string& what, const std::string& task,
               std::int64_t number, const std::string& how) const {
        std::cout << json({{"at", steady_ms()},
                           {"runner", id_},
                           {"born", born_},
                           {"what", what},
                           {"task", task},
                           {"run", number},
                           {"how", how}})
                         .dump()
                  << std::endl;
    }

    void heartbeat() {
        const json entry = {
            {"service", "pool"},
            {"address", address_},
            {"zone", zone_},
            {"state", "ready"},
            {"slots", 64},
            {"configVersion", 1},
            {"coldLeftMs", 0},
            {"seq", ++seq_},
            {"born", born_},
            {"capacity", {{"cpu", cpu_}, {"memMb", 65536}, {"gpu", 0}}},
            {"labels", {"a", "r1-1"}}};
        rattan::standin::send_http_request(
            {.method = "POST",
             .url = "http://" + admin_ + "/admin/beat?id=" + id_,
             .body = entry.dump(),
             .timeout_ms = 500});
    }

    [[nodiscard]] http_response reply(int status, json body = json::object()) {
        body["clockMs"] = clock();
        body["born"] = born_;
        return {.status = status, .body = body.dump()};
    }

    [[nodiscard]] http_response refuse(const char* reason) {
        return reply(409, {{"reason", reason}});
    }

    void handle(const http_request& request, http_server::responder answer) {
        if (request.path == "/admin/sick") {
            sick_until_ = steady_ms() + std::stoll(request.query.at("ms"));
            return answer({.body = "{}"});
        }
        if (steady_ms() < sick_until_)
            return answer({.status = 503, .body = "{}"});
        const json body = json::parse(request.body, nullptr, false);
        if (!body.is_object())
            return answer({.status = 400, .body = "{}"});
        const std::string& instance = request.headers.at(INSTANCE);
        if (!instance.empty() && instance != id_)
            return answer({.status = 421, .body = "{}"});
        const auto token = body.value("fencingToken", std::int64_t{0});
        if (token < token_)
            return answer(refuse("fence"));
        token_ = token;
        if (request.path == "/-/run-start")
            return answer(start(body));
        if (request.path == "/-/run-stop")
            return answer(stop(body));
        if (request.path == "/-/hold")
            return hold(body, std::move(answer));
        if (request.path == "/-/pace")
            return answer(reply(200));
        answer({.status = 404, .body = "{}"});
    }

    void extend_lease(std::int64_t until) {
        lease_ = std::max(lease_, std::min(until, clock() + MAX_HOLD_MS));
    }

    http_response start(const json& body) {
        const auto task = body.at("task").get<std::string>();
        const auto number = body.at("run").get<std::int64_t>();
        const auto until = body.at("untilMs").get<std::int64_t>();
        if (until <= clock())
            return refuse("late");
        extend_lease(until);
        const auto present = runs_.find(task);
        if (present != runs_.end() && present->second.number == number)
            return reply(200);
        if (present != runs_.end() || highest_[task] >= number)
            return refuse("old");
        const std::string spec = body.value("taskSpec", "");
        run begun{.number = number, .began_at = clock()};
        const bool odd = (task.back() - '0') % 2 != 0;
        const std::int64_t ms =
            option(spec, odd ? "odd_tasks" : "ms", option(spec, "ms", 0));
        if (ms > 0)
            begun.ends_at = clock() + ms;
        if (option(spec, "failing_run", 0) == number)
            begun.how = "failed";
        runs_[task] = begun;
        print("begin", task, number, "");
        return reply(200);
    }

    http_response stop(const json& body) {
        const auto task = body.at("task").get<std::string>();
        const auto number = body.at("run").get<std::int64_t>();
        highest_[task] = std::max(highest_[task], number);
        const auto present = runs_.find(task);
        if (present != runs_.end() && present->second.number == number) {
            present->second.ends_at = clock() + STOP_MS;
            present->second.how = "stopped";
        }
        return reply(200);
    }

    void hold(const json& body, http_server::responder answer) {
        if (body.contains("untilMs"))
            extend_lease(body["untilMs"].get<std::int64_t>());
        const auto seen = body.value("lastSeen", std::int64_t{0});
        std::erase_if(finished_, [&](const json& row) {
            return row.at(0).get<std::int64_t>() <= seen;
        });
        const auto wait = body.value("waitMs", std::int64_t{0});
        if (wait == 0 || !finished_.empty())
            return answer(lists());
        polls_.push_back({std::move(answer), clock() + wait});
    }

    http_response lists() {
        json running = json::array();
        for (const auto& [task, run] : runs_) {
            const std::int64_t percent =
                run.ends_at == 0
                    ? 100
                    : (clock() - run.began_at) * 100 /
                          std::max<std::int64_t>(1, run.ends_at - run.began_at);
            running.push_back({task, run.number, "", percent, 0});
        }
        return reply(200, {{"running", running}, {"finished", finished_}});
    }

    void tick() {
        const bool lapsed = clock() > lease_;
        std::erase_if(runs_, [&](const auto& item) {
            const auto& [task, run] = item;
            if (!lapsed && (run.ends_at == 0 || clock() < run.ends_at))
                return false;
            const std::string how = lapsed ? "lapsed" : run.how;
            highest_[task] = std::max(highest_[task], run.number);
            finished_.push_back({++last_end_, task, run.number, how, ""});
            print("end", task, run.number, how);
            return true;
        });
        std::erase_if(polls_, [&](const waiting_poll& poll) {
            if (finished_.empty() && clock() < poll.until)
                return false;
            poll.answer(lists());
            return true;
        });
    }

    std::string id_;
    std::string address_;
    std::string admin_;
    std::int64_t cpu_;
    std::string zone_;
    std::int64_t born_;
    std::int64_t started_;
    std::int64_t seq_ = 0;
    std::int64_t token_ = 0;
    std::int64_t lease_ = 0;
    std::int64_t last_end_ = 0;
    std::int64_t sick_until_ = 0;
    std::map<std::string, run> runs_;
    /** Highest run that ended or was stopped here, by task. */
    std::map<std::string, std::int64_t> highest_;
    std::vector<json> finished_;
    std::vector<waiting_poll> polls_;
    http_server http_;
};

} // namespace

int run_runner(const arguments& args) {
    event_loop loop;
    const runner worker(loop, args);
    loop.on_signals([&] { loop.stop(); }, [] {});
    loop.run();
    return 0;
}

} // namespace review
