/** @file Tests of the HTTP client. */
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

/** A listening port with a full accept queue: connection attempts hang. */
class unresponsive_port {
public:
    unresponsive_port() {
        listener_ = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address);
        listen(listener_, 0);
        socklen_t size = sizeof address;
        getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
        constexpr int FILLER_COUNT = 4;
        for (int i = 0; i < FILLER_COUNT; ++i) {
            const int filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            connect(filler, reinterpret_cast<sockaddr*>(&address),
                    sizeof address);
            fillers_.push_back(filler);
        }
    }
    ~unresponsive_port() {
        for (const int filler : fillers_)
            close(filler);
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

/** Counts the bytes received on a descriptor. */
class byte_counter : public ACE_Event_Handler {
public:
    explicit byte_counter(int handle) : handle_(handle) {}
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

// libcurl closes the socket of a failed connection before it unregisters the
// descriptor. If the reactor keeps the registration, the next descriptor with
// the same number gets no events.
TEST(http_client_test, descriptors_of_failed_connections_can_be_reused) {
    event_loop loop(1000);
    const unresponsive_port port;
    http_client client(loop);
    constexpr int CALLS = 4;
    int failed = 0;
    std::vector<std::unique_ptr<byte_counter>> counters;
    const auto reuse_descriptors = [&] {
        for (int i = 0; i < CALLS; ++i) {
            int pair[2];
            ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, pair), 0);
            for (const int end : pair) {
                counters.push_back(std::make_unique<byte_counter>(end));
                EXPECT_EQ(
                    loop.reactor().register_handler(
                        counters.back().get(), ACE_Event_Handler::READ_MASK),
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
                            reuse_descriptors();
                    });
    loop.run();
    EXPECT_EQ(counters.size(), 2U * CALLS);
    for (const auto& counter : counters) {
        EXPECT_EQ(counter->received, 1)
            << "descriptor " << counter->get_handle();
        loop.reactor().remove_handler(counter.get(),
                                      ACE_Event_Handler::ALL_EVENTS_MASK |
                                          ACE_Event_Handler::DONT_CALL);
        close(counter->get_handle());
    }
}

// Entries of targets held such addresses before they were checked.
TEST(http_client_test, calls_to_odd_addresses_are_not_sent) {
    event_loop loop(1000);
    http_client client(loop);
    const std::vector<std::string> addresses{"127.0.0.1:99999",
                                             "127.0.0.1:-1",
                                             "127.0.0.1:0",
                                             "127.0.0.1:1:2",
                                             ":80",
                                             "",
                                             "127.0.0.1:80 x",
                                             "127.0.0.1:80\r\nX-Header: 1",
                                             std::string(200'000, '8'),
                                             std::string("\xff\xfe:80")};
    std::size_t answers = 0;
    for (const std::string& address : addresses)
        client.call({.method = "POST",
                     .url = "http://" + address + "/-/hold",
                     .body = "{}",
                     .timeout = millis(300),
                     .connect_timeout = millis(300)},
                    [&](const http_call_result& answer) {
                        EXPECT_EQ(answer.outcome, http_outcome::not_sent);
                        if (++answers == addresses.size())
                            loop.stop();
                    });
    loop.after(millis(5000), [&] { loop.stop(); });
    loop.run();
    EXPECT_EQ(answers, addresses.size());
}
