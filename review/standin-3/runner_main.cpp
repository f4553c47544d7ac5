/**
 * @file A runner as one process. It runs tasks as the users' pages say, keeps
 * nothing over a restart, and writes what it ran to a record.
 */
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "net/program_runtime.hpp"
#include "rattan/error_type.hpp"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <iostream>
#include <map>
#include <sstream>
#include <string>
#include <unistd.h>
#include <vector>

DEFINE_string(id, "t0", "id in the store's list");
DEFINE_string(address, "127.0.2.1:21010", "address of this runner");
DEFINE_string(listed_address, "", "address in the list, if it is another");
DEFINE_string(admin, "127.0.2.1:21001", "where the list is written");
DEFINE_string(record, "record.txt", "file that starts and ends go to");
DEFINE_string(labels, "a,r1-1", "kind and rack");
DEFINE_int32(list_delay_ms, 0, "from its start to its first entry in the list");
DEFINE_int32(cpu, 8000, "capacity in thousandths of a core");

namespace {

using namespace rattan;
using nlohmann::json;

constexpr std::int64_t MAX_HOLD_MS = 6'000;
constexpr std::int64_t MEMORY_MIB = 65'536;
constexpr millis TICK_PERIOD{5};
constexpr millis HEARTBEAT_PERIOD{1500};
/** The largest number of ends in one answer. */
constexpr std::size_t MAX_LISTED_ENDS = 500;

class runner {
public:
    explicit runner(event_loop& loop)
        : loop_(loop), client_(loop), born_ms_(wall_millis()),
          started_(event_loop::now()),
          record_(
              open(FLAGS_record.c_str(), O_WRONLY | O_APPEND | O_CREAT, 0644)),
          server_(loop, FLAGS_address, {.connections = 64},
                  [this](const http_request& request,
                         http_server::responder answer) {
                      handle(request, std::move(answer));
                  }) {
        note("up", "");
        // It is in the list some time after it can be reached.
        loop.after(millis(FLAGS_list_delay_ms), [this] {
            register_here();
            loop_.every(HEARTBEAT_PERIOD, [this] { register_here(); });
        });
        loop.every(TICK_PERIOD, [this] { tick(); });
    }

private:
    struct run {
        std::int64_t number = 0;
        std::int64_t begun_ms = 0;
        std::int64_t work_ms = 0; ///< 0: until it is stopped.
    };
    struct waiting_poll {
        http_server::responder answer;
        std::int64_t until_ms = 0;
    };

    [[nodiscard]] std::int64_t clock_ms() const {
        return 1000 + (event_loop::now() - started_).count();
    }

    void note(const std::string& what, const std::string& detail) const {
        const std::string line = std::to_string(wall_millis()) + " runner " +
                                 FLAGS_id + " " + what +
                                 (detail.empty() ? "" : " " + detail) + "\n";
        if (write(record_, line.data(), line.size()) < 0)
            std::cerr << "record not written\n";
    }

    void register_here() {
        json labels = json::array();
        std::istringstream words(FLAGS_labels);
        for (std::string word; std::getline(words, word, ',');)
            labels.push_back(word);
        client_.call(
            {.method = "POST",
             .url = "http://" + FLAGS_admin +
                    "/admin/store?topic=keyed.servers&put=" + FLAGS_id,
             .body =
                 json(
                     {{"service", "pool"},
                      {"address", FLAGS_listed_address.empty()
                                      ? FLAGS_address
                                      : FLAGS_listed_address},
                      {"zone", "dc1"},
                      {"configVersion", "1"},
                      {"slots", 8},
                      {"state", "ready"},
                      {"coldLeftMs", 0},
                      {"seq", ++sequence_},
                      {"born", born_ms_},
                      {"capacity",
                       {{"cpu", FLAGS_cpu}, {"memMb", MEMORY_MIB}, {"gpu", 0}}},
                      {"labels", labels}})
                     .dump()},
            [](const http_call_result&) {});
    }

    [[nodiscard]] http_response refuse(const std::string& reason) const {
        return {.status = 409,
                .body =
                    json({{"reason", reason}, {"clockMs", clock_ms()}}).dump()};
    }

    [[nodiscard]] http_response accepted() const {
        return {.body = json({{"clockMs", clock_ms()}}).dump()};
    }

    void extend_lease(std::int64_t until_ms) {
        lease_end_ms_ = std::max(lease_end_ms_,
                                 std::min(until_ms, clock_ms() + MAX_HOLD_MS));
    }

    void handle(const http_request& request, http_server::responder answer) {
        const json body = json::parse(request.body, nullptr, false);
        if (!body.is_object())
            return answer({.status = 400, .body = "{}"});
        const auto token = body.value("fencingToken", std::int64_t{0});
        if (token < highest_token_)
            return answer(refuse("fence"));
        highest_token_ = token;
        if (request.path == "/-/run-start")
            answer(start(body));
        else if (request.path == "/-/run-stop")
            answer(stop(body));
        else if (request.path == "/-/hold")
            hold(body, std::move(answer));
        else if (request.path == "/-/pace")
            answer(accepted());
        else
            answer({.status = 404, .body = "{}"});
    }

    http_response start(const json& body) {
        const auto task = body.at("task").get<std::string>();
        const auto number = body.at("run").get<std::int64_t>();
        const auto until_ms = body.at("untilMs").get<std::int64_t>();
        const auto current = runs_.find(task);
        if (current != runs_.end() && current->second.number == number) {
            extend_lease(until_ms);
            return accepted();
        }
        if (current != runs_.end() || highest_ended_[task] >= number) {
            extend_lease(until_ms);
            return refuse("old");
        }
        if (until_ms <= clock_ms())
            return refuse("late");
        extend_lease(until_ms);
        const auto payload = body.value("taskSpec", std::string());
        runs_[task] = {.number = number,
                       .begun_ms = clock_ms(),
                       .work_ms = payload.starts_with("ms=")
                                      ? std::stoll(payload.substr(3))
                                      : 0};
        note("start", task + " run " + std::to_string(number) + " " + payload);
        return accepted();
    }

    http_response stop(const json& body) {
        const auto task = body.at("task").get<std::string>();
        const auto number = body.at("run").get<std::int64_t>();
        highest_ended_[task] = std::max(highest_ended_[task], number);
        const auto current = runs_.find(task);
        if (current != runs_.end() && current->second.number <= number)
            end_run(task, "stopped");
        return accepted();
    }

    void hold(const json& body, http_server::responder answer) {
        extend_lease(body.value("untilMs", std::int64_t{0}));
        const auto seen = body.value("lastSeen", std::int64_t{0});
        std::erase_if(ended_, [&](const json& row) {
            return row.at(0).get<std::int64_t>() <= seen;
        });
        const auto wait_ms = body.value("waitMs", std::int64_t{0});
        if (!ended_.empty() || wait_ms == 0)
            return answer(lists());
        polls_.push_back({std::move(answer), clock_ms() + wait_ms});
    }

    [[nodiscard]] http_response lists() const {
        json running = json::array();
        for (const auto& [task, each] : runs_) {
            const std::int64_t worked = clock_ms() - each.begun_ms;
            running.push_back(
                {task, each.number, "",
                 each.work_ms == 0
                     ? 100
                     : std::min<std::int64_t>(99, worked * 100 / each.work_ms),
                 0});
        }
        json ended = json::array();
        for (std::size_t i = 0; i < std::min(ended_.size(), MAX_LISTED_ENDS);
             ++i)
            ended.push_back(ended_[i]);
        return {.body = json({{"clockMs", clock_ms()},
                              {"born", born_ms_},
                              {"running", running},
                              {"finished", ended}})
                            .dump()};
    }

    void end_run(const std::string& task, const std::string& how) {
        const std::int64_t number = runs_.at(task).number;
        runs_.erase(task);
        highest_ended_[task] = std::max(highest_ended_[task], number);
        ended_.push_back({++last_end_, task, number, how, ""});
        note("end", task + " run " + std::to_string(number) + " " + how);
    }

    void tick() {
        const bool lapsed = clock_ms() > lease_end_ms_;
        std::vector<std::string> over;
        for (const auto& [task, each] : runs_)
            if (lapsed || (each.work_ms > 0 &&
                           clock_ms() - each.begun_ms >= each.work_ms))
                over.push_back(task);
        for (const std::string& task : over)
            end_run(task, lapsed ? "lapsed" : "done");
        for (auto at = polls_.begin(); at != polls_.end();) {
            if (ended_.empty() && clock_ms() < at->until_ms) {
                ++at;
                continue;
            }
            at->answer(lists());
            at = polls_.erase(at);
        }
    }

    event_loop& loop_;
    http_client client_;
    std::int64_t born_ms_;
    mono_time started_;
    int record_;
    std::int64_t sequence_ = 0;
    std::map<std::string, run> runs_;
    std::map<std::string, std::int64_t> highest_ended_;
    std::vector<json> ended_;
    std::int64_t last_end_ = 0;
    std::int64_t highest_token_ = 0;
    std::int64_t lease_end_ms_ = 0;
    std::vector<waiting_poll> polls_;
    http_server server_;
};

} // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        event_loop loop;
        const runner here(loop);
        loop.on_signals([&] { loop.stop(); }, [] {});
        loop.run();
        return 0;
    } catch (const error& failure) {
        std::cerr << "runner: " << failure.what() << "\n";
        return 1;
    }
}
