/** @file A byte relay between two processes, which tests can cut. */
#pragma once

#include <atomic>
#include <cstdint>
#include <list>
#include <string>
#include <thread>

namespace rattan::standin {

/** What a relay does with the bytes that it gets. */
enum class cut_mode {
    pass,    ///< Hands them on.
    swallow, ///< Takes them and hands nothing on; connections stay open.
    refuse,  ///< Ends all connections at once.
    half,    ///< Hands on requests, swallows answers.
};

/** Listens on a port and relays to another. */
class cut_relay {
public:
    cut_relay(int listen_port, int target_port);
    ~cut_relay();
    cut_relay(const cut_relay&) = delete;
    cut_relay& operator=(const cut_relay&) = delete;

    void set(cut_mode mode) { mode_ = mode; }

    /** Bytes or connections that met a cut. */
    [[nodiscard]] std::uint64_t hits() const { return hits_; }

private:
    struct pair {
        int client;
        int server;
    };

    void run();
    bool pump(const pair& link, bool from_client);

    int listener_;
    int target_port_;
    std::atomic<cut_mode> mode_{cut_mode::pass};
    std::atomic<std::uint64_t> hits_{0};
    std::atomic<bool> stopped_{false};
    std::list<pair> links_;
    std::thread thread_;
};

} // namespace rattan::standin
