/** @file A TCP proxy that can interrupt connections for tests. */
#pragma once

#include <atomic>
#include <cstdint>
#include <list>
#include <string>
#include <thread>

namespace rattan::standin {

/** What the proxy does with the bytes that it receives. */
enum class proxy_mode {
    forward,         ///< Forwards them.
    discard,         ///< Reads and drops them; connections stay open.
    refuse,          ///< Closes all connections, also new ones.
    discard_replies, ///< Forwards requests, drops replies.
};

/** Listens on a loopback port and forwards connections to another. */
class tcp_proxy {
public:
    tcp_proxy(int listen_port, int target_port);
    ~tcp_proxy();
    tcp_proxy(const tcp_proxy&) = delete;
    tcp_proxy& operator=(const tcp_proxy&) = delete;

    void set(proxy_mode mode) { mode_ = mode; }

    /** Number of reads discarded and connections closed. */
    [[nodiscard]] std::uint64_t interruptions() const { return interruptions_; }

private:
    struct connection_pair {
        int client;
        int server;
    };

    void run();
    bool relay_bytes(const connection_pair& link, bool from_client);

    int listener_;
    int target_port_;
    std::atomic<proxy_mode> mode_{proxy_mode::forward};
    std::atomic<std::uint64_t> interruptions_{0};
    std::atomic<bool> stopped_{false};
    std::list<connection_pair> links_;
    std::thread thread_;
};

} // namespace rattan::standin
