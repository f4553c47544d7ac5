/** @file Probes of targets over sockets on loopback. */
#include "front/target_prober.hpp"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <ctime>
#include <optional>
#include <thread>

using namespace rattan;
using namespace rattan::front;

namespace {

constexpr std::int64_t MILLI_CORES = 250;
constexpr std::int64_t MILLI = 1'000; ///< Microseconds.
constexpr std::int64_t SECOND = 1'000'000;
constexpr std::int64_t PROBES_END = 60 * SECOND;

/** An address on loopback that only this test uses. */
std::string free_address() {
    // Above the ports of the stand-ins, below those that the kernel gives to
    // outgoing connections, which could connect to themselves.
    static int port = 25'000;
    return "127.7." + std::to_string(getpid() / 250 % 250) + "." +
           std::to_string(1 + getpid() % 250) + ":" + std::to_string(++port);
}

probe_request request_to(const std::string& address, int token = 1) {
    return encode_probe({.method = "POST",
                         .url = "http://" + address + "/poll",
                         .body = "token " + std::to_string(token)})
        .value();
}

/** Listens at an address; answers are sent by the test. */
class listener {
public:
    explicit listener(const std::string& address)
        : handle_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        const int on = 1;
        setsockopt(handle_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in peer = request_to(address).peer;
        EXPECT_EQ(bind(handle_, reinterpret_cast<const sockaddr*>(&peer),
                       sizeof peer),
                  0);
        EXPECT_EQ(listen(handle_, 64), 0);
    }
    ~listener() { close(handle_); }
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    /** Accepts a connection and reads a request; -1 after the time. */
    int accept_request(std::string& request, int timeout_ms) const {
        pollfd waiting{.fd = handle_, .events = POLLIN};
        if (poll(&waiting, 1, timeout_ms) <= 0)
            return -1;
        const int peer = accept(handle_, nullptr, nullptr);
        char buffer[2048];
        const ssize_t count = recv(peer, buffer, sizeof buffer, 0);
        request.assign(buffer,
                       static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
        return peer;
    }

    static void answer(int peer, const std::string& status) {
        const std::string text =
            "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n";
        send(peer, text.data(), text.size(), MSG_NOSIGNAL);
        close(peer);
    }

private:
    int handle_;
};

/** Answers all requests that arrive; returns their number. */
int answer_all(const listener& target, const std::string& status) {
    int answered = 0;
    std::string request;
    for (int peer = target.accept_request(request, 50); peer >= 0;
         peer = target.accept_request(request, 50)) {
        listener::answer(peer, status);
        ++answered;
    }
    return answered;
}

/** Runs the event loop until a condition holds or a time is over. */
void run_until(event_loop& loop, const std::function<bool()>& done,
               millis timeout) {
    const auto end = event_loop::now() + timeout;
    loop.every(millis(1), [&loop, done, end] {
        if (done() || event_loop::now() > end)
            loop.stop();
    });
    loop.run();
}

std::int64_t process_micros() {
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return used.tv_sec * SECOND + used.tv_nsec / MILLI;
}

} // namespace

// The next process of a target starts while other work of the host takes all of
// the event loop. Guards against probes that wait for that work.
TEST(target_prober, target_is_reached_while_the_event_loop_is_busy) {
    event_loop loop;
    std::optional<reached_target> reached;
    target_prober prober(loop, MILLI_CORES,
                         [&](const reached_target& each) { reached = each; });
    const std::string address = free_address();
    prober.probe("t", request_to(address),
                 event_loop::now_micros() + PROBES_END);
    // The event loop does not run.
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    const listener target(address);
    std::string request;
    const int peer = target.accept_request(request, 5'000);
    ASSERT_GE(peer, 0);
    EXPECT_TRUE(request.ends_with("token 1")) << request;
    EXPECT_TRUE(request.starts_with("POST /poll HTTP/1.1\r\n")) << request;
    listener::answer(peer, "200 OK");
    answer_all(target, "200 OK");
    EXPECT_FALSE(reached);
    run_until(
        loop, [&] { return reached.has_value(); }, millis(5'000));
    ASSERT_TRUE(reached);
    EXPECT_EQ(reached->target, "t");
    EXPECT_TRUE(reached->missed);
    EXPECT_GE(reached->probes.probes, 10);
    EXPECT_GE(prober.sent(), 10U);
}

// Guards against ending the probes of a target that has seen an earlier token
// only, or that something else answers for.
TEST(target_prober, only_an_answer_to_the_last_request_ends_the_probes) {
    event_loop loop;
    int reached = 0;
    target_prober prober(loop, MILLI_CORES,
                         [&](const reached_target&) { ++reached; });
    const std::string address = free_address();
    const listener target(address);
    const std::int64_t until_us = event_loop::now_micros() + PROBES_END;
    prober.probe("t", request_to(address, 1), until_us);
    std::string request;
    const int first = target.accept_request(request, 5'000);
    ASSERT_TRUE(request.ends_with("token 1")) << request;
    prober.probe("t", request_to(address, 2), until_us);
    while (!request.ends_with("token 2")) {
        const int peer = target.accept_request(request, 5'000);
        ASSERT_GE(peer, 0);
        listener::answer(peer, request.ends_with("token 2")
                                   ? "421 Misdirected Request"
                                   : "200 OK");
    }
    listener::answer(first, "200 OK");
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    EXPECT_EQ(prober.answered(), 0U);
    // A token that is refused has been surpassed.
    const int last = target.accept_request(request, 5'000);
    ASSERT_TRUE(request.ends_with("token 2")) << request;
    listener::answer(last, "409 Conflict");
    run_until(
        loop, [&] { return reached > 0; }, millis(5'000));
    EXPECT_EQ(reached, 1);
}

// Guards against a host that spends more than its share while hundreds of
// targets are out of reach.
TEST(target_prober, probes_of_300_targets_stay_within_the_share) {
    constexpr int TARGETS = 300;
    event_loop loop;
    target_prober prober(loop, MILLI_CORES, [](const reached_target&) {});
    for (int i = 0; i < TARGETS; ++i)
        prober.probe("t" + std::to_string(i), request_to(free_address()),
                     event_loop::now_micros() + PROBES_END);
    const std::int64_t began_us = event_loop::now_micros();
    const std::int64_t used_us = process_micros();
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const double share =
        static_cast<double>(process_micros() - used_us) /
        static_cast<double>(event_loop::now_micros() - began_us);
    EXPECT_LE(share, static_cast<double>(MILLI_CORES) / 1000);
    EXPECT_GE(prober.sent(), static_cast<std::uint64_t>(TARGETS));
    EXPECT_EQ(prober.answered(), 0U);
}

// Guards against calls that are not what a probe can send.
TEST(target_prober, calls_without_an_address_are_refused) {
    EXPECT_FALSE(encode_probe({.url = "http://host.example:80/"}));
    EXPECT_FALSE(encode_probe({.url = "https://127.0.0.1:80/"}));
    EXPECT_FALSE(encode_probe(
        {.url = "http://127.0.0.1:80/", .headers = {"A: b\r\nC: d"}}));
    EXPECT_TRUE(encode_probe({.url = "http://127.0.0.1:80"}));
}
