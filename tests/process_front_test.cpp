/** @file rattan_front processes against a stand-in of the platform. */
#include "net/rpc_client.hpp"
#include "net/thrift_codec.hpp"
#include "process_front_fixture.hpp"

#include <future>
#include <set>

namespace {

using namespace rattan;
using namespace rattan::standin;

/** Hosts that order work, and refuse jobs, by the cost of a delay. */
class refusal_process_test : public front_process_test {
protected:
    static constexpr int BACKLOG_JOBS = 20;
    static constexpr int BACKLOG_TASKS = 40;

    refusal_process_test() {
        further_settings_ = "scheduling.order=delay_cost\n";
    }

    /** Submits 800 tasks of 1 s; the 48 cores take about 17 s for them. */
    void submit_backlog() {
        for (int i = 0; i < BACKLOG_JOBS; ++i)
            submit(job_name(1000 + i), 2, BACKLOG_TASKS, 1000);
    }

    /** Submits a job of one task of 100 ms, which is worth nothing after 2 s.
     */
    blocking_response submit_small(const std::string& job, int host,
                                   int timeout_ms = 3000) {
        const json step = {
            {"count", 1}, {"cpu", 1000}, {"memMb", 10}, {"estimateMs", 100}};
        return send_http_request(
            {.method = "POST",
             .url = "http://" + network_prefix_ + std::to_string(host) + ":" +
                    std::to_string(FRONT_PORT) + "/q/" + job,
             .body =
                 json({{"taskSpec", "ms=100"}, {"jobSteps", {step}}}).dump(),
             .headers = {{"Host", "shop.example"},
                         {"Authorization", "Token key-1"}},
             .timeout_ms = timeout_ms});
    }

    /** Announces a job to a host as another host does before it stores it. */
    void announce(const std::string& job, int host) {
        event_loop loop;
        rpc_client client(loop,
                          network_prefix_ + std::to_string(host) + ":7420");
        wire::job_state_request request;
        request.job = job;
        request.intent = 1;
        bool done = false;
        client.call(wire::method::JOB_STATE, wire_encode(request), millis(3000),
                    [&](const rpc_call_result& answer) {
                        done = answer.ok();
                        loop.stop();
                    });
        loop.run();
        EXPECT_TRUE(done) << "no answer to an announcement";
    }

    /** Lines of the hosts' log that contain a text. */
    int logged(const std::string& text) {
        std::ifstream log(work_dir_ / "rattan_front.log");
        int count = 0;
        for (std::string line; std::getline(log, line);)
            if (line.find(text) != std::string::npos)
                ++count;
        return count;
    }

    std::string metrics(int host) {
        return send_http_request({.url = "http://" + network_prefix_ +
                                         std::to_string(host) +
                                         ":9464/metrics"})
            .body;
    }
};

} // namespace

TEST_F(front_process_test, jobs_complete_through_every_host) {
    for (int i = 0; i < 9; ++i)
        submit(job_name(i), 1 + i % 3, 3, 100);
    for (int i = 0; i < 9; ++i)
        wait_for("completion", [&] {
            return job_state(job_name(i), 1 + (i + 1) % 3) == "completed";
        });
    EXPECT_EQ(audit_count("starts"), 27);
}

// Guards against an owner without time for its events that no metric shows: the
// cause of late heartbeats could be told only with a changed program.
TEST_F(front_process_test, metrics_show_ticks_and_the_delay_of_the_loop) {
    const std::string metrics =
        send_http_request({.url = "http://" + network_prefix_ +
                                  std::to_string(owner_host()) +
                                  ":9464/metrics"})
            .body;
    EXPECT_NE(metrics.find("rattan_owner_tick_micros"), std::string::npos);
    EXPECT_NE(metrics.find("rattan_loop_delay_micros"), std::string::npos);
}

TEST_F(front_process_test, invalid_requests_get_specific_statuses) {
    EXPECT_EQ(call("POST", job_name(1), 1, "{}", "no-key").status, 401);
    EXPECT_EQ(call("POST", job_name(1), 1, "not json").status, 400);
    EXPECT_EQ(
        call("POST", job_name(1), 1, R"({"jobSteps":[{"count":0}]})").status,
        400);
    // Until the owner is reachable the response is 503.
    wait_for("status 410 for an unknown job",
             [&] { return call("GET", job_name(1), 1).status == 410; });
    EXPECT_EQ(
        send_http_request({.url = "http://" + network_prefix_ + "1:8183/other/",
                           .headers = {{"Host", "shop.example"}}})
            .status,
        404);
    put_config(2, {"key-2"});
    wait_for("the old key to be refused",
             [&] { return call("GET", "", 2).status == 401; });
    wait_for("the new key to work",
             [&] { return call("GET", "", 2, "", "key-2").status == 200; });
}

// Any organisation could cancel the jobs of every other one.
TEST_F(front_process_test, only_the_organisation_of_a_job_can_cancel_it) {
    put_config(2, {"key-1"}, {"key-b"});
    for (int host = 1; host <= 3; ++host)
        wait_for("the second key to work", [&] {
            return call("GET", "", host, "", "key-b").status == 200;
        });
    for (int i = 1; i <= 3; ++i)
        submit(job_name(i), i, 2, 0, true);
    wait_for("all tasks running", [&] { return audit_count("present") == 6; });
    for (int i = 1; i <= 3; ++i) {
        const auto foreign = call("DELETE", job_name(i), i, "", "key-b");
        const auto unknown = call("DELETE", job_name(90 + i), i, "", "key-b");
        EXPECT_EQ(foreign.status, unknown.status);
        EXPECT_EQ(foreign.body, unknown.body);
    }
    std::this_thread::sleep_for(std::chrono::seconds(1));
    EXPECT_EQ(audit_count("present"), 6);
    const int old_owner = owner_host();
    ASSERT_NE(old_owner, 0);
    kill_process(hosts_.at(old_owner));
    hosts_.erase(old_owner);
    const int other = hosts_.begin()->first;
    // The cancellation by another organisation stays in the store.
    wait_for("a job's own organisation to cancel it",
             [&] { return call("DELETE", job_name(1), other).status == 200; });
    wait_for("the end of its tasks",
             [&] { return audit_count("present") == 4; });
    for (int i = 2; i <= 3; ++i)
        EXPECT_EQ(job_state(job_name(i), other), "running");
    EXPECT_EQ(job_state(job_name(1), other), "canceled");
}

// An owner ended when it loaded a record of progress with a key of one byte.
TEST_F(front_process_test, odd_records_of_the_store_end_no_host) {
    const std::string deep =
        std::string(100'000, '[') + std::string(100'000, ']');
    const std::vector<std::string> odd_values{
        "\xff",
        "null",
        "7",
        deep,
        "[]",
        "1 1 [99]",
        "1 1 " + deep,
        R"(["h9","dc1","10.1.1.1:99999",1])",
        R"([1e300,"h9","host.invalid:80",1])",
        R"(["x","q","a",1,"p",0,0,0,[[2147483647,0]]])"};
    for (const char* topic :
         {"keyed.progress", "keyed.jobs", "keyed.members"}) {
        int number = 0;
        for (const std::string& value : odd_values)
            for (const char* prefix : {"", "p/", "j/", "c/", "host/", "%FF"}) {
                const std::string key = prefix + std::to_string(++number % 10);
                EXPECT_EQ(
                    send_http_request(
                        {.method = "POST",
                         .url = admin_url("/admin/store?topic=" +
                                          std::string(topic) + "&put=" + key),
                         .body = value})
                        .status,
                    200);
            }
    }
    submit(job_name(1), 1, 3, 100);
    const int old_owner = owner_host();
    ASSERT_NE(old_owner, 0);
    kill_process(hosts_.at(old_owner));
    hosts_.erase(old_owner);
    const int other = hosts_.begin()->first;
    submit(job_name(2), other, 3, 100);
    for (int i = 1; i <= 2; ++i)
        wait_for("completion",
                 [&] { return job_state(job_name(i), other) == "completed"; });
    for (const auto& [host, pid] : hosts_) {
        int status = 0;
        EXPECT_EQ(waitpid(pid, &status, WNOHANG), 0)
            << "host " << host << " ended with status " << status;
    }
}

// An entry whose key is not valid UTF-8 ended each host that became the owner
// and asked for advice about it.
TEST_F(front_process_test, odd_entries_of_targets_end_no_host) {
    const std::string deep = std::string(100'000, '[');
    const std::string good_start = R"({"service":"pool","zone":"dc1",)"
                                   R"("state":"ready","address":")" +
                                   network_prefix_ + "100:21011\"";
    const std::string good_end =
        R"(,"capacity":{"cpu":1000,"memMb":64},"labels":["a"])";
    const std::vector<std::string> odd_entries{
        "",
        "\xff\xfe",
        "[",
        "null",
        deep + std::string(100'000, ']'),
        R"({"labels":)" + deep + std::string(100'000, ']') + "}",
        R"({"capacity":{"cpu":)" + deep + std::string(100'000, ']') + "}}",
        good_start + R"(,"born":1e400)" + good_end + "}",
        good_start + R"(,"born":1e300)" + good_end + "}",
        good_start + R"(,"born":18446744073709551616)" + good_end + "}",
        good_start + R"(,"seq":1e400)" + good_end + "}",
        good_start + R"(,"capacity":{"cpu":1e300}})",
        good_start + R"(,"capacity":{"cpu":-9223372036854775809}})",
        good_start + good_end + R"(,"address":"10.1.1.1:99999"})",
        good_start + good_end + R"(,"address":"10.1.1.1:0"})",
        good_start + good_end + R"(,"address":"10.1.1.1:-1"})",
        good_start + good_end + R"(,"address":":80"})",
        good_start + good_end + R"(,"address":"10.1.1.1"})",
        good_start + good_end + R"(,"address":"host.invalid:80"})",
        good_start + good_end + ",\"address\":\"" + std::string(200'000, 'a') +
            "\"}",
        good_start + good_end + R"(,"address":"10.1.1.1:80\r\nA: b"})",
        good_start + good_end + R"(,"state":7})"};
    const auto write = [&](const std::string& key, const std::string& value) {
        EXPECT_EQ(send_http_request(
                      {.method = "POST",
                       .url = admin_url(
                           "/admin/store?topic=keyed.servers&put=" + key),
                       .body = value})
                      .status,
                  200);
    };
    const auto expect_all_running = [&] {
        for (const auto& [host, pid] : hosts_) {
            int status = 0;
            ASSERT_EQ(waitpid(pid, &status, WNOHANG), 0)
                << "host " << host << " ended with status " << status;
        }
    };
    submit(job_name(1), 1, 3, 1500);
    for (const char* key : {"odd%FF", "t%0D%0AX-Header:%201", "t%201"})
        write(key, good_start + good_end + "}");
    int number = 0;
    for (const std::string& entry : odd_entries) {
        write("odd" + std::to_string(++number), entry);
        write("t0", entry); // Until the target writes its entry again.
    }
    for (int i = 2; i < 8; ++i)
        submit(job_name(i), 1 + i % 3, 3, 100);
    for (int i = 1; i < 8; ++i)
        wait_for("completion",
                 [&] { return job_state(job_name(i), 1) == "completed"; });
    expect_all_running();
    // The next owner reads the entries as a snapshot.
    const int old_owner = owner_host();
    ASSERT_NE(old_owner, 0);
    kill_process(hosts_.at(old_owner));
    hosts_.erase(old_owner);
    const int other = hosts_.begin()->first;
    submit(job_name(20), other, 3, 100);
    wait_for("completion of the later job",
             [&] { return job_state(job_name(20), other) == "completed"; });
    expect_all_running();
}

TEST_F(front_process_test, jobs_continue_after_the_owner_is_killed) {
    submit(job_name(50), 2, 4, 0, true);
    for (int i = 0; i < 6; ++i)
        submit(job_name(i), 1 + i % 3, 3, 1500);
    wait_for("all tasks running", [&] { return audit_count("present") == 22; });
    const int old_owner = owner_host();
    ASSERT_NE(old_owner, 0);
    kill_process(hosts_.at(old_owner));
    hosts_.erase(old_owner);
    const int other = hosts_.begin()->first;
    submit(job_name(20), other, 3, 100);
    for (int i = 0; i < 6; ++i)
        wait_for("completion",
                 [&] { return job_state(job_name(i), other) == "completed"; });
    wait_for("completion of the later job",
             [&] { return job_state(job_name(20), other) == "completed"; });
    EXPECT_EQ(audit_count("present"), 4);
    EXPECT_EQ(audit_count("starts"), 25)
        << "a takeover must not restart running tasks";
}

TEST_F(front_process_test, jobs_continue_after_all_hosts_are_killed) {
    submit(job_name(50), 2, 4, 0, true);
    submit(job_name(1), 1, 3, 3000);
    wait_for("all tasks running", [&] { return audit_count("present") == 7; });
    for (const auto& [host, pid] : hosts_)
        kill_process(pid);
    for (int host = 1; host <= 3; ++host)
        start_host(host);
    wait_for("completion",
             [&] { return job_state(job_name(1), 1) == "completed"; });
    wait_for("the long-lived tasks to run",
             [&] { return audit_count("present") == 4; });
}

TEST_F(front_process_test, store_outage_refuses_new_jobs_and_loses_none) {
    submit(job_name(1), 1, 3, 500);
    send_http_request({.url = admin_url("/admin/store?down=1")});
    wait_for("a refusal", [&] {
        const json step = {{"count", 1}, {"cpu", 1000}};
        const auto answer =
            call("POST", job_name(2), 2,
                 json({{"taskSpec", "ms=1"}, {"jobSteps", {step}}}).dump());
        return answer.status == 503 && answer.headers.contains("retry-after");
    });
    send_http_request({.url = admin_url("/admin/store?down=0")});
    submit(job_name(3), 3, 3, 100);
    for (const int job : {1, 3})
        wait_for("completion",
                 [&] { return job_state(job_name(job), 2) == "completed"; });
    EXPECT_EQ(audit_count("starts"), 6) << "a refused job must never run";
}

// Failed when only the host that took a request could write its record: a host
// that can't reach the store must write through a peer.
TEST_F(front_process_test, host_without_store_writes_through_peers) {
    send_http_request({.url = admin_url("/admin/store?side_silent=1")});
    const json step = {{"count", 2}, {"cpu", 1000}, {"estimateMs", 50}};
    const std::string body =
        json({{"taskSpec", "ms=50"}, {"jobSteps", {step}}}).dump();
    wait_for("an accepted job", [&] {
        return call("POST", job_name(1), ALTERNATE_STORE_HOST, body).status ==
               200;
    });
    // If the host without the store was the owner, it can't learn that it was
    // replaced: its dump is not consulted.
    wait_for("another owner",
             [&] { return owner_host(ALTERNATE_STORE_HOST) != 0; });
    // No exact time is checked: heartbeats can be late on a loaded machine.
    for (int i = 2; i < 22; ++i)
        submit(job_name(i), ALTERNATE_STORE_HOST, 2, 50);
    for (int i = 1; i < 22; ++i)
        wait_for("completion",
                 [&] { return job_state(job_name(i), 2) == "completed"; });
}

// Records go to other partitions when some don't respond. Failed when each
// topic had a single partition.
TEST_F(front_process_test, silent_partitions_do_not_block_jobs) {
    for (const char* part : {"keyed.progress/0", "keyed.jobs/0", "keyed.jobs/1",
                             "keyed.jobs/2", "keyed.jobs/3"})
        send_http_request(
            {.url = admin_url("/admin/store?silent_part=") + part});
    for (int i = 0; i < 9; ++i)
        submit(job_name(i), 1 + i % 3, 2, 100);
    for (int i = 0; i < 9; ++i)
        wait_for("completion", [&] {
            return job_state(job_name(i), 1 + (i + 1) % 3) == "completed";
        });
    EXPECT_EQ(audit_count("starts"), 18);
}

// Failed when the progress of a job was dropped but its record was kept: the
// next owner took the job for a new one and started it again.
TEST_F(front_process_test, expired_jobs_do_not_start_again) {
    status_retention_s_ = 1;
    for (const auto& [host, pid] : hosts_)
        kill_process(pid);
    for (int host = 1; host <= 3; ++host)
        start_host(host);
    submit(job_name(1), 1, 3, 50);
    wait_for("completion",
             [&] { return job_state(job_name(1), 2) == "completed"; });
    wait_for("the status of the job to expire",
             [&] { return call("GET", job_name(1), 2).status == 410; });
    // Progress records are dropped with the next batch of writes.
    submit(job_name(3), 2, 1, 50);
    wait_for("completion of the next job",
             [&] { return job_state(job_name(3), 2) == "completed"; });
    for (const auto& [host, pid] : hosts_)
        kill_process(pid);
    for (int host = 1; host <= 3; ++host)
        start_host(host);
    submit(job_name(2), 2, 1, 50);
    wait_for("completion of the later job",
             [&] { return job_state(job_name(2), 3) == "completed"; });
    EXPECT_EQ(audit_count("starts"), 5);
    wait_for("status 410 for the expired job",
             [&] { return call("GET", job_name(1), 2).status == 410; });
}

TEST_F(front_process_test, cancelled_job_is_stopped) {
    submit(job_name(1), 1, 6, 0, true);
    wait_for("all tasks running", [&] { return audit_count("present") == 6; });
    wait_for("the cancellation to be accepted",
             [&] { return call("DELETE", job_name(1), 2).status == 200; });
    wait_for("all tasks to stop", [&] { return audit_count("present") == 0; });
    wait_for("state canceled",
             [&] { return job_state(job_name(1), 3) == "canceled"; });
}

TEST_F(front_process_test, tasks_of_a_silent_target_move) {
    submit(job_name(1), 1, 40, 0, true);
    wait_for("all tasks running", [&] { return audit_count("present") == 40; });
    send_http_request({.url = admin_url("/admin/silence?target=0&on=1")});
    // Its eight tasks fit on the other targets once its lease has expired.
    wait_for("its tasks to start on other targets",
             [&] { return audit_count("starts") == 48; });
    EXPECT_EQ(audit_count("present"), 40);
}

// A task ends while the store is down; then the owner and the target are lost.
// Guards against showing a job as completed that runs again later.
TEST_F(front_process_test, completion_is_shown_only_once_it_is_stored) {
    submit(job_name(1), 1, 1, 2000);
    wait_for("the task to start", [&] { return audit_count("present") == 1; });
    const int owner = owner_host();
    ASSERT_GT(owner, 0);
    const std::string target =
        send_http_request({.url = admin_url("/admin/audit")})
            .json()
            .value("last_start_target", "");
    send_http_request({.url = admin_url("/admin/store?down=1")});
    wait_for("the task to end", [&] { return audit_count("done") == 1; });
    int answers = 0;
    wait_for("answers while the store is down", [&] {
        const std::string state = job_state(job_name(1), owner);
        EXPECT_NE(state, "completed");
        answers += state.empty() ? 0 : 1;
        return answers == 20;
    });
    kill_process(hosts_.at(owner));
    send_http_request(
        {.url = admin_url("/admin/silence?on=1&target=" + target.substr(1))});
    send_http_request({.url = admin_url("/admin/store?down=0")});
    start_host(owner);
    lost_ends_ = 1;
    wait_for("completion",
             [&] { return job_state(job_name(1), owner) == "completed"; });
    EXPECT_EQ(audit_count("starts"), 2);
    std::this_thread::sleep_for(std::chrono::seconds(3));
    EXPECT_EQ(audit_count("starts"), 2) << "no start after `completed`";
    EXPECT_EQ(job_state(job_name(1), owner), "completed");
}

// The store is back while callers wait. Guards against an answer `running` to
// those who ask between the end of a job and its storage: they would ask again
// much later.
TEST_F(front_process_test, a_caller_learns_of_an_end_once_it_is_stored) {
    const int owner = take_store_down_before_end();
    ASSERT_GT(owner, 0);
    auto at_owner = std::async(std::launch::async, [&] {
        return timed_job_state(job_name(1), owner);
    });
    auto at_other = std::async(std::launch::async, [&] {
        return timed_job_state(job_name(1), 1 + owner % 3);
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    send_http_request({.url = admin_url("/admin/store?down=0")});
    EXPECT_EQ(at_owner.get().state, "completed");
    EXPECT_EQ(at_other.get().state, "completed");
}

// The last task of a job runs. Guards against callers who ask shortly before
// its end and learn of it at their next question only.
TEST_F(front_process_test, a_question_waits_for_the_last_task) {
    further_settings_ = "scheduling.completion=awaited\n";
    for (const int host : {1, 2, 3}) {
        kill_process(hosts_.at(host));
        start_host(host);
    }
    submit(job_name(1), 1, 1, 1500);
    wait_for("the task to start", [&] { return audit_count("present") == 1; });
    const int owner = owner_host();
    ASSERT_GT(owner, 0);
    const int asked = 1 + owner % 3;
    std::string state = "running";
    wait_for("the end of the job", [&] {
        state = timed_job_state(job_name(1), asked).state;
        return state != "running";
    });
    EXPECT_EQ(state, "completed");
    EXPECT_GT(metric("rattan_completion_waits_total", owner), 0);
}

// The store stays away. Guards against callers that get no answer before they
// give up.
TEST_F(front_process_test,
       callers_are_answered_in_time_if_an_end_is_not_stored) {
    const int owner = take_store_down_before_end();
    ASSERT_GT(owner, 0);
    for (const int host : {owner, 1 + owner % 3}) {
        const timed_state answer = timed_job_state(job_name(1), host);
        EXPECT_EQ(answer.state, "running");
        EXPECT_GT(answer.took, std::chrono::milliseconds(1000)) << "it waited";
        EXPECT_LT(answer.took, std::chrono::milliseconds(2500));
    }
    // Nothing is known of how long this caller waits.
    const timed_state other = timed_job_state(job_name(1), owner, 0);
    EXPECT_EQ(other.state, "running");
    EXPECT_LT(other.took, std::chrono::milliseconds(700));
    send_http_request({.url = admin_url("/admin/store?down=0")});
}

// Guards against a shutdown that cuts off callers who wait for an end to be
// stored, or that waits with them.
TEST_F(front_process_test, a_stopping_owner_answers_the_callers_that_wait) {
    const int owner = take_store_down_before_end();
    ASSERT_GT(owner, 0);
    auto waiting = std::async(std::launch::async, [&] {
        return timed_job_state(job_name(1), owner);
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    kill(hosts_.at(owner), SIGTERM);
    const timed_state answer = waiting.get();
    EXPECT_EQ(answer.state, "running");
    EXPECT_GE(answer.took, std::chrono::milliseconds(250)) << "it waited";
    EXPECT_LT(answer.took, std::chrono::milliseconds(1200));
}

// Guards against callers who wait for an owner that is gone.
TEST_F(front_process_test, callers_that_wait_are_answered_when_the_owner_dies) {
    const int owner = take_store_down_before_end();
    ASSERT_GT(owner, 0);
    auto waiting = std::async(std::launch::async, [&] {
        return timed_job_state(job_name(1), 1 + owner % 3);
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    kill(hosts_.at(owner), SIGKILL);
    const timed_state answer = waiting.get();
    EXPECT_EQ(answer.state, "running");
    EXPECT_GE(answer.took, std::chrono::milliseconds(250)) << "it waited";
    EXPECT_LT(answer.took, std::chrono::milliseconds(1200));
}

TEST_F(front_process_test, stopped_host_completes_pending_requests) {
    const int leaving = 1 + owner_host() % 3;
    kill(hosts_.at(leaving), SIGTERM);
    submit(job_name(1), leaving, 2, 50);
    int status = -1;
    wait_for("the process to exit",
             [&] { return waitpid(hosts_.at(leaving), &status, WNOHANG) > 0; });
    hosts_.erase(leaving);
    EXPECT_TRUE(WIFEXITED(status));
    EXPECT_EQ(WEXITSTATUS(status), 0);
}

// Records of hosts stayed in the store for ever, and removed hosts got calls
// for advice. A host that shuts down removes its own record, the owner removes
// that of a killed host, and a host that is alive and finds no record of its
// own registers again.
TEST_F(front_process_test, records_of_hosts_that_are_gone_are_removed) {
    const std::string topic_query = "?topic=keyed.members&part=0";
    const auto registered = [&] {
        const json page =
            send_http_request({.url = "http://" + network_prefix_ +
                                      "100:21000/-/log-newest" + topic_query})
                .json();
        std::set<std::string> hosts;
        for (const json& item : page.value("items", json::array()))
            hosts.insert(item.value("key", ""));
        return hosts;
    };
    wait_for("three records", [&] { return registered().size() == 3; });
    const int owner = owner_host();
    ASSERT_GT(owner, 0);
    const int leaving = 1 + owner % 3;
    const int killed = 1 + leaving % 3;
    const std::string owner_key = "host/h" + std::to_string(owner);
    const std::string killed_key = "host/h" + std::to_string(killed);

    kill(hosts_.at(leaving), SIGTERM);
    wait_for("the removal of the record of the stopped host", [&] {
        return registered() == std::set<std::string>{owner_key, killed_key};
    });
    kill_process(hosts_.at(leaving));
    kill_process(hosts_.at(killed));
    hosts_.erase(leaving);
    hosts_.erase(killed);
    wait_for("the removal of the record of the killed host",
             [&] { return registered() == std::set<std::string>{owner_key}; });

    std::string tombstone{'\0', '\0', '\0',
                          static_cast<char>(owner_key.size() + 1),
                          static_cast<char>(owner_key.size())};
    ASSERT_EQ(send_http_request({.method = "POST",
                                 .url = "http://" + network_prefix_ +
                                        "100:21000/-/log-append" + topic_query,
                                 .body = tombstone + owner_key})
                  .status,
              200);
    wait_for("the host to register again",
             [&] { return registered() == std::set<std::string>{owner_key}; });
}

// A 503 promises that the job never runs. Guards against a refused job that
// runs, and against a refusal of a job that another host has accepted without
// its caller's knowledge.
TEST_F(refusal_process_test, hopeless_job_is_refused_and_never_runs) {
    // The answer to this job is lost: its caller has gone by the time it is
    // stored. On a busy machine the first attempts do not reach the host.
    const std::string lost = job_name(1);
    int timeout_ms = 10;
    wait_for("a job without an answer to be accepted", [&] {
        submit_small(lost, 3, timeout_ms);
        timeout_ms *= 2;
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        return call("GET", lost, 3).status == 200;
    });
    // The owner vouches for no job before it has known all announcements for
    // 15 s (`submission_table::HOLD_TIME`), and has forgotten that of this one.
    std::this_thread::sleep_for(std::chrono::milliseconds(17'000));
    submit_backlog();

    int accepted = 1 + BACKLOG_JOBS * BACKLOG_TASKS;
    std::string refused;
    blocking_response answer;
    for (int i = 0; i < 60 && refused.empty(); ++i) {
        const std::string job = job_name(2000 + i);
        answer = submit_small(job, 2);
        if (answer.status == 503)
            refused = job;
        else
            ++accepted;
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    ASSERT_FALSE(refused.empty()) << "nothing was refused";
    EXPECT_GE(std::stoi(answer.headers["retry-after"]), 1);
    EXPECT_LE(std::stoi(answer.headers["retry-after"]), 60);
    // The same specification, which would be refused as a new job.
    EXPECT_EQ(submit_small(lost, 2).status, 200);
    EXPECT_EQ(submit_small(job_name(1000), 2).status, 200);
    // A host that announced this job was killed before its record was stored.
    announce(job_name(4000), owner_host());
    EXPECT_EQ(submit_small(job_name(4000), 2).status, 200);
    ++accepted;
    EXPECT_EQ(submit_small(job_name(3000), 2).status, 503);
    EXPECT_EQ(call("GET", refused, 1).status, 410);
    EXPECT_NE(metrics(2).find("rattan_refused_hopeless_total 2"),
              std::string::npos);
    EXPECT_NE(metrics(2).find("rattan_expected_wait_seconds{queue=\"q\"}"),
              std::string::npos);
    EXPECT_EQ(logged("queue_starts_refusing"), 1);

    wait_for("the accepted jobs to end",
             [&] { return audit_count("done") == accepted; });
    wait_for("the end of the refusals",
             [&] { return logged("queue_stops_refusing") == 1; });
    EXPECT_EQ(audit_count("done"), accepted);
    EXPECT_EQ(audit_count("starts"), accepted);
    for (int host = 1; host <= 3; ++host)
        EXPECT_EQ(call("GET", refused, host).status, 410);
    // Once there is room, the same job is accepted.
    EXPECT_EQ(submit_small(refused, 1).status, 200);
    wait_for("the job to run",
             [&] { return job_state(refused, 1) == "completed"; });
}

// Guards against refusals by what an owner has not measured itself, and of jobs
// that were announced to the last owner only.
TEST_F(refusal_process_test, new_owner_refuses_nothing) {
    std::this_thread::sleep_for(std::chrono::milliseconds(17'000));
    const int old_owner = owner_host();
    ASSERT_NE(old_owner, 0);
    kill_process(hosts_.at(old_owner));
    hosts_.erase(old_owner);
    const int other = hosts_.begin()->first;
    wait_for("another owner", [&] { return owner_host() != 0; });
    for (int i = 0; i < BACKLOG_JOBS; ++i)
        submit(job_name(1000 + i), other, BACKLOG_TASKS, 1000);
    for (int i = 0; i < 50; ++i) {
        EXPECT_EQ(submit_small(job_name(2000 + i), other).status, 200);
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
}

// Guards against a change of what deployments without the switch accept.
TEST_F(front_process_test, nothing_is_refused_with_the_switch_off) {
    std::this_thread::sleep_for(std::chrono::milliseconds(17'000));
    for (int i = 0; i < 20; ++i)
        submit(job_name(1000 + i), 2, 40, 1000);
    const std::string small =
        R"({"taskSpec":"ms=100","jobSteps":[{"count":1,"cpu":1000,)"
        R"("memMb":10,"estimateMs":100}]})";
    for (int i = 0; i < 60; ++i) {
        EXPECT_EQ(call("POST", job_name(2000 + i), 2, small).status, 200);
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    const std::string metrics =
        send_http_request(
            {.url = "http://" + network_prefix_ + "2:9464/metrics"})
            .body;
    EXPECT_NE(metrics.find("rattan_requests"), std::string::npos);
    EXPECT_EQ(metrics.find("refused_hopeless"), std::string::npos);
}
