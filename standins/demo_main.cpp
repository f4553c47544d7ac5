/** @file Runs the main job on the example deployments and prints a table. */
#include "harness_cluster.hpp"
#include "harness_load.hpp"
#include "net/program_runtime.hpp"
#include "rattan/error_type.hpp"

#include <gflags/gflags.h>

#include <cstdio>
#include <iostream>
#include <unistd.h>

DEFINE_string(deployment, "both", "board, roastery or both");
DEFINE_int32(rate, 2'000, "checks a second");
DEFINE_int32(seconds, 5, "how long checks are sent");
DEFINE_bool(stay, false, "leave the deployment running until a key is hit");
DEFINE_string(examples, "examples", "folder of the example declarations");

namespace {

using nlohmann::json;
using namespace rattan::standin;

/** Plans and sizes of one example. */
struct example {
    std::string name;
    std::string check_plan;
    std::string batch_plan;
    std::string watch_plan;
    int cores;
    int memory_mib;
    int base_port;
};

const std::vector<example> EXAMPLES{{"board", "price-check", "tender-pricing",
                                     "curing-watch", 32, 65'536, 20'000},
                                    {"roastery", "shelf-check", "blend-plan",
                                     "drying-watch", 64, 131'072, 21'000}};

/** Prints one line of the table. */
void row(const std::string& what, const std::string& figure) {
    std::printf("  %-44s %s\n", what.c_str(), figure.c_str());
    std::fflush(stdout);
}

/** A number with two places. */
std::string number(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", value);
    return text;
}

/** Submits a job. */
blocking_answer submit(const cluster& deployment, int host,
                       const std::string& key, const json& job) {
    return http_do({.method = "POST",
                    .url = deployment.gate_url(host) + "/v1/jobs",
                    .body = job.dump(),
                    .headers = caller_headers(key, new_request_id())});
}

/** A figure of a process's metrics. */
double metric(const std::string& url, const std::string& name) {
    const std::string text = http_do({.url = url + "/metrics"}).body;
    const size_t at = text.find("\n" + name + " ");
    return at == std::string::npos
               ? 0
               : std::atof(text.c_str() + at + name.size() + 2);
}

/** Quick checks at a fixed rate. */
void show_checks(const cluster& deployment, const example& which,
                 const std::vector<std::string>& keys) {
    std::vector<std::string> gates;
    for (int host = 0; host < deployment.hosts(); ++host)
        gates.push_back(deployment.gate_url(host));
    const load_report report = run_load({.gates = gates,
                                         .keys = keys,
                                         .plan = which.check_plan,
                                         .rate = FLAGS_rate,
                                         .duration_ms = FLAGS_seconds * 1'000});
    row("quick checks sent, at a fixed rate a second",
        std::to_string(report.sent) + ", " + std::to_string(FLAGS_rate));
    std::string statuses;
    for (const auto& [status, count] : report.statuses)
        statuses +=
            std::to_string(status) + ": " + std::to_string(count) + "  ";
    row("  answers by HTTP status", statuses);
    row("  latency from the intended send, p50 / p99 ms",
        number(report.quantile_ms(0.5)) + " / " +
            number(report.quantile_ms(0.99)));
}

/** Gangs of all teams, then watches. */
void show_jobs(const cluster& deployment, const example& which,
               const std::vector<std::string>& keys) {
    struct submitted {
        std::string key;
        std::string job;
    };
    std::vector<submitted> gangs;
    const auto begun = rattan::wall_millis();
    for (int i = 0; i < 60; ++i) {
        const std::string& key = keys[static_cast<size_t>(i) % keys.size()];
        const auto answer = submit(deployment, i % deployment.hosts(), key,
                                   {{"plan", which.batch_plan},
                                    {"tasks", 2 + i % 7},
                                    {"cores", 1 + i % 4},
                                    {"memory_mib", 1'024},
                                    {"run_s", 1},
                                    {"payload", "run_ms=500"}});
        if (answer.status == 202)
            gangs.push_back({key, answer.json()["job"]});
    }
    row("gangs accepted of 60", std::to_string(gangs.size()));
    std::map<std::string, int> outcomes;
    for (const submitted& gang : gangs) {
        json last;
        wait_until([&] {
            last =
                http_do({.url = deployment.gate_url(0) + "/v1/jobs/" + gang.job,
                         .headers = caller_headers(gang.key, "")})
                    .json();
            return last.value("state", "") == "ended";
        });
        ++outcomes[last.value("outcome", "not ended")];
    }
    std::string ends;
    for (const auto& [outcome, count] : outcomes)
        ends += outcome + ": " + std::to_string(count) + "  ";
    row("  ends, and seconds until the last",
        ends + number(static_cast<double>(rattan::wall_millis() - begun) /
                      1'000.0));
    std::vector<submitted> watches;
    for (int i = 0; i < 12; ++i) {
        const std::string& key = keys[static_cast<size_t>(i) % keys.size()];
        const auto answer = submit(deployment, i % deployment.hosts(), key,
                                   {{"plan", which.watch_plan},
                                    {"tasks", 3},
                                    {"cores", 1},
                                    {"memory_mib", 512}});
        if (answer.status == 202)
            watches.push_back({key, answer.json()["job"]});
    }
    const bool placed =
        wait_until([&] { return deployment.audit()["running"].size() == 36; });
    row("watches accepted of 12, tasks placed of 36",
        std::to_string(watches.size()) + ", " +
            std::to_string(deployment.audit()["running"].size()) +
            (placed ? "" : " (not all)"));
    for (const submitted& watch : watches)
        http_do({.method = "DELETE",
                 .url = deployment.gate_url(1) + "/v1/jobs/" + watch.job,
                 .headers = caller_headers(watch.key, "")});
    wait_until([&] { return deployment.audit()["running"].empty(); });
    row("  tasks running after all were cancelled",
        std::to_string(deployment.audit()["running"].size()));
}

/** The three refusals. */
void show_refusals(const cluster& deployment, const example& which,
                   const std::vector<std::string>& keys) {
    const auto show = [](const std::string& what,
                         const blocking_answer& answer) {
        const json body = answer.json();
        row("refusal: " + what, std::to_string(answer.status) + " " +
                                    body.value("type", "?") + ", " +
                                    body.value("run_state", "?"));
    };
    const json job = {{"plan", which.batch_plan}};
    show("bad key", submit(deployment, 0, "nobody.nothing", job));
    json wide = job;
    wide["tasks"] = 64;
    wide["cores"] = 8;
    show("never feasible", submit(deployment, 1, keys.back(), wide));
    load_report flood = run_load({.gates = {deployment.gate_url(2)},
                                  .keys = {keys.back()},
                                  .plan = which.check_plan,
                                  .rate = 200,
                                  .duration_ms = 500,
                                  .work_ms = 200,
                                  .deadline_ms = 100,
                                  .idempotent = true});
    row("refusal: team at its limit (HTTP 429) of " +
            std::to_string(flood.sent),
        std::to_string(flood.statuses[429]));
}

/** What control costs. */
void show_costs(const cluster& deployment) {
    double cpu = 0;
    double most_memory = 0;
    for (int host = 0; host < deployment.hosts(); ++host)
        for (const std::string& url :
             {deployment.relay_url(host), deployment.gate_url(host),
              deployment.placer_url(host)}) {
            cpu += metric(url, "process_cpu_seconds_total");
            most_memory = std::max(
                most_memory, metric(url, "process_resident_memory_bytes"));
        }
    const json stats = deployment.platform_stats();
    row("appends to the log, bytes",
        stats["streams"]["cell"]["appends"].dump() + ", " +
            stats["streams"]["cell"]["bytes"].dump());
    row("processor seconds of all 18 programs", number(cpu));
    row("largest resident memory of a program, MB", number(most_memory / 1e6));
    const json audit = deployment.audit();
    row("audit: tasks in two places, overcommitted",
        audit["two_places"].dump() + ", " + audit["overcommitted"].dump());
}

/** One deployment from start to end. */
void show(const example& which) {
    std::printf("%s\n", which.name.c_str());
    cluster deployment(
        {.declarations = FLAGS_examples + "/" + which.name,
         .folder = std::filesystem::temp_directory_path() /
                   ("rattan-demo-" + std::to_string(getpid()) + which.name),
         .base_port = which.base_port,
         .runners = 50,
         .workers = 50,
         .cores = which.cores,
         .memory_mib = which.memory_mib,
         .clock_skew_ms = 500});
    deployment.start();
    row("entry hosts, runners, workers, programs",
        std::to_string(deployment.hosts()) + ", 50, 50, " +
            std::to_string(deployment.hosts() * 3));
    const json declared = deployment.declarations();
    std::vector<std::string> keys;
    std::string smallest;
    for (const auto& [name, organisation] : declared["teams"].items()) {
        const std::string key = name + "-1.demo-" + name;
        if (organisation["limits"]["checks"].get<int>() <= 2)
            smallest = key;
        else
            keys.push_back(key);
    }
    if (FLAGS_stay) {
        std::printf("  gate at %s\n", deployment.gate_url(0).c_str());
        std::fflush(stdout);
        std::cin.get();
        return;
    }
    show_checks(deployment, which, keys);
    keys.push_back(smallest);
    show_jobs(deployment, which, keys);
    show_refusals(deployment, which, keys);
    show_costs(deployment);
    std::filesystem::remove_all(deployment.options().folder);
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("Runs the main job on the examples.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        for (const example& which : EXAMPLES)
            if (FLAGS_deployment == "both" || FLAGS_deployment == which.name)
                show(which);
        return 0;
    } catch (const rattan::error& failure) {
        std::cerr << "rattan_demo: " << failure.what() << "\n";
        return 1;
    }
}
