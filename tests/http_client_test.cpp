/** @file The HTTP client beside other connections of one process. */
#include "net/http_client.hpp"

#include <ace/Event_Handler.h>
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <vector>

using namespace rattan;

namespace {

/** A port whose queue of new connections is full: connecting hangs. */
class hanging_port {
public:
    hanging_port() {
        listener_ = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address);
        listen(listener_, 0);
        socklen_t size = sizeof address;
        getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
        constexpr int ENOUGH = 4;
        for (int i = 0; i < ENOUGH; ++i) {
            const int one = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            connect(one, reinterpret_cast<sockaddr*>(&address), sizeof address);
            fillers_.push_back(one);
        }
    }
    ~hanging_port() {
        for (const int one : fillers_)
            close(one);
        close(listener_);
    }
    [[nodiscard]] std::string url() const {
        return "http://127.0.0.1:" + std::to_string(port_) + "/";
    }

private:
    int listener_ = -1;
    int port_ = 0;
    std::vector<int> fillers_;
};

/** Counts what arrives at one descriptor. */
class reader : public ACE_Event_Handler {
public:
    explicit reader(int handle) : handle_(handle) {}
    ACE_HANDLE get_handle() const override { return handle_; }
    int handle_input(ACE_HANDLE) override {
        char byte = 0;
        received += static_cast<int>(read(handle_, &byte, 1));
        return 0;
    }
    int received = 0;

private:
    int handle_;
};

} // namespace

// A connection that can't be made is closed by the library before it takes
// its number out of the reactor. Failed until closing did that itself: the
// next descriptor of that number was never heard.
TEST(http_client_test, numbers_of_failed_connections_can_be_used_again) {
    event_loop loop(1000);
    const hanging_port port;
    http_client client(loop);
    constexpr int CALLS = 4;
    int failed = 0;
    std::vector<std::unique_ptr<reader>> readers;
    const auto use_numbers_again = [&] {
        for (int i = 0; i < CALLS; ++i) {
            int pair[2];
            ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, pair), 0);
            for (const int end : pair) {
                readers.push_back(std::make_unique<reader>(end));
                EXPECT_EQ(
                    loop.reactor().register_handler(
                        readers.back().get(), ACE_Event_Handler::READ_MASK),
                    0);
                ASSERT_EQ(write(end, "x", 1), 1);
            }
        }
        loop.after(millis(300), [&] { loop.stop(); });
    };
    for (int i = 0; i < CALLS; ++i)
        client.call({.url = port.url(),
                     .timeout = millis(300),
                     .connect_timeout = millis(50)},
                    [&](const http_call_result& answer) {
                        EXPECT_EQ(answer.outcome, http_outcome::not_sent);
                        if (++failed == CALLS)
                            use_numbers_again();
                    });
    loop.run();
    EXPECT_EQ(readers.size(), 2U * CALLS);
    for (const auto& one : readers) {
        EXPECT_EQ(one->received, 1) << "descriptor " << one->get_handle();
        loop.reactor().remove_handler(one.get(),
                                      ACE_Event_Handler::ALL_EVENTS_MASK |
                                          ACE_Event_Handler::DONT_CALL);
        close(one->get_handle());
    }
}
