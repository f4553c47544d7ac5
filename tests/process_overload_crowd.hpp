/** @file Many clients that send without regard to limits or responses. */
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace rattan::standin {

/** What each client of a crowd sends. */
struct crowd_plan {
    int clients = 0;
    std::string bytes; ///< Sent by every client.
    /** Sent in addition by one client of ten; the others stop before it. */
    std::string end;
    std::size_t piece_bytes = 0; ///< Sent at once; 0: as much as is accepted.
    int reconnects = 2;          ///< Of each client, after it was closed.
};

/** Connects the clients and sends; connections stay open until destruction. */
class overload_crowd {
public:
    overload_crowd(const std::string& ip, int port, crowd_plan plan)
        : plan_(std::move(plan)),
          clients_(static_cast<std::size_t>(plan_.clients)) {
        address_.sin_family = AF_INET;
        address_.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &address_.sin_addr);
        for (client& each : clients_)
            connect_client(each);
    }
    ~overload_crowd() {
        for (const client& each : clients_)
            if (each.handle >= 0)
                close(each.handle);
    }
    overload_crowd(const overload_crowd&) = delete;
    overload_crowd& operator=(const overload_crowd&) = delete;

    /**
     * Sends until no client has made progress for a while.
     * @param sample Called regularly meanwhile.
     */
    void run(const std::function<void()>& sample) {
        using clock = std::chrono::steady_clock;
        const auto started_at = clock::now();
        auto progress_at = started_at;
        while (clock::now() - progress_at < QUIET_TIME &&
               clock::now() - started_at < MAX_TIME) {
            if (send_round())
                progress_at = clock::now();
            else
                poll(nullptr, 0, 5);
            sample();
        }
    }

private:
    static constexpr std::chrono::milliseconds QUIET_TIME{2000};
    static constexpr std::chrono::seconds MAX_TIME{60};

    struct client {
        int handle = -1;
        std::size_t sent = 0;
        int connects = 0;
    };

    void connect_client(client& each) {
        ++each.connects;
        each.sent = 0;
        each.handle = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        connect(each.handle, reinterpret_cast<const sockaddr*>(&address_),
                sizeof address_);
    }

    /** Lets every client receive and send once. @return Any did. */
    bool send_round() {
        bool progress = false;
        for (std::size_t i = 0; i < clients_.size(); ++i)
            if (clients_[i].handle >= 0)
                progress = serve(clients_[i], i % 10 == 0) || progress;
        return progress;
    }

    bool serve(client& each, bool complete) {
        char received[4096];
        const ssize_t got =
            recv(each.handle, received, sizeof received, MSG_DONTWAIT);
        if (got == 0 || (got < 0 && errno != EAGAIN && errno != ENOTCONN)) {
            close(each.handle);
            each.handle = -1;
            if (each.connects <= plan_.reconnects)
                connect_client(each);
            return true;
        }
        const std::string& bytes = plan_.bytes;
        std::string_view rest;
        if (each.sent < bytes.size())
            rest = std::string_view(bytes).substr(each.sent);
        else if (complete)
            rest = std::string_view(plan_.end).substr(each.sent - bytes.size());
        if (rest.empty())
            return got > 0;
        if (plan_.piece_bytes > 0)
            rest = rest.substr(0, plan_.piece_bytes);
        const ssize_t count = send(each.handle, rest.data(), rest.size(),
                                   MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count > 0)
            each.sent += static_cast<std::size_t>(count);
        return got > 0 || count > 0;
    }

    crowd_plan plan_;
    sockaddr_in address_{};
    std::vector<client> clients_;
};

} // namespace rattan::standin
