/**
 * @file A TCP proxy in front of one runner. It keeps the first start of a job
 * without an answer and delivers it later, as soon as the runner can be
 * reached; all other bytes pass at once. While the runner can't be reached,
 * connections are reset.
 */
#include <gflags/gflags.h>

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

DEFINE_string(address, "127.0.2.1:21050", "address of this proxy");
DEFINE_string(runner, "127.0.2.1:21010", "address of the runner");
DEFINE_string(record, "record.txt", "file that events go to");
DEFINE_string(hold_job, "", "job whose first start is held; empty: none");
DEFINE_int32(min_ms, 2000, "a held start is delivered no earlier");
DEFINE_int32(max_ms, 12000, "and no later");

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

std::atomic<bool> held{false};
int record_file = -1;

void note(const std::string& text) {
    const auto now = std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    const std::string line =
        std::to_string(now.count()) + " proxy " + text + "\n";
    if (write(record_file, line.data(), line.size()) < 0)
        std::cerr << "record not written\n";
}

sockaddr_in parse_address(const std::string& text) {
    const std::size_t colon = text.find(':');
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &out.sin_addr);
    return out;
}

/** Connects to the runner. @return A descriptor, or -1. */
int connect_runner() {
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = parse_address(FLAGS_runner);
    const int on = 1;
    setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (connect(handle, reinterpret_cast<const sockaddr*>(&address),
                sizeof address) == 0)
        return handle;
    close(handle);
    return -1;
}

bool send_all(int handle, const std::string& data) {
    std::size_t sent = 0;
    while (sent < data.size()) {
        const ssize_t count =
            send(handle, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/** Reads one whole request. @return Empty at the end of the connection. */
std::string read_request(int handle, std::string& rest) {
    while (true) {
        const std::size_t head = rest.find("\r\n\r\n");
        if (head != std::string::npos) {
            std::size_t length = 0;
            const std::size_t at = rest.find("Content-Length: ");
            if (at < head)
                length = std::stoul(rest.substr(at + 16));
            const std::size_t whole = head + 4 + length;
            if (rest.size() >= whole) {
                const std::string request = rest.substr(0, whole);
                rest.erase(0, whole);
                return request;
            }
        }
        char buffer[16384];
        const ssize_t count = recv(handle, buffer, sizeof buffer, 0);
        if (count <= 0)
            return "";
        rest.append(buffer, static_cast<std::size_t>(count));
    }
}

/** Delivers a held request on a connection of its own. */
void deliver_late(const std::string& request) {
    const auto held_at = steady_clock::now();
    std::this_thread::sleep_for(milliseconds(FLAGS_min_ms));
    while (true) {
        const auto late = std::chrono::duration_cast<milliseconds>(
            steady_clock::now() - held_at);
        if (late > milliseconds(FLAGS_max_ms))
            return note("drops the order");
        const int runner = connect_runner();
        if (runner < 0) {
            std::this_thread::sleep_for(milliseconds(10));
            continue;
        }
        send_all(runner, request);
        char buffer[4096];
        const ssize_t count = recv(runner, buffer, sizeof buffer, 0);
        const std::string answer(
            buffer, static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
        const std::size_t body = answer.find("\r\n\r\n");
        note("delivered the order after " + std::to_string(late.count()) +
             " ms: " + answer.substr(0, answer.find("\r\n")) + " " +
             (body == std::string::npos ? "" : answer.substr(body + 4)));
        close(runner);
        return;
    }
}

void reset_connection(int handle) {
    const linger now{.l_onoff = 1, .l_linger = 0};
    setsockopt(handle, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close(handle);
}

void serve(int client) {
    const int runner = connect_runner();
    if (runner < 0)
        return reset_connection(client);
    std::thread back([client, runner] {
        char buffer[16384];
        while (true) {
            const ssize_t count = recv(runner, buffer, sizeof buffer, 0);
            if (count <= 0 ||
                !send_all(client,
                          std::string(buffer, static_cast<std::size_t>(count))))
                break;
        }
        shutdown(client, SHUT_RDWR);
    });
    std::string rest;
    while (true) {
        const std::string request = read_request(client, rest);
        if (request.empty())
            break;
        if (!FLAGS_hold_job.empty() &&
            request.starts_with("POST /-/run-start") &&
            request.find(FLAGS_hold_job) != std::string::npos &&
            !held.exchange(true)) {
            note("holds the order " +
                 request.substr(request.find("\r\n\r\n") + 4));
            std::thread(deliver_late, request).detach();
            continue; // The sender gets no answer to it.
        }
        if (!send_all(runner, request))
            break;
    }
    shutdown(runner, SHUT_RDWR);
    back.join();
    close(runner);
    reset_connection(client);
}

} // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    record_file =
        open(FLAGS_record.c_str(), O_WRONLY | O_APPEND | O_CREAT, 0644);
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = parse_address(FLAGS_address);
    if (bind(listener, reinterpret_cast<const sockaddr*>(&address),
             sizeof address) != 0 ||
        listen(listener, 64) != 0) {
        std::cerr << "late_proxy: can't listen on " << FLAGS_address << "\n";
        return 1;
    }
    while (true) {
        const int client = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (client >= 0)
            std::thread(serve, client).detach();
    }
}
