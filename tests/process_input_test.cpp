/** @file Invalid input on every listening port, in settings and commands. */
#include "process_fixture.hpp"

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rattan::standin {

class input_test : public process_test {
protected:
    /** Connects to a port of the first entry host, 0 to 5. */
    int connect_to(int port) {
        const int handle = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(
            static_cast<std::uint16_t>(deployment->options().base_port + port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(connect(handle, reinterpret_cast<sockaddr*>(&address),
                          sizeof address),
                  0);
        return handle;
    }
    /** Connects, sends bytes and closes. */
    void send_bytes(int port, const std::string& bytes) {
        const int handle = connect_to(port);
        send(handle, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        close(handle);
    }
    /** Expects that all programs of the first host are healthy. */
    void expect_all_healthy() {
        for (const std::string& url :
             {deployment->relay_url(0), deployment->gate_url(0),
              deployment->placer_url(0)})
            EXPECT_EQ(send_http_request({.url = url + "/healthz"}).status, 200)
                << url;
        EXPECT_EQ(check(0, BIG_ORG_KEY, "",
                        {{"plan", "price-check"}, {"idempotent", true}})
                      .status,
                  200);
    }
};

TEST_F(input_test, programs_survive_malformed_truncated_and_oversized_input) {
    start(small_options());
    std::vector<int> open_connections;
    for (int port = 0; port < 6; ++port) {
        send_bytes(port, std::string(1'000, '\xff'));
        send_bytes(port, std::string("\x00\x00\x00\x05hello", 9));
        send_bytes(port, std::string("\x7f\xff\xff\xff", 4));
        send_bytes(port, std::string("\x00\x00\x00\xff", 4) + "cut");
        send_bytes(port,
                   "POST /v1/jobs HTTP/1.1\r\nContent-Length: 99\r\n\r\n{");
        send_bytes(port, "GET /" + std::string(200'000, 'a') + " HTTP/1.1\r\n");
        open_connections.push_back(connect_to(port)); // idle, stays open
        const int partial = connect_to(port);
        send(partial, "POST /v1/jo", 11, MSG_NOSIGNAL);
        open_connections.push_back(partial);
    }
    expect_all_healthy();
    const auto large = send_http_request(
        {.method = "POST",
         .url = deployment->gate_url(0) + "/v1/jobs",
         .body = std::string(2U << 20U, 'x'),
         .headers = caller_headers(BIG_ORG_KEY, new_request_id())});
    EXPECT_EQ(large.status, 413);
    for (const std::string body :
         {"", "{", "[]", "{\"plan\":5}",
          "{\"plan\":\"tender-pricing\","
          "\"tasks\":-1}",
          "{\"plan\":\"tender-pricing\",\"unknown\":1}",
          "{\"plan\":\"tender-pricing\",\"tasks\":1e99}"}) {
        const auto answer = send_http_request(
            {.method = "POST",
             .url = deployment->gate_url(0) + "/v1/jobs",
             .body = body,
             .headers = caller_headers(BIG_ORG_KEY, new_request_id())});
        EXPECT_EQ(answer.status, 400) << body << ": " << answer.body;
    }
    for (const std::string id : {"no-time", "123", "-5-x", "1796366325902-"}) {
        const auto answer =
            submit(0, BIG_ORG_KEY, id, {{"plan", "tender-pricing"}});
        EXPECT_EQ(answer.status, 400) << id << ": " << answer.body;
    }
    for (const int handle : open_connections)
        close(handle);
    expect_all_healthy();
    EXPECT_EQ(running_tasks(), 0);
}

TEST_F(input_test, invalid_settings_are_reported_with_file_line_and_field) {
    const auto folder = std::filesystem::temp_directory_path() /
                        ("rattan-settings-" + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
    const auto file = (folder / "gate.yaml").string();
    std::ofstream(file) << "host: a\ndata_centre: b\nhttp: nowhere\n";
    const std::string command = std::string(RATTAN_BIN_DIR) +
                                "/rattan_gate --settings=" + file + " 2> " +
                                file + ".out";
    const int status = std::system(command.c_str());
    EXPECT_EQ(WEXITSTATUS(status), 2);
    std::ifstream out(file + ".out");
    const std::string text((std::istreambuf_iterator<char>(out)), {});
    EXPECT_NE(text.find(file + ":3: http: must be an IP number"),
              std::string::npos)
        << text;
    std::filesystem::remove_all(folder);
}

TEST_F(input_test, rattanctl_manages_a_deployment) {
    start(small_options());
    const auto& options = deployment->options();
    const auto settings = (options.work_dir / "rattanctl.yaml").string();
    {
        std::ofstream out(settings);
        out << "relay: 127.0.0.1:" << options.base_port
            << "\noperator_key: ops.demo\nprocesses:\n";
        for (int host = 0; host < 6; ++host)
            for (const int port : {0, 2, 4})
                out << "  - 127.0.0.1:" << options.base_port + host * 6 + port
                    << "\n";
    }
    const auto ctl = [&](const std::string& arguments) {
        const std::string command = std::string(RATTAN_BIN_DIR) +
                                    "/rattanctl --settings=" + settings + " " +
                                    arguments + " > " + settings + ".out 2>&1";
        const int status = std::system(command.c_str());
        std::ifstream in(settings + ".out");
        return std::pair(WEXITSTATUS(status),
                         std::string((std::istreambuf_iterator<char>(in)), {}));
    };
    EXPECT_EQ(ctl("validate " RATTAN_EXAMPLES "/board").first, 0);
    const auto plan = ctl("plan " RATTAN_EXAMPLES "/board");
    EXPECT_EQ(plan.first, 0);
    EXPECT_NE(plan.second.find("no difference"), std::string::npos)
        << plan.second;
    const auto granted = ctl("grant till-7 --team=thika-shops");
    EXPECT_EQ(granted.first, 0) << granted.second;
    const size_t at = granted.second.find("key: ") + 5;
    const std::string key =
        granted.second.substr(at, granted.second.find('\n', at) - at);
    const nlohmann::json check_body = {{"plan", "price-check"},
                                       {"idempotent", true}};
    EXPECT_TRUE(wait_until(
        [&] { return check(4, key, "", check_body).status == 200; }, 3'000));
    EXPECT_EQ(ctl("withdraw till-7").first, 0);
    EXPECT_TRUE(wait_until(
        [&] { return check(4, key, "", check_body).status == 401; }, 3'000));
    EXPECT_EQ(ctl("centre out nairobi-2").first, 0);
    EXPECT_TRUE(wait_until([&] { return ctl("status").first == 0; }));
    EXPECT_EQ(ctl("publish " RATTAN_EXAMPLES "/board --base=1").first, 1);
    EXPECT_EQ(ctl("publish " RATTAN_EXAMPLES "/board").first, 0);
    EXPECT_EQ(ctl("withdraw nobody").first, 1);
    EXPECT_EQ(ctl("centre sideways nairobi-2").first, 1);
    EXPECT_EQ(ctl("frobnicate").first, 2);
    deployment->signal_program(3, program::gate, SIGKILL);
    EXPECT_EQ(ctl("status").first, 4);
}

} // namespace rattan::standin
