#include "deployment.hpp"

#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using nlohmann::json;
using rattan::standin::blocking_response;
using rattan::standin::send_http_request;

namespace {

constexpr millis CALLS_PERIOD{2};
constexpr millis HEARTBEAT_PERIOD{1500};
/** An entry is removed after three heartbeats of silence. */
constexpr std::int64_t ENTRY_LIFETIME_MS = 4500;
constexpr millis ENTRIES_PERIOD{50};
const std::string TARGETS_TOPIC = "keyed.servers";
const std::string KEY = "key-1";

void sleep_ms(int time) {
    std::this_thread::sleep_for(std::chrono::milliseconds(time));
}

} // namespace

std::string job_name(int number) {
    static constexpr char DIGITS[] = "0123456789abcdef";
    std::string name = "5c0e7a21d94b0000";
    for (size_t i = 0; i < 4; ++i, number /= 16)
        name[15 - i] = DIGITS[number % 16];
    return name;
}

deployment::deployment(deployment_options options)
    : options_(std::move(options)),
      prefix_("127." + std::to_string(20 + getpid() % 200) + "." +
              std::to_string(1 + getpid() / 200 % 250) + "."),
      work_dir_(std::filesystem::temp_directory_path() /
                ("rattan-review-2-" + std::to_string(getpid()))),
      record_(std::make_unique<recorder>(options_.record_file.string())),
      loop_(std::make_unique<rattan::event_loop>()) {
    std::filesystem::create_directories(work_dir_);
    store_ = std::make_unique<model_store>(*loop_, platform_ip() + ":21000",
                                           store_times{});
    for (int i = 0; i < options_.targets; ++i) {
        targets_.push_back(std::make_unique<model_target>(
            *loop_, *record_, "i-7f3a91c" + std::to_string(i),
            platform_ip() + ":" + std::to_string(21010 + i), "nbi-a",
            options_.milli_cores, options_.memory_mib, options_.plan));
        heard_ms_[i] = 0;
        listed_[i] = false;
    }
    write_config();
    const auto write_entries = [this] {
        const std::int64_t now = event_loop::now().time_since_epoch().count();
        for (int i = 0; i < options_.targets; ++i) {
            const model_target& target = *targets_[i];
            const bool writes = target.up() && !target.cut();
            // A process that begins writes at once.
            if (writes && (!listed_[i] || target.born() != entry_born_[i] ||
                           now - heard_ms_[i] >= HEARTBEAT_PERIOD.count())) {
                entry_born_[i] = target.born();
                store_->put(TARGETS_TOPIC, target.id(), target.entry());
                heard_ms_[i] = now;
                listed_[i] = true;
            } else if (listed_[i] && now - heard_ms_[i] > ENTRY_LIFETIME_MS) {
                store_->put(TARGETS_TOPIC, target.id(), "");
                listed_[i] = false;
                record_->note("entry of target " + target.id() + " is removed");
            }
        }
    };
    write_entries();
    loop_->every(ENTRIES_PERIOD, write_entries);
    loop_->every(CALLS_PERIOD, [this] {
        std::vector<std::function<void()>> calls;
        {
            const std::lock_guard lock(mutex_);
            calls.swap(calls_);
        }
        for (const auto& call : calls)
            call();
    });
    thread_ = std::thread([this] { loop_->run(); });
    for (int host = 1; host <= options_.hosts; ++host)
        start_host(host);
    if (!wait_for([this] { return owner() != 0; }, 20'000))
        throw std::runtime_error("no owner");
    if (!wait_for([this] { return call(1, "GET", "").status == 200; }, 10'000))
        throw std::runtime_error("no answer to clients");
}

deployment::~deployment() {
    for (const auto& [host, pid] : pids_) {
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
    }
    if (thread_.joinable()) {
        in_loop([this] { loop_->stop(); });
        thread_.join();
    }
    targets_.clear();
    store_.reset();
    std::filesystem::remove_all(work_dir_);
}

void deployment::in_loop(const std::function<void()>& call) {
    std::mutex done_mutex;
    std::condition_variable condition;
    bool done = false;
    {
        const std::lock_guard lock(mutex_);
        calls_.emplace_back([&] {
            call();
            const std::lock_guard done_lock(done_mutex);
            done = true;
            condition.notify_one();
        });
    }
    std::unique_lock lock(done_mutex);
    condition.wait(lock, [&] { return done; });
}

std::string deployment::host_ip(int host) const {
    return prefix_ + std::to_string(host);
}

std::string deployment::platform_ip() const {
    return prefix_ + "100";
}

void deployment::write_config() {
    const json queue = {{"name", "r-1"},       {"hostname", "shop.example"},
                        {"pathPrefix", "/q/"}, {"service", "pool"},
                        {"priority", 0},       {"maxAttempts", 3},
                        {"stretch", 2},        {"targetLatencyMs", 500}};
    json tenant = {{"name", "coop"}, {"apiKeys", {KEY}}, {"weight", 100}};
    if (options_.max_milli_cores > 0)
        tenant["maxCount"] = {
            {"cpu", options_.max_milli_cores}, {"memMb", 0}, {"gpu", 0}};
    const json config = {
        {"configVersion", 1},
        {"routes", {queue}},
        {"services", {{{"name", "pool"}, {"rejectsOverload", false}}}},
        {"tenants", {tenant}},
        {"limits", {{"maxBodyBytes", 262144}}}};
    store_->put("keyed.op", "config", config.dump());
}

void deployment::write_settings(int host) {
    const std::string ip = host_ip(host);
    std::ofstream out(work_dir_ / ("host" + std::to_string(host)));
    out << "nodeName=front-" << host
        << "\nrole=entry\nmachineClass=front\nserves=front\nip=" << ip
        << "\nzone=nbi-a\nregion=nairobi\nzones.nbi-a=nairobi"
        << "\nlistenAddrs.front=" << ip << ":8183\nlistenAddrs.readyAddr=" << ip
        << ":8184\ninternalPorts=7420,7435\nbootstrap=true"
        << "\nlimits.cpuShare=0.25\nlimits.cpuCores=1\nlimits.memoryMb=260"
        << "\nlimits.maxFds=4100\nheartbeatMs=" << HEARTBEAT_PERIOD.count()
        << "\nplatform.address=" << platform_ip()
        << ":21000\nplatform.form=log\nplatform.writesPerS=600"
        << "\nplatform.readsPerS=2000\nplatform.parts=16"
        << "\nplatform.recordBytes=262144\nplatform.callBytes=2097152"
        << "\nplatform.keep_s=300\nbounds.contactMs=3000"
        << "\nbounds.drainMs=2000\nbounds.graceS=6\nbounds.configApplyMs=2000"
        << "\nbounds.quotaOverage=0.1\nbounds.evacuateMs=5000"
        << "\nbounds.maxHoldMs=6000\nbounds.stopMs=200\nbounds.gangWaitMs=3000"
        << "\nbounds.cancel_ms=3000\nbounds.visible_ms=3000"
        << "\nbounds.status_s=120\nbounds.harmMs=4000\ncontrolMode=call\n";
}

void deployment::start_host(int host) {
    write_settings(host);
    const std::string settings =
        "--settings=" + (work_dir_ / ("host" + std::to_string(host))).string();
    const std::string log =
        (work_dir_ / ("host" + std::to_string(host) + ".log")).string();
    const pid_t parent = getpid();
    const pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(file, STDOUT_FILENO);
        dup2(file, STDERR_FILENO);
        if (getppid() == parent)
            execl(options_.program.c_str(), options_.program.c_str(),
                  settings.c_str(), nullptr);
        _exit(127);
    }
    pids_[host] = pid;
    record_->note("host " + std::to_string(host) + " starts");
}

void deployment::kill_host(int host) {
    record_->note("host " + std::to_string(host) + " is killed");
    kill(pids_.at(host), SIGKILL);
    waitpid(pids_.at(host), nullptr, 0);
    pids_.erase(host);
}

void deployment::terminate_host(int host) {
    record_->note("host " + std::to_string(host) + " gets SIGTERM");
    kill(pids_.at(host), SIGTERM);
}

void deployment::freeze_host(int host) {
    record_->note("host " + std::to_string(host) + " stands still");
    kill(pids_.at(host), SIGSTOP);
}

void deployment::wake_host(int host) {
    record_->note("host " + std::to_string(host) + " wakes");
    kill(pids_.at(host), SIGCONT);
}

void deployment::wait_for_exit(int host) {
    const pid_t pid = pids_.at(host);
    if (!wait_for([&] { return waitpid(pid, nullptr, WNOHANG) == pid; },
                  8000)) {
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
    }
    pids_.erase(host);
    record_->note("host " + std::to_string(host) + " has ended");
}

int deployment::owner() {
    for (const auto& [host, pid] : pids_) {
        const json dump =
            send_http_request({.url = "http://" + host_ip(host) + ":9464/dump",
                               .timeout_ms = 500})
                .json();
        if (dump.is_object() && dump.contains("epoch"))
            return host;
    }
    return 0;
}

blocking_response deployment::call(int host, const std::string& method,
                                   const std::string& job,
                                   const std::string& body) {
    blocking_response answer =
        send_http_request({.method = method,
                           .url = "http://" + host_ip(host) + ":8183/q/" + job,
                           .body = body,
                           .headers = {{"Host", "shop.example"},
                                       {"Authorization", "Token " + KEY},
                                       {"Content-Type", "application/json"},
                                       {"X-Rattanknot-Deadline-Ms", "3000"}},
                           .timeout_ms = 3000});
    record_->note("client " + method + " " + job + " at host " +
                  std::to_string(host) + ": " + std::to_string(answer.status) +
                  " " + answer.body.substr(0, 200));
    return answer;
}

bool deployment::submit(const std::string& job, const json& body) {
    for (int attempt = 0; attempt < 20; ++attempt) {
        const int host = 1 + attempt % options_.hosts;
        if (call(host, "POST", job, body.dump()).status == 200)
            return true;
        sleep_ms(300);
    }
    return false;
}

std::string deployment::state(int host, const std::string& job) {
    const json body = call(host, "GET", job).json();
    return body.is_object() ? body.value("state", "") : "";
}

bool deployment::wait_for(const std::function<bool()>& done, int limit_ms) {
    for (int waited = 0; waited < limit_ms; waited += 50) {
        if (done())
            return true;
        sleep_ms(50);
    }
    return done();
}

} // namespace review
