/** @file Measures the resource usage of the programs at several sizes. */
#include "harness_cluster.hpp"
#include "harness_load.hpp"
#include "net/program_runtime.hpp"
#include "rattan/error_type.hpp"

#include <gflags/gflags.h>

#include <cstdio>
#include <iostream>
#include <thread>
#include <unistd.h>

DEFINE_string(examples, "examples", "folder of the example declarations");
DEFINE_int32(seconds, 5, "duration of each measurement");

namespace {

using nlohmann::json;
using namespace rattan::standin;

const std::string KEY = "nairobi-coop-1.demo-nairobi-coop";

/** Usage of all programs of one kind. */
struct usage {
    double cpu_s = 0;
    double memory_mb = 0; ///< Of the largest process.
    double bytes = 0;     ///< Sent to workers, readers and the log, and folded.
    double appends = 0;
};

/** Value of a metric in a metrics page; 0 when it is missing. */
double metric_value(const std::string& metrics, const std::string& name) {
    const size_t at = metrics.find("\n" + name + " ");
    return at == std::string::npos
               ? 0
               : std::atof(metrics.c_str() + at + name.size() + 2);
}

/** Usage of one kind of program since its start. */
usage usage_of(const cluster& deployment, program kind) {
    usage sum;
    for (int host = 0; host < deployment.hosts(); ++host) {
        const std::string url =
            kind == program::relay  ? deployment.relay_url(host)
            : kind == program::gate ? deployment.gate_url(host)
                                    : deployment.placer_url(host);
        const std::string metrics =
            "\n" + send_http_request({.url = url + "/metrics"}).body;
        sum.cpu_s += metric_value(metrics, "process_cpu_seconds_total");
        sum.memory_mb = std::max(
            sum.memory_mb,
            metric_value(metrics, "process_resident_memory_bytes") / 1e6);
        sum.bytes += metric_value(metrics, "rattan_worker_bytes_total") +
                     metric_value(metrics, "rattan_read_bytes_sent_total") +
                     metric_value(metrics, "rattan_log_append_bytes_total") +
                     metric_value(metrics, "rattan_record_bytes_folded_total");
        sum.appends += metric_value(metrics, "rattan_log_appends_total");
    }
    return sum;
}

/** Runs a workload and prints the usage per second meanwhile. */
void measure(const cluster& deployment, const std::string& what,
             const std::function<void()>& workload) {
    std::map<program, usage> before;
    for (const program kind : {program::relay, program::gate, program::placer})
        before[kind] = usage_of(deployment, kind);
    const auto start_ms = rattan::wall_millis();
    workload();
    const double seconds =
        static_cast<double>(rattan::wall_millis() - start_ms) / 1e3;
    std::printf("%-34s", what.c_str());
    for (const program kind :
         {program::relay, program::gate, program::placer}) {
        const usage now = usage_of(deployment, kind);
        std::printf(" | %7.2f %8.2f %6.1f %6.2f",
                    (now.cpu_s - before[kind].cpu_s) / seconds * 1e3,
                    (now.bytes - before[kind].bytes) / seconds / 1e3,
                    now.memory_mb,
                    (now.appends - before[kind].appends) / seconds);
    }
    std::printf("\n");
    std::fflush(stdout);
}

/** Workload that does nothing for one measurement. */
void idle() {
    std::this_thread::sleep_for(std::chrono::seconds(FLAGS_seconds));
}

void submit(const cluster& deployment, int host, const json& job) {
    send_http_request({.method = "POST",
                       .url = deployment.gate_url(host) + "/v1/jobs",
                       .body = job.dump(),
                       .headers = caller_headers(KEY, new_request_id())});
}

/** Submits `rate` gangs of four short tasks per second. */
void start_gangs(const cluster& deployment, int rate) {
    const auto start_ms = rattan::wall_millis();
    int sent = 0;
    while (rattan::wall_millis() - start_ms < FLAGS_seconds * 1'000) {
        if (sent * 1'000 / rate > rattan::wall_millis() - start_ms) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
            continue;
        }
        submit(deployment, sent++ % deployment.hosts(),
               {{"plan", "tender-pricing"},
                {"tasks", 4},
                {"cores", 1},
                {"memory_mib", 16},
                {"payload", "run_ms=300"}});
    }
}

/** Publishes `rate` configuration changes per second. */
void publish_changes(cluster& deployment, int rate) {
    json document = deployment.declarations();
    for (int i = 0; i < FLAGS_seconds * rate; ++i) {
        document["teams"]["thika-shops"]["weight"] = 1 + i % 5;
        deployment.publish(document);
        std::this_thread::sleep_for(std::chrono::milliseconds(1'000 / rate));
    }
}

/** Runs all measurements with a number of workers. */
void run_size(int workers, int base_port) {
    cluster deployment(
        {.declarations_dir = FLAGS_examples + "/board",
         .work_dir = std::filesystem::temp_directory_path() /
                     ("rattan-capacity-" + std::to_string(getpid()) + "-" +
                      std::to_string(workers)),
         .base_port = base_port,
         .runners = 24,
         .workers = workers,
         .cores = 64});
    deployment.start();
    const std::string size = std::to_string(workers) + " workers";
    measure(deployment, size + ", idle", idle);
    for (int i = 0; i < workers / 2; ++i)
        submit(deployment, i % 6,
               {{"plan", "curing-watch"},
                {"tasks", 8},
                {"cores", 0},
                {"memory_mib", 1}});
    wait_until([&] {
        return deployment.audit()["running"].size() ==
               static_cast<size_t>(workers / 2 * 8);
    });
    measure(deployment, size + ", 4 tasks each", idle);
    for (const int rate : {5, 20})
        measure(deployment,
                size + ", " + std::to_string(4 * rate) + " starts/s",
                [&] { start_gangs(deployment, rate); });
    measure(deployment, size + ", 2 changes/s",
            [&] { publish_changes(deployment, 2); });
    measure(deployment, size + ", 500 checks/s", [&] {
        std::vector<std::string> gates;
        for (int host = 0; host < deployment.hosts(); ++host)
            gates.push_back(deployment.gate_url(host));
        run_load({.gates = gates,
                  .keys = {KEY},
                  .plan = "price-check",
                  .checks_per_s = 500,
                  .duration_ms = FLAGS_seconds * 1'000});
    });
    std::filesystem::remove_all(deployment.options().work_dir);
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("Measures the resource usage of the programs.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::printf("%-34s | %-31s| %-31s| %s\n",
                "sums over 6 entry hosts, per second",
                "relay: cpu ms, kB, MB, appends", "gate", "placer");
    try {
        int port = 24'000;
        for (const int workers : {24, 96}) {
            run_size(workers, port);
            port += 700;
        }
        return 0;
    } catch (const rattan::error& failure) {
        std::cerr << "rattan_capacity: " << failure.what() << "\n";
        return 1;
    }
}
