/** @file Memory of rattan_front under clients with many accepted requests. */
#include "process_client_crowd.hpp"
#include "process_overload_fixture.hpp"

#include <memory>

namespace {

using nlohmann::json;
using namespace rattan::standin;

/** Clients that send one job after the other. */
constexpr int SENDERS = 16;
constexpr int LARGE_JOBS_EACH = 12;
constexpr std::size_t LARGE_JOB_STEPS = 1000;
constexpr std::size_t LABEL_BYTES = 170;
/** No target has this label, so that the jobs stay. */
const std::string MISSING_LABEL(LABEL_BYTES, 'x');
constexpr auto CROWD_TIME = std::chrono::seconds(60);
constexpr std::uint64_t LAST_CLIENT_ID = 1U << 20U;

/** Id of a client's job: 16 hexadecimal digits. */
std::string client_job_id(int client, int number) {
    char id[17];
    std::snprintf(id, sizeof id, "%016llx",
                  static_cast<unsigned long long>(client) * LAST_CLIENT_ID +
                      static_cast<unsigned long long>(number) + 1);
    return id;
}

std::string request_text(const std::string& method, const std::string& id,
                         const std::string& body = "") {
    return method + " /q/" + id +
           " HTTP/1.1\r\nHost: shop.example\r\n"
           "Authorization: Token key-1\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** A job of steps that do not depend on each other. */
std::string job_text(std::size_t steps, const std::string& label) {
    json step = {{"count", 1}, {"cpu", 1000}, {"memMb", 10}, {"estimateMs", 1}};
    if (!label.empty())
        step["constraints"] = label;
    return json({{"taskSpec", "ms=1"},
                 {"jobSteps", std::vector<json>(steps, step)}})
        .dump();
}

std::string large_job() {
    return job_text(LARGE_JOB_STEPS, MISSING_LABEL);
}

/** A plan in which each client submits the same job under several ids. */
client_plan submissions(int clients, int jobs_each, const std::string& job) {
    return {.clients = clients,
            .request = [jobs_each, job](int client, int number) {
                return number < jobs_each
                           ? request_text("POST", client_job_id(client, number),
                                          job)
                           : std::string();
            }};
}

} // namespace

namespace rattan::standin {

/** Adds crowds whose requests are complete. */
class job_overload_test : public overload_test {
protected:
    /** Lets a crowd work until it has finished, but not for ever. */
    void wait_for_crowd(const client_crowd& crowd) {
        const auto until = std::chrono::steady_clock::now() + CROWD_TIME;
        while (!crowd.finished() && std::chrono::steady_clock::now() < until &&
               waitpid(front_pid_, nullptr, WNOHANG) == 0) {
            sample_descriptors();
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        std::printf("%d requests accepted\n", crowd.accepted());
    }

    /** Runs a crowd of clients; they stay connected while it is checked. */
    void expect_sound_with(const client_plan& plan) {
        start_front();
        client_crowd crowd(front_ip_, FRONT_PORT, plan);
        wait_for_crowd(crowd);
        expect_sound();
    }

    blocking_response send_to_front(const std::string& method,
                                    const std::string& id,
                                    const std::string& body) const {
        return send_http_request({.method = method,
                                  .url = front_url("/q/" + id),
                                  .body = body,
                                  .headers = {{"Host", "shop.example"},
                                              {"Authorization", "Token key-1"}},
                                  .timeout_ms = 3000});
    }
};

} // namespace rattan::standin

// Guards against accepted jobs that fill the memory of the owner.
TEST_F(job_overload_test, large_jobs) {
    expect_sound_with(submissions(SENDERS, LARGE_JOBS_EACH, large_job()));
}

TEST_F(job_overload_test, large_jobs_without_labels) {
    expect_sound_with(
        submissions(SENDERS, LARGE_JOBS_EACH, job_text(LARGE_JOB_STEPS, "")));
}

// Guards against jobs that arrive on connections whose clients never read.
TEST_F(job_overload_test, jobs_without_reading_answers) {
    client_plan plan = submissions(250, 30, job_text(100, ""));
    plan.reads_answers = false;
    expect_sound_with(plan);
}

// Guards against large jobs that leave no room for the small ones of the same
// organisation.
TEST_F(job_overload_test, small_job_beside_large_jobs) {
    start_front();
    client_crowd crowd(front_ip_, FRONT_PORT,
                       submissions(SENDERS, LARGE_JOBS_EACH, large_job()));
    wait_for_crowd(crowd);
    const std::string small = job_text(1, "");
    wait_for("a small job to be accepted", [&] {
        return send_to_front("POST", client_job_id(SENDERS, 1), small).status ==
               200;
    });
    expect_sound();
}

// Guards against a job that starts more repeats than there is memory for.
TEST_F(job_overload_test, jobs_with_many_repeats) {
    json job = json::parse(job_text(1, MISSING_LABEL));
    job["repeatCount"] = 100'000;
    job["firstRunMs"] = 1;
    job["intervalMs"] = 1;
    expect_sound_with(submissions(SENDERS, 20, job.dump()));
}

// Guards against what is kept of jobs after their end.
TEST_F(job_overload_test, cancelled_large_jobs) {
    const std::string job = large_job();
    expect_sound_with(
        {.clients = SENDERS, .request = [&](int client, int number) {
             const std::string id = client_job_id(client, number / 2);
             if (number >= 2 * LARGE_JOBS_EACH)
                 return std::string();
             return number % 2 == 0 ? request_text("POST", id, job)
                                    : request_text("DELETE", id);
         }});
}

// Guards against cancellations of jobs that do not exist.
TEST_F(job_overload_test, cancellations_of_unknown_jobs) {
    expect_sound_with(
        {.clients = 100, .request = [](int client, int number) {
             return number < 1500
                        ? request_text("DELETE", client_job_id(client, number))
                        : std::string();
         }});
}

// Guards against a next owner that has less memory than the one before.
TEST_F(job_overload_test, jobs_loaded_by_a_smaller_host) {
    constexpr int LARGE_HOST = 2;
    constexpr int LARGE_MEMORY_MB = 512;
    const pid_t large =
        spawn_host(LARGE_HOST, LARGE_MEMORY_MB, MAX_DESCRIPTORS);
    const std::string small_ip = front_ip_;
    front_ip_ = network_prefix_ + std::to_string(LARGE_HOST);
    wait_for("the large host to answer",
             [&] { return ordinary_request().status == 200; });
    const std::string large_ip = std::exchange(front_ip_, small_ip);
    start_front();
    {
        client_crowd crowd(large_ip, FRONT_PORT,
                           submissions(SENDERS, LARGE_JOBS_EACH, large_job()));
        wait_for_crowd(crowd);
    }
    kill_process(large);
    expect_sound();
}

// Guards against a host that joins late and takes over more jobs than it has
// memory for, though a larger one could.
TEST_F(job_overload_test, jobs_are_left_to_a_larger_host) {
    constexpr int LARGE_HOSTS[] = {2, 3};
    constexpr int LARGE_MEMORY_MB = 2048;
    const pid_t owner =
        spawn_host(LARGE_HOSTS[0], LARGE_MEMORY_MB, MAX_DESCRIPTORS);
    const std::string small_ip = front_ip_;
    front_ip_ = network_prefix_ + std::to_string(LARGE_HOSTS[0]);
    wait_for("the owner to answer",
             [&] { return ordinary_request().status == 200; });
    const pid_t next =
        spawn_host(LARGE_HOSTS[1], LARGE_MEMORY_MB, MAX_DESCRIPTORS);
    front_pid_ = owner;
    {
        client_crowd crowd(front_ip_, FRONT_PORT,
                           submissions(SENDERS, LARGE_JOBS_EACH, large_job()));
        wait_for_crowd(crowd);
    }
    front_ip_ = small_ip;
    start_front();
    kill_process(owner);
    expect_sound();
    EXPECT_EQ(waitpid(next, nullptr, WNOHANG), 0) << "the next owner has ended";
    kill_process(next);
}

// Guards against refusing the repeated submission of an accepted job, and
// against running a job whose submissions were all refused.
TEST_F(job_overload_test, accepted_jobs_are_known_under_load) {
    const std::string job = large_job();
    start_front();
    const std::string first = client_job_id(SENDERS, 0);
    EXPECT_EQ(send_to_front("POST", first, job).status, 200);
    client_crowd crowd(front_ip_, FRONT_PORT,
                       submissions(SENDERS, LARGE_JOBS_EACH, job));
    wait_for_crowd(crowd);
    wait_for("the answer to a repeated submission",
             [&] { return send_to_front("POST", first, job).status == 200; });
    wait_for("the state of an accepted job",
             [&] { return send_to_front("GET", first, "").status == 200; });
    for (int client = 0; client < SENDERS; ++client) {
        const std::string id = client_job_id(client, LARGE_JOBS_EACH);
        const long status = send_to_front("POST", id, job).status;
        if (status != 429 && status != 503)
            continue;
        EXPECT_EQ(send_to_front("GET", id, "").status, 410) << id;
    }
    expect_sound();
}
