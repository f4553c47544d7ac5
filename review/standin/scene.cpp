#include "scene.hpp"

#include "tool.hpp"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

using nlohmann::json;
using rattan::standin::blocking_response;
using rattan::standin::send_http_request;

namespace {

constexpr std::int64_t RESTART_MS = 400;
const std::string STORE = "100:8182";
const std::string ADVICE = "101:8182";
const std::string ADMIN = "102:9000";
const std::string KEY = "key-of-tenant-a";
const std::vector<std::string> ZONES = {"nbi-a", "nbi-b", "nbi-c"};

std::string zone_of(int number) {
    return ZONES[static_cast<std::size_t>(number) % ZONES.size()];
}

std::string own_program() {
    return std::filesystem::read_symlink("/proc/self/exe").string();
}

} // namespace

void sleep_ms(std::int64_t ms) {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

scene::scene(const std::string& record_file, scene_options options)
    : record_(record_file), options_(options) {
    prefix_ = "127." + std::to_string(20 + getpid() % 200) + "." +
              std::to_string(1 + steady_ms() % 250) + ".";
    std::string name =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr)
        throw std::runtime_error("no temporary folder");
    work_dir_ = name;
}

scene::~scene() {
    for (const auto& [name, pid] : pids_) {
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
    }
    if (std::getenv("KEEP") == nullptr)
        std::filesystem::remove_all(work_dir_);
}

bool scene::trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

std::string scene::runner_name(int runner) {
    return (runner < 10 ? "t0" : "t") + std::to_string(runner);
}

void scene::note(const json& line) {
    const std::lock_guard lock(record_mutex_);
    json timed = {{"at", steady_ms()}};
    timed.update(line);
    record_ << timed.dump() << std::endl;
}

bool scene::wait_until(std::int64_t ms, const std::function<bool()>& done,
                       std::int64_t pause_ms) {
    const std::int64_t limit = steady_ms() + ms;
    while (!done()) {
        if (steady_ms() > limit)
            return false;
        sleep_ms(pause_ms);
    }
    return true;
}

pid_t scene::spawn(const std::vector<std::string>& command,
                   const std::string& log, const std::string& settings) {
    std::vector<char*> argv;
    for (const std::string& word : command)
        argv.push_back(const_cast<char*>(word.c_str()));
    argv.push_back(nullptr);
    const std::string file = (work_dir_ / log).string();
    const pid_t parent = getpid();
    const pid_t pid = fork();
    if (pid != 0)
        return pid;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    if (!settings.empty())
        setenv("RATTANKNOT_SETTINGS", settings.c_str(), 1);
    if (getppid() == parent)
        execv(argv[0], argv.data());
    _exit(127);
}

void scene::start_front(int host) {
    const std::string ip = prefix_ + std::to_string(host);
    const std::string name = "front-" + std::to_string(host);
    const std::string path = (work_dir_ / (name + ".conf")).string();
    std::ofstream out(path);
    out << "nodeName=" << name << "\nrole=entry\nmachineClass=front\n"
        << "serves=front\nip=" << ip << "\nzone=" << zone_of(host)
        << "\nregion=nairobi\n";
    for (const std::string& zone : ZONES)
        out << "zones." << zone << "=nairobi\n";
    out << "listenAddrs.front=" << ip << ":8183\nlistenAddrs.readyAddr=" << ip
        << ":8184\ninternalPorts=7420,7435\nseedNodes=\nbootstrap=true\n"
           "inFaultBudget=false\nlimits.cpuShare=0.25\nlimits.cpuCores=1\n"
           "limits.memoryMb=260\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\n"
           "limits.diskMb=0\ndiscovery=platform\nentryType=vip\n"
           "heartbeatMs=1500\nfaultTolerance.machines=1\n"
           "faultTolerance.zones=1\nbounds.contactMs=3000\n"
           "bounds.ackTimeoutMs=4000\nbounds.drainMs=2000\nbounds.graceS=6\n"
           "bounds.configApplyMs=2000\nbounds.maxHoldMs=6000\n"
           "bounds.stopMs=200\nbounds.gangWaitMs=3000\n"
           "bounds.cancel_ms=3000\nbounds.visible_ms=3000\n"
           "bounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\n"
           "bounds.harmMs=4000\nbounds.paceMs=100\ncontrolMode=call\nadvice="
        << prefix_ << ADVICE << "\nplatform.address=" << prefix_ << STORE
        << "\nplatform.form=log\nplatform.writesPerS=600\n"
           "platform.readsPerS=2000\nplatform.parts=16\nplatform.appendMs=3.0\n"
           "platform.partMbS=20.0\nplatform.readMbS=80.0\n"
           "platform.recordBytes=262144\nplatform.callBytes=2097152\n"
           "platform.keep_s=300\nplatform.partMb=200\n"
           "platform.minTtlMs=1000\ncloudApi.address=\ncloudApi.ratePerS=60\n"
           "cloudApi.duties=\ncloudApi.dutyPerS=60\n";
    out.close();
    pids_[name] = spawn({"target/rattan_front"}, name + ".log", path);
    note({{"started", name}});
}

void scene::start_runner(int runner) {
    const std::string name = runner_name(runner);
    pids_[name] =
        spawn({own_program(), "runner", name,
               prefix_ + std::to_string(110 + runner) + ":8000",
               prefix_ + ADMIN, std::to_string(options_.cpu), zone_of(runner)},
              name + ".log", "");
    note({{"started", name}});
}

void scene::signal_front(int host, int signal) {
    const std::string name = "front-" + std::to_string(host);
    note({{"signal", signal}, {"to", name}});
    kill(pids_.at(name), signal);
    if (signal == SIGKILL) {
        waitpid(pids_.at(name), nullptr, 0);
        pids_.erase(name);
    }
}

void scene::signal_runner(int runner, int signal) {
    const std::string name = runner_name(runner);
    note({{"signal", signal}, {"to", name}});
    kill(pids_.at(name), signal);
    if (signal != SIGKILL)
        return;
    waitpid(pids_.at(name), nullptr, 0);
    pids_.erase(name);
    deaths_[runner].push_back(steady_ms());
}

std::int64_t scene::entry_born(int runner) {
    const json entry =
        send_http_request({.url = "http://" + prefix_ + ADMIN +
                                  "/admin/entry?id=" + runner_name(runner)})
            .json();
    return entry.is_object() ? entry.value("born", std::int64_t{0}) : 0;
}

void scene::wait_for_entry(int runner, std::int64_t after_born) {
    if (!wait_until(
            10'000, [&] { return entry_born(runner) > after_born; }, 2))
        throw std::runtime_error("no entry of " + runner_name(runner));
}

blocking_response scene::call(int host, const std::string& method,
                              const std::string& queue, const std::string& job,
                              const std::string& body) {
    return send_http_request({.method = method,
                              .url = "http://" + prefix_ +
                                     std::to_string(host) + ":8183/" + queue +
                                     "/" + job,
                              .body = body,
                              .headers = {{"Host", "shop.example"},
                                          {"Authorization", "Token " + KEY},
                                          {"Content-Type", "application/json"},
                                          {"X-Rattanknot-Deadline-Ms", "3000"}},
                              .timeout_ms = 3'000});
}

std::string scene::submit(const std::string& queue, const json& steps,
                          const std::string& spec) {
    int number = 0;
    {
        const std::lock_guard lock(job_mutex_);
        number = ++next_job_;
    }
    char job[17];
    std::snprintf(job, sizeof job, "%016x", 0xab0000 + number);
    const std::string body =
        json({{"taskSpec", spec}, {"jobSteps", steps}}).dump();
    for (int attempt = 0; attempt < 20; ++attempt) {
        const int host = 1 + (number + attempt) % options_.hosts;
        if (!pids_.contains("front-" + std::to_string(host)))
            continue;
        const auto sent_at = steady_ms();
        const auto answer = call(host, "POST", queue, job, body);
        note({{"post", job},
              {"queue", queue},
              {"host", host},
              {"sent", sent_at},
              {"status", answer.status}});
        if (answer.status == 200)
            return job;
        sleep_ms(200);
    }
    throw std::runtime_error("job not accepted");
}

std::string scene::state(const std::string& queue, const std::string& job) {
    for (int host = 1; host <= options_.hosts; ++host) {
        if (!pids_.contains("front-" + std::to_string(host)))
            continue;
        const auto answer = call(host, "GET", queue, job);
        const json body = answer.json();
        if (answer.status == 200 && body.is_object()) {
            const std::string value = body.value("state", "");
            note({{"get", job}, {"host", host}, {"state", value}});
            return value;
        }
        note({{"get", job}, {"host", host}, {"status", answer.status}});
    }
    return "";
}

void scene::store_admin(const std::string& path, const std::string& body) {
    note({{"store", path}});
    send_http_request({.method = "POST",
                       .url = "http://" + prefix_ + ADMIN + path,
                       .body = body});
}

void scene::runner_admin(int runner, const std::string& path) {
    note({{"runner", runner_name(runner)}, {"admin", path}});
    send_http_request({.method = "POST",
                       .url = "http://" + prefix_ +
                              std::to_string(110 + runner) + ":8000" + path});
}

void scene::put_config(int version, bool with_plan) {
    json routes = json::array();
    for (const auto& [name, priority] :
         {std::pair{"quick", 0}, std::pair{"plan", 2}}) {
        if (priority > 0 && !with_plan)
            continue;
        json route = {{"name", name},
                      {"hostname", "shop.example"},
                      {"pathPrefix", std::string("/") + name + "/"},
                      {"service", "pool"},
                      {"maxAttempts", options_.max_attempts},
                      {"stretch", 2},
                      {"targetLatencyMs", 500}};
        if (priority > 0)
            route["priority"] = priority;
        routes.push_back(route);
    }
    const json config = {
        {"configVersion", version},
        {"routes", routes},
        {"services", {{{"name", "pool"}}}},
        {"tenants",
         {{{"name", "tenant-a"}, {"apiKeys", {KEY}}, {"weight", 100}}}}};
    store_admin("/admin/put?topic=keyed.op&key=config", config.dump());
}

const std::map<int, int>& scene::restart_ended_fronts() {
    for (int host = 1; host <= options_.hosts; ++host) {
        const std::string name = "front-" + std::to_string(host);
        const auto due = start_again_.find(host);
        if (due != start_again_.end() && due->second <= steady_ms()) {
            start_again_.erase(due);
            start_front(host);
        }
        int status = 0;
        if (!pids_.contains(name) ||
            waitpid(pids_.at(name), &status, WNOHANG) <= 0)
            continue;
        pids_.erase(name);
        start_again_[host] = steady_ms() + RESTART_MS;
        ++own_ends_[host];
        note({{"ended_by_itself", name},
              {"signal", WIFSIGNALED(status) ? WTERMSIG(status) : 0},
              {"times", own_ends_[host]}});
    }
    return own_ends_;
}

int scene::owner() {
    for (int host = 1; host <= options_.hosts; ++host) {
        const json dump =
            send_http_request({.url = "http://" + prefix_ +
                                      std::to_string(host) + ":9464/dump",
                               .timeout_ms = 500})
                .json();
        if (dump.is_object() && dump.contains("epoch"))
            return host;
    }
    return 0;
}

void scene::note_runs() {
    for (const auto& [task, list] : runs())
        for (const seen_run& run : list)
            note({{"task", task},
                  {"run", run.number},
                  {"runner", run.runner},
                  {"begin", run.begin},
                  {"end", run.end},
                  {"how", run.how}});
}

void scene::start() {
    note({{"trouble", trouble()}});
    pids_["store"] = spawn({own_program(), "store", prefix_ + STORE,
                            prefix_ + ADVICE, prefix_ + ADMIN},
                           "store.log", "");
    if (!wait_until(5'000, [&] {
            return send_http_request(
                       {.url = "http://" + prefix_ + ADMIN + "/admin/entry"})
                       .status == 200;
        }))
        throw std::runtime_error("the store does not answer");
    put_config(1);
    for (int runner = 0; runner < options_.runners; ++runner)
        start_runner(runner);
    for (int host = 1; host <= options_.hosts; ++host)
        start_front(host);
    sleep_ms(4'000);
    const std::string job =
        submit("quick", {{{"count", options_.runners}, {"cpu", options_.cpu}}},
               "ms=100");
    if (!wait_until(15'000, [&] { return state("quick", job) == "completed"; }))
        throw std::runtime_error("the first job does not complete");
    sleep_ms(5'000); // A new owner polls more often at first.
}

std::map<std::string, std::vector<seen_run>> scene::runs() {
    std::map<std::string, std::vector<seen_run>> out;
    for (int runner = 0; runner < options_.runners; ++runner) {
        const std::string name = runner_name(runner);
        std::ifstream in(work_dir_ / (name + ".log"));
        std::map<std::string, seen_run> open;
        const auto close = [&](const std::string& task, std::int64_t at,
                               const std::string& how) {
            open[task].end = at;
            open[task].how = how;
            out[task].push_back(open[task]);
            open.erase(task);
        };
        std::size_t life = 0;
        for (std::string line; std::getline(in, line);) {
            const json event = json::parse(line, nullptr, false);
            if (!event.is_object())
                continue;
            const std::string what = event.value("what", "");
            const std::string task = event.value("task", "");
            const auto at = event.value("at", std::int64_t{0});
            if (what == "up" && life++ > 0)
                while (!open.empty())
                    close(open.begin()->first, deaths_[runner].at(life - 2),
                          "");
            if (what == "begin")
                open[task] = {.runner = name,
                              .number = event.value("run", std::int64_t{0}),
                              .begin = at};
            if (what == "end" && open.contains(task))
                close(task, at, event.value("how", ""));
        }
        const bool dead = !pids_.contains(name) && !deaths_[runner].empty();
        while (!open.empty())
            close(open.begin()->first,
                  dead ? deaths_[runner].back() : steady_ms(), "");
    }
    for (auto& [task, list] : out)
        std::sort(list.begin(), list.end(),
                  [](const seen_run& a, const seen_run& b) {
                      return a.begin < b.begin;
                  });
    return out;
}

} // namespace review
