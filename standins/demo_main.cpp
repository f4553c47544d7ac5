/** @file Runs checks and jobs on the example deployments; prints a table. */
#include "harness_cluster.hpp"
#include "harness_load.hpp"
#include "net/program_runtime.hpp"
#include "rattan/error_type.hpp"

#include <gflags/gflags.h>

#include <cstdio>
#include <iostream>
#include <unistd.h>

DEFINE_string(deployment, "both", "board, roastery or both");
DEFINE_int32(rate, 2'000, "checks sent per second");
DEFINE_int32(seconds, 5, "duration of the check load in seconds");
DEFINE_bool(stay, false, "keep the deployment running until Enter is pressed");
DEFINE_string(examples, "examples", "folder of the example declarations");

namespace {

using nlohmann::json;
using namespace rattan::standin;

/** Plans, worker size and ports of one example. */
struct example_deployment {
    std::string name;
    std::string check_plan;
    std::string batch_plan;
    std::string watch_plan;
    int cores;
    int memory_mib;
    int base_port;
};

const std::vector<example_deployment> EXAMPLES{
    {"board", "price-check", "tender-pricing", "curing-watch", 32, 65'536,
     20'000},
    {"roastery", "shelf-check", "blend-plan", "drying-watch", 64, 131'072,
     21'000}};

/** Prints one row of the table. */
void print_row(const std::string& what, const std::string& figure) {
    std::printf("  %-44s %s\n", what.c_str(), figure.c_str());
    std::fflush(stdout);
}

std::string format_number(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", value);
    return text;
}

blocking_response submit(const cluster& deployment, int host,
                         const std::string& key, const json& job) {
    return send_http_request(
        {.method = "POST",
         .url = deployment.gate_url(host) + "/v1/jobs",
         .body = job.dump(),
         .headers = caller_headers(key, new_request_id())});
}

/** Reads a metric of a process; 0 when it has none of that name. */
double metric_value(const std::string& url, const std::string& name) {
    const std::string text = send_http_request({.url = url + "/metrics"}).body;
    const size_t at = text.find("\n" + name + " ");
    return at == std::string::npos
               ? 0
               : std::atof(text.c_str() + at + name.size() + 2);
}

/** Sends quick checks at a fixed rate. */
void run_checks(const cluster& deployment, const example_deployment& example,
                const std::vector<std::string>& keys) {
    std::vector<std::string> gates;
    for (int host = 0; host < deployment.hosts(); ++host)
        gates.push_back(deployment.gate_url(host));
    const load_report report = run_load({.gates = gates,
                                         .keys = keys,
                                         .plan = example.check_plan,
                                         .checks_per_s = FLAGS_rate,
                                         .duration_ms = FLAGS_seconds * 1'000});
    print_row("quick checks sent, rate per second",
              std::to_string(report.sent) + ", " + std::to_string(FLAGS_rate));
    std::string statuses;
    for (const auto& [status, count] : report.statuses)
        statuses +=
            std::to_string(status) + ": " + std::to_string(count) + "  ";
    print_row("  answers by HTTP status", statuses);
    print_row("  latency from scheduled send, p50 / p99 ms",
              format_number(report.quantile_ms(0.5)) + " / " +
                  format_number(report.quantile_ms(0.99)));
}

/** Runs gangs of all organisations, then watches. */
void run_jobs(const cluster& deployment, const example_deployment& example,
              const std::vector<std::string>& keys) {
    struct submitted {
        std::string key;
        std::string job;
    };
    std::vector<submitted> gangs;
    const auto start_ms = rattan::wall_millis();
    for (int i = 0; i < 60; ++i) {
        const std::string& key = keys[static_cast<size_t>(i) % keys.size()];
        const auto answer = submit(deployment, i % deployment.hosts(), key,
                                   {{"plan", example.batch_plan},
                                    {"tasks", 2 + i % 7},
                                    {"cores", 1 + i % 4},
                                    {"memory_mib", 1'024},
                                    {"run_s", 1},
                                    {"payload", "run_ms=500"}});
        if (answer.status == 202)
            gangs.push_back({key, answer.json()["job"]});
    }
    print_row("gangs accepted of 60", std::to_string(gangs.size()));
    std::map<std::string, int> outcomes;
    for (const submitted& gang : gangs) {
        json last;
        wait_until([&] {
            last = send_http_request(
                       {.url = deployment.gate_url(0) + "/v1/jobs/" + gang.job,
                        .headers = caller_headers(gang.key, "")})
                       .json();
            return last.value("state", "") == "ended";
        });
        ++outcomes[last.value("outcome", "not ended")];
    }
    std::string outcome_counts;
    for (const auto& [outcome, count] : outcomes)
        outcome_counts += outcome + ": " + std::to_string(count) + "  ";
    print_row("  outcomes, seconds until the last",
              outcome_counts +
                  format_number(
                      static_cast<double>(rattan::wall_millis() - start_ms) /
                      1'000.0));
    std::vector<submitted> watches;
    for (int i = 0; i < 12; ++i) {
        const std::string& key = keys[static_cast<size_t>(i) % keys.size()];
        const auto answer = submit(deployment, i % deployment.hosts(), key,
                                   {{"plan", example.watch_plan},
                                    {"tasks", 3},
                                    {"cores", 1},
                                    {"memory_mib", 512}});
        if (answer.status == 202)
            watches.push_back({key, answer.json()["job"]});
    }
    const bool placed =
        wait_until([&] { return deployment.audit()["running"].size() == 36; });
    print_row("watches accepted of 12, tasks placed of 36",
              std::to_string(watches.size()) + ", " +
                  std::to_string(deployment.audit()["running"].size()) +
                  (placed ? "" : " (not all)"));
    for (const submitted& watch : watches)
        send_http_request(
            {.method = "DELETE",
             .url = deployment.gate_url(1) + "/v1/jobs/" + watch.job,
             .headers = caller_headers(watch.key, "")});
    wait_until([&] { return deployment.audit()["running"].empty(); });
    print_row("  tasks running after all were cancelled",
              std::to_string(deployment.audit()["running"].size()));
}

/** Shows the refusals: bad key, infeasible job, organisation at its limit. */
void run_refusals(const cluster& deployment, const example_deployment& example,
                  const std::vector<std::string>& keys) {
    const auto print_refusal = [](const std::string& what,
                                  const blocking_response& answer) {
        const json body = answer.json();
        print_row("refusal: " + what, std::to_string(answer.status) + " " +
                                          body.value("type", "?") + ", " +
                                          body.value("run_state", "?"));
    };
    const json job = {{"plan", example.batch_plan}};
    print_refusal("bad key", submit(deployment, 0, "nobody.nothing", job));
    json oversized = job;
    oversized["tasks"] = 64;
    oversized["cores"] = 8;
    print_refusal("never feasible",
                  submit(deployment, 1, keys.back(), oversized));
    load_report flood = run_load({.gates = {deployment.gate_url(2)},
                                  .keys = {keys.back()},
                                  .plan = example.check_plan,
                                  .checks_per_s = 200,
                                  .duration_ms = 500,
                                  .work_ms = 200,
                                  .deadline_ms = 100,
                                  .idempotent = true});
    print_row("refusal: organisation at its limit (HTTP 429) of " +
                  std::to_string(flood.sent),
              std::to_string(flood.statuses[429]));
}

/** Prints the CPU, memory and log usage of the programs, and the audit. */
void print_costs(const cluster& deployment) {
    double cpu = 0;
    double most_memory = 0;
    for (int host = 0; host < deployment.hosts(); ++host)
        for (const std::string& url :
             {deployment.relay_url(host), deployment.gate_url(host),
              deployment.placer_url(host)}) {
            cpu += metric_value(url, "process_cpu_seconds_total");
            most_memory =
                std::max(most_memory,
                         metric_value(url, "process_resident_memory_bytes"));
        }
    const json stats = deployment.platform_stats();
    print_row("log appends, bytes",
              stats["streams"]["cell"]["appends"].dump() + ", " +
                  stats["streams"]["cell"]["bytes"].dump());
    print_row("CPU seconds of all 18 programs", format_number(cpu));
    print_row("largest resident memory of a program, MB",
              format_number(most_memory / 1e6));
    const json audit = deployment.audit();
    print_row("audit: tasks in two places, overcommitted",
              audit["two_places"].dump() + ", " +
                  audit["overcommitted"].dump());
}

/** Runs one example from start to end. */
void run_example(const example_deployment& example) {
    std::printf("%s\n", example.name.c_str());
    cluster deployment(
        {.declarations_dir = FLAGS_examples + "/" + example.name,
         .work_dir = std::filesystem::temp_directory_path() /
                     ("rattan-demo-" + std::to_string(getpid()) + example.name),
         .base_port = example.base_port,
         .runners = 50,
         .workers = 50,
         .cores = example.cores,
         .memory_mib = example.memory_mib,
         .clock_skew_ms = 500});
    deployment.start();
    print_row("entry hosts, runners, workers, programs",
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
    run_checks(deployment, example, keys);
    keys.push_back(smallest);
    run_jobs(deployment, example, keys);
    run_refusals(deployment, example, keys);
    print_costs(deployment);
    std::filesystem::remove_all(deployment.options().work_dir);
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("Runs checks and jobs on the example deployments.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        for (const example_deployment& example : EXAMPLES)
            if (FLAGS_deployment == "both" || FLAGS_deployment == example.name)
                run_example(example);
        return 0;
    } catch (const rattan::error& failure) {
        std::cerr << "rattan_demo: " << failure.what() << "\n";
        return 1;
    }
}
