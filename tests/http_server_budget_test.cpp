/** @file Refusals of the HTTP server that has a budget for bodies. */
#include "net/http_server.hpp"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace rattan {
namespace {

constexpr std::size_t BODY_LIMIT = 62'000;
/** Three quarters, what large bodies may use, hold one large body. */
constexpr std::size_t BUDGET = 160'000;
constexpr std::size_t LARGE_BODY = 61'000;
constexpr millis MAX_WAIT{20'000};

/** What a test reads of the server, copied in the thread of its loop. */
struct server_view {
    std::size_t used = 0; ///< Bytes of the budget.
    std::vector<std::size_t> body_sizes;
    std::map<std::string, std::uint64_t> counters;
};

/**
 * A server in its own thread, whose handler answers GET at once and other
 * requests when the test says so.
 */
class http_server_budget_test : public ::testing::Test {
protected:
    http_server_budget_test() {
        const int probe = socket(AF_INET, SOCK_STREAM, 0);
        address_.sin_family = AF_INET;
        address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(probe, reinterpret_cast<sockaddr*>(&address_), sizeof address_);
        socklen_t size = sizeof address_;
        getsockname(probe, reinterpret_cast<sockaddr*>(&address_), &size);
        close(probe);
        thread_ = std::thread([this] { run_server(); });
        EXPECT_TRUE(run_until([this] { return listening_.load(); }));
    }
    ~http_server_budget_test() override {
        stopped_ = true;
        thread_.join();
        for (const int handle : handles_)
            close(handle);
    }

    void run_server() {
        event_loop loop;
        metrics_registry metrics;
        caller_budget budget(BUDGET);
        std::vector<std::size_t> body_sizes;
        std::vector<http_server::responder> kept;
        http_server server(
            loop, "127.0.0.1:" + std::to_string(ntohs(address_.sin_port)),
            http_limits{.body_bytes = BODY_LIMIT,
                        .budget = &budget,
                        .metrics = &metrics},
            [&](const http_request& request,
                const http_server::responder& answer) {
                if (request.method == "GET")
                    return answer({.body = "{}"});
                body_sizes.push_back(request.body.size());
                kept.push_back(answer);
            });
        listening_ = true;
        loop.every(millis(2), [&] {
            if (answering_) {
                for (const auto& answer : kept)
                    answer({.body = "{}"});
                kept.clear();
            }
            if (stopped_)
                loop.stop();
            const std::lock_guard lock(mutex_);
            view_ = {budget.used(), body_sizes, metrics.counters()};
        });
        loop.run();
    }

    server_view view() {
        const std::lock_guard lock(mutex_);
        return view_;
    }
    std::uint64_t counter(const std::string& name) {
        return view().counters[name];
    }

    /** Waits for a condition. @return Whether it holds. */
    template <typename Condition>
    static bool run_until(const Condition& condition) {
        const mono_time until = event_loop::now() + MAX_WAIT;
        while (!condition()) {
            if (event_loop::now() > until)
                return false;
            std::this_thread::sleep_for(millis(1));
        }
        return true;
    }

    /** Sends bytes on a new connection. @return Its descriptor. */
    int send_bytes(const std::string& bytes) {
        const int handle = socket(AF_INET, SOCK_STREAM, 0);
        connect(handle, reinterpret_cast<sockaddr*>(&address_),
                sizeof address_);
        std::size_t sent = 0;
        run_until([&] {
            const ssize_t count =
                send(handle, bytes.data() + sent, bytes.size() - sent,
                     MSG_DONTWAIT | MSG_NOSIGNAL);
            sent += count > 0 ? static_cast<std::size_t>(count) : 0;
            return sent == bytes.size() || (count < 0 && errno != EAGAIN);
        });
        handles_.push_back(handle);
        return handle;
    }

    /** Receives until the text contains `end` or the connection is closed. */
    std::string receive(int handle, const std::string& end) {
        std::string text;
        run_until([&] {
            char buffer[4096];
            const ssize_t got =
                recv(handle, buffer, sizeof buffer, MSG_DONTWAIT);
            if (got > 0)
                text.append(buffer, static_cast<std::size_t>(got));
            return got == 0 || (got < 0 && errno != EAGAIN) ||
                   (!end.empty() && text.find(end) != std::string::npos);
        });
        return text;
    }

    static std::string declared(std::size_t bytes) {
        return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
               std::to_string(bytes) + "\r\n\r\n";
    }

    static std::string chunked(std::size_t bytes) {
        constexpr std::size_t CHUNK = 1000;
        std::string out =
            "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (std::size_t at = 0; at < bytes; at += CHUNK)
            out += "3e8\r\n" + std::string(CHUNK, 'x') + "\r\n";
        return out + "0\r\n\r\n";
    }

    sockaddr_in address_{};
    std::vector<int> handles_;
    std::atomic<bool> listening_ = false;
    std::atomic<bool> answering_ = false; ///< Answers the requests kept.
    std::atomic<bool> stopped_ = false;
    std::mutex mutex_;
    server_view view_;
    std::thread thread_;
};

// Guards against a body over the limit that is read before it is refused.
TEST_F(http_server_budget_test, refuses_a_declared_body_over_the_limit) {
    const int handle = send_bytes(declared(BODY_LIMIT + 1));
    const std::string reply = receive(handle, "");
    EXPECT_TRUE(reply.starts_with("HTTP/1.1 413 ")) << reply;
    EXPECT_NE(reply.find("Connection: close"), std::string::npos) << reply;
    EXPECT_TRUE(
        run_until([&] { return counter("refused_body_too_large") == 1U; }));
    EXPECT_TRUE(view().body_sizes.empty());
}

// Guards against a reset that destroys the response while the client sends.
TEST_F(http_server_budget_test, a_client_that_sends_on_receives_its_refusal) {
    const int declared_handle =
        send_bytes(declared(BODY_LIMIT * 3) + std::string(BODY_LIMIT * 3, 'x'));
    EXPECT_TRUE(receive(declared_handle, "").starts_with("HTTP/1.1 413 "));
    const int chunked_handle = send_bytes(chunked(BODY_LIMIT * 3));
    const std::string reply = receive(chunked_handle, "");
    EXPECT_TRUE(reply.starts_with("HTTP/1.1 413 ")) << reply;
    EXPECT_TRUE(
        run_until([&] { return counter("refused_body_too_large") == 2U; }));
    EXPECT_TRUE(run_until([&] { return view().used == 0; }));
}

// Guards against requests that are held beyond the budget, and against
// refusals without Retry-After.
TEST_F(http_server_budget_test, refuses_requests_over_the_budget) {
    const int first =
        send_bytes(declared(LARGE_BODY) + std::string(LARGE_BODY, 'x'));
    ASSERT_TRUE(run_until([&] { return view().body_sizes.size() == 1; }));
    EXPECT_EQ(view().body_sizes.back(), LARGE_BODY);
    EXPECT_GE(view().used, LARGE_BODY);
    for (const std::string& bytes :
         {declared(LARGE_BODY) + std::string(LARGE_BODY, 'x'),
          chunked(LARGE_BODY)}) {
        const std::string reply = receive(send_bytes(bytes), "");
        EXPECT_TRUE(reply.starts_with("HTTP/1.1 503 ")) << reply;
        EXPECT_NE(reply.find("Retry-After: 1"), std::string::npos) << reply;
        EXPECT_NE(reply.find("Connection: close"), std::string::npos) << reply;
    }
    EXPECT_EQ(view().body_sizes.size(), 1U);
    EXPECT_TRUE(
        run_until([&] { return counter("refused_over_budget") == 2U; }));
    // Small requests still pass.
    const int small = send_bytes(declared(1000) + std::string(1000, 'x'));
    ASSERT_TRUE(run_until([&] { return view().body_sizes.size() == 2; }));
    const std::string get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    EXPECT_TRUE(receive(send_bytes(get), "{}").starts_with("HTTP/1.1 200 "));
    answering_ = true;
    EXPECT_TRUE(receive(first, "{}").starts_with("HTTP/1.1 200 "));
    EXPECT_TRUE(receive(small, "{}").starts_with("HTTP/1.1 200 "));
    EXPECT_TRUE(run_until([&] { return view().used == 0; }));
}

// Guards against clients that stop short of their end and stay connected.
TEST_F(http_server_budget_test, closes_a_connection_without_progress) {
    const int handle =
        send_bytes(declared(LARGE_BODY) + std::string(LARGE_BODY - 1, 'x'));
    ASSERT_TRUE(run_until([&] { return view().used >= LARGE_BODY; }));
    EXPECT_EQ(receive(handle, ""), "");
    EXPECT_TRUE(run_until([&] { return view().used == 0; }));
    EXPECT_TRUE(
        run_until([&] { return counter("closed_without_progress") == 1U; }));
}

// Guards against closing a client that is slow but makes progress, and a
// client that keeps its connection for its next request.
TEST_F(http_server_budget_test, keeps_slow_and_waiting_clients) {
    const std::string get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    const int waiting = send_bytes(get);
    EXPECT_TRUE(receive(waiting, "{}").starts_with("HTTP/1.1 200 "));
    constexpr int PIECES = 24;
    constexpr std::size_t PIECE = 2'000;
    const int slow = send_bytes(declared(PIECES * PIECE));
    for (int i = 0; i < PIECES; ++i) {
        const std::string piece(PIECE, 'x');
        ASSERT_EQ(send(slow, piece.data(), PIECE, MSG_NOSIGNAL),
                  static_cast<ssize_t>(PIECE));
        std::this_thread::sleep_for(millis(500));
    }
    ASSERT_TRUE(run_until([&] { return view().body_sizes.size() == 1; }));
    send(waiting, get.data(), get.size(), MSG_NOSIGNAL);
    EXPECT_TRUE(receive(waiting, "{}").starts_with("HTTP/1.1 200 "));
    EXPECT_EQ(counter("closed_without_progress"), 0U);
}

} // namespace
} // namespace rattan
