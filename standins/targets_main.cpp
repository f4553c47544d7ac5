/** @file Stand-ins of runners and workers, all in one process. */
#include "net/event_loop.hpp"
#include "net/http_server.hpp"
#include "placer/order_codec.hpp"
#include "rattan/error_type.hpp"
#include "worker_model.hpp"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <iostream>
#include <memory>
#include <set>

DEFINE_string(ip, "127.0.0.1", "IP number to listen on");
DEFINE_int32(admin_port, 9100, "port for faults and the audit");
DEFINE_int32(runner_port, 10000, "first port of the runners");
DEFINE_int32(worker_port, 11000, "first port of the workers");
DEFINE_int32(runners, 4, "number of runners");
DEFINE_int32(workers, 4, "number of workers");
DEFINE_int32(slots, 8, "slots of each runner");
DEFINE_int64(cores, 32, "cores of each worker");
DEFINE_int64(memory_mib, 65536, "memory of each worker in MiB");
DEFINE_int64(accelerators, 0, "accelerators of each worker that has any");
DEFINE_int32(accelerator_every, 0,
             "every nth worker has accelerators; 0: none");

namespace {

using nlohmann::json;
using rattan::event_loop;
using rattan::http_request;
using rattan::http_server;
using rattan::millis;

/** True time in milliseconds. */
std::int64_t now_ms() {
    return event_loop::now().time_since_epoch().count();
}

std::string address(int port) {
    return FLAGS_ip + ":" + std::to_string(port);
}

/** Counts of all runners. */
struct check_audit {
    std::map<std::string, int> runs;        ///< By the name in the input.
    std::map<std::string, int> in_progress; ///< By organisation in the input.
    std::map<std::string, int> peak_in_progress;
    std::uint64_t slots_exceeded = 0;
    std::uint64_t total = 0;
};

/** A runner; `work_ms` in the input sets the execution time. */
class runner {
public:
    runner(event_loop& loop, int port, check_audit& audit)
        : loop_(loop), audit_(audit),
          http_(loop, address(port), {.connections = 200},
                [this](const http_request& request,
                       const http_server::responder& answer) {
                    handle(request, answer);
                }) {}

    /**
     * - refuse: responds with 503 without running the check
     * - error: runs the check, responds with 500
     * - hang: runs the check, responds after 30 s
     * - crossed: runs the check, responds with another request id
     */
    std::string fault;
    std::uint64_t faults_hit = 0;

private:
    void handle(const http_request& request,
                const http_server::responder& answer) {
        if (fault == "refuse") {
            ++faults_hit;
            return answer({.status = 503, .request_id = request.request_id});
        }
        if (in_use_ >= FLAGS_slots) {
            ++audit_.slots_exceeded;
            return answer({.status = 503, .request_id = request.request_id});
        }
        const json input = json::parse(request.body, nullptr, false);
        const bool is_object = input.is_object();
        const std::string name = is_object ? input.value("name", "") : "";
        const std::string organisation =
            is_object ? input.value("team", "") : "";
        const int work_ms = is_object ? input.value("work_ms", 0) : 0;
        ++audit_.total;
        if (!name.empty())
            ++audit_.runs[name];
        if (!organisation.empty()) {
            int& peak = audit_.peak_in_progress[organisation];
            peak = std::max(peak, ++audit_.in_progress[organisation]);
        }
        ++in_use_;
        const auto finish = [this, request, name, organisation, answer] {
            --in_use_;
            if (!organisation.empty())
                --audit_.in_progress[organisation];
            reply(request, name, answer);
        };
        if (work_ms <= 0)
            return finish();
        loop_.after(millis(work_ms), finish);
    }

    void reply(const http_request& request, const std::string& name,
               const http_server::responder& answer) {
        const std::string body = json({{"ran", name}}).dump() + "\n";
        if (fault == "hang") {
            ++faults_hit;
            loop_.after(millis(30'000), [answer] { answer({}); });
        } else if (fault == "error") {
            ++faults_hit;
            answer({.status = 500,
                    .body = "{}",
                    .request_id = request.request_id});
        } else if (fault == "crossed") {
            ++faults_hit;
            answer({.body = body, .request_id = "another"});
        } else {
            answer({.body = body, .request_id = request.request_id});
        }
    }

    event_loop& loop_;
    check_audit& audit_;
    int in_use_ = 0;
    http_server http_;
};

/** HTTP interface of a worker model. */
class worker {
public:
    worker(event_loop& loop, int port, rattan::standin::worker_options options,
           rattan::standin::auditor& audit)
        : loop_(loop), model_(std::move(options), audit),
          http_(loop, address(port), {.connections = 50},
                [this](const http_request& request,
                       const http_server::responder& answer) {
                    handle_order(request, answer);
                }) {}

    /**
     * Sets or, with an unknown name, removes a fault:
     * - dead: loses all state; ignores orders, responds with 500 after 5 s
     * - mute: ignores orders in the same way; its tasks keep running
     * - restart: loses all state
     * - fail: every task that it starts fails
     * - lose_answers: handles `count` orders but responds with status 500
     */
    void set_fault(const std::string& fault, int count) {
        fault_ = fault;
        count_ = count;
        model_.options.fail_all_tasks = fault == "fail";
        if (fault == "dead" || fault == "restart")
            model_.restart(now_ms());
    }

    rattan::standin::worker_model& model() { return model_; }
    std::uint64_t faults_hit = 0;

private:
    void handle_order(const http_request& request,
                      const http_server::responder& answer) {
        if (fault_ == "dead" || fault_ == "mute") {
            ++faults_hit;
            return loop_.after(millis(5'000),
                               [answer] { answer({.status = 500}); }),
                   void();
        }
        rattan::worker_order order;
        try {
            order = json::parse(request.body).get<rattan::worker_order>();
        } catch (const json::exception&) {
            return answer({.status = 400});
        }
        const auto reply = model_.handle_order(order, now_ms());
        if (fault_ == "lose_answers" && count_-- > 0) {
            ++faults_hit;
            return answer({.status = 500});
        }
        answer({.body = json(reply).dump(), .request_id = request.request_id});
    }

    event_loop& loop_;
    std::string fault_;
    int count_ = 0;
    rattan::standin::worker_model model_;
    http_server http_;
};

/** All runners and workers with their audit. */
class targets {
public:
    explicit targets(event_loop& loop)
        : http_(loop, address(FLAGS_admin_port), {.connections = 50},
                [this](const http_request& request,
                       const http_server::responder& answer) {
                    admin(request, answer);
                }) {
        for (int i = 0; i < FLAGS_runners; ++i)
            runners_.push_back(
                std::make_unique<runner>(loop, FLAGS_runner_port + i, checks_));
        for (int i = 0; i < FLAGS_workers; ++i) {
            const bool has_accelerators =
                FLAGS_accelerator_every > 0 && i % FLAGS_accelerator_every == 0;
            workers_.push_back(std::make_unique<worker>(
                loop, FLAGS_worker_port + i,
                rattan::standin::worker_options{
                    .owned = {.milli_cores = FLAGS_cores * 1'000,
                              .memory_mib = FLAGS_memory_mib,
                              .accelerators =
                                  has_accelerators ? FLAGS_accelerators : 0},
                    .instance = now_ms()},
                tasks_));
        }
        loop.every(millis(10), [this] {
            for (const auto& each : workers_)
                each->model().advance_to(now_ms());
        });
    }

private:
    void admin(const http_request& request,
               const http_server::responder& answer) {
        if (request.path == "/admin/audit")
            return answer({.body = audit().dump()});
        const json body = json::parse(request.body, nullptr, false);
        if (body.is_discarded())
            return answer({.status = 400});
        if (body.contains("worker"))
            workers_.at(body["worker"].get<size_t>())
                ->set_fault(body.value("mode", ""), body.value("count", 1));
        if (body.contains("runner"))
            runners_.at(body["runner"].get<size_t>())->fault =
                body.value("mode", "");
        answer({.body = "{}"});
    }

    json audit() const {
        json organisations = json::object();
        for (const auto& [organisation, peak] : tasks_.peak_in_use)
            organisations[organisation.value] = {
                {"most_cores", peak.milli_cores / 1'000},
                {"most_accelerators", peak.accelerators}};
        json completions = json::object();
        for (const auto& [task, count] : tasks_.completions)
            completions[task.job.value + "/" + std::to_string(task.index)] =
                count;
        json starts = json::object();
        for (const auto& [task, count] : tasks_.starts)
            starts[task.job.value + "/" + std::to_string(task.index)] = count;
        json running = json::object();
        for (const auto& [task, count] : tasks_.running)
            running[task.job.value + "/" + std::to_string(task.index)] = count;
        std::uint64_t hits = 0;
        for (const auto& each : workers_)
            hits += each->faults_hit;
        std::uint64_t runner_hits = 0;
        for (const auto& each : runners_)
            runner_hits += each->faults_hit;
        return {{"two_places", tasks_.two_places},
                {"overcommitted", tasks_.overcommitted},
                {"teams", organisations},
                {"starts", starts},
                {"completions", completions},
                {"running", running},
                {"worker_faults_hit", hits},
                {"runner_faults_hit", runner_hits},
                {"checks", checks_.total},
                {"check_runs", checks_.runs},
                {"most_checks", checks_.peak_in_progress},
                {"slots_exceeded", checks_.slots_exceeded}};
    }

    check_audit checks_;
    rattan::standin::auditor tasks_;
    std::vector<std::unique_ptr<runner>> runners_;
    std::vector<std::unique_ptr<worker>> workers_;
    http_server http_;
};

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("Stand-ins of runners and workers for tests.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        event_loop loop;
        const targets stand_ins(loop);
        loop.on_signals([&] { loop.stop(); }, [] {});
        loop.run();
    } catch (const rattan::error& failure) {
        std::cerr << "standin_targets: " << failure.what() << "\n";
        return 1;
    }
}
