/** @file Clients that send request after request, with or without reading. */
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace rattan::standin {

/** What each client of a crowd does. */
struct client_plan {
    int clients = 0;
    /** Bytes of a client's next request; empty: it has sent all of them. */
    std::function<std::string(int client, int number)> request;
    /** Waits for each answer; otherwise sends on and reads nothing. */
    bool reads_answers = true;
    std::size_t piece_bytes = 0; ///< Sent at once; 0: as much as is accepted.
    std::chrono::milliseconds piece_period{0}; ///< Between two pieces.
    bool reconnects = false; ///< Connects again after it was closed.
};

/** Runs the clients in a thread; connections stay open until destruction. */
class client_crowd {
public:
    client_crowd(const std::string& ip, int port, client_plan plan)
        : plan_(std::move(plan)),
          clients_(static_cast<std::size_t>(plan_.clients)) {
        address_.sin_family = AF_INET;
        address_.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &address_.sin_addr);
        for (client& each : clients_)
            connect_client(each);
        thread_ = std::thread([this] { run(); });
    }
    ~client_crowd() {
        stopped_ = true;
        thread_.join();
        for (const client& each : clients_)
            if (each.handle >= 0)
                close(each.handle);
    }
    client_crowd(const client_crowd&) = delete;
    client_crowd& operator=(const client_crowd&) = delete;

    /** Whether every client has sent all requests or has been closed. */
    [[nodiscard]] bool finished() const { return finished_; }
    /** Number of answers with status 200 that were read. */
    [[nodiscard]] int accepted() const { return accepted_; }

private:
    using clock = std::chrono::steady_clock;
    static constexpr int IDLE_PERIOD_MS = 2;

    struct client {
        int handle = -1;
        int requests = 0;     ///< Begun so far.
        std::string unsent;   ///< Rest of the current request.
        bool waiting = false; ///< For an answer.
        bool done = false;
        std::string received; ///< Begin of an answer.
        clock::time_point next_piece{};
    };

    void connect_client(client& each) {
        each.handle = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        each.unsent.clear();
        each.received.clear();
        each.waiting = false;
        connect(each.handle, reinterpret_cast<const sockaddr*>(&address_),
                sizeof address_);
    }

    void run() {
        while (!stopped_) {
            bool progress = false;
            bool finished = true;
            for (std::size_t i = 0; i < clients_.size(); ++i) {
                client& each = clients_[i];
                if (each.handle >= 0 && !each.done)
                    progress = serve(each, static_cast<int>(i)) || progress;
                finished = finished && (each.handle < 0 || each.done);
            }
            finished_ = finished;
            if (!progress)
                poll(nullptr, 0, IDLE_PERIOD_MS);
        }
    }

    bool serve(client& each, int index) {
        const ssize_t got = plan_.reads_answers ? receive(each) : look(each);
        if (got == 0 || (got < 0 && errno != EAGAIN && errno != ENOTCONN)) {
            close(each.handle);
            each.handle = -1;
            if (plan_.reconnects)
                connect_client(each);
            return true;
        }
        if (each.waiting)
            return got > 0;
        const auto now = clock::now();
        if (now < each.next_piece)
            return false;
        if (each.unsent.empty()) {
            each.unsent = plan_.request(index, each.requests++);
            each.done = each.unsent.empty();
            if (each.done)
                return true;
        }
        std::string_view piece = each.unsent;
        if (plan_.piece_bytes > 0)
            piece = piece.substr(0, plan_.piece_bytes);
        const ssize_t count = send(each.handle, piece.data(), piece.size(),
                                   MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        each.next_piece = now + plan_.piece_period;
        each.unsent.erase(0, static_cast<std::size_t>(count));
        each.waiting = each.unsent.empty() && plan_.reads_answers;
        return true;
    }

    /** Tells whether the connection is open, without reading. */
    static ssize_t look(client& each) {
        char byte = 0;
        return recv(each.handle, &byte, 1, MSG_DONTWAIT | MSG_PEEK);
    }

    ssize_t receive(client& each) {
        char bytes[4096];
        const ssize_t got =
            recv(each.handle, bytes, sizeof bytes, MSG_DONTWAIT);
        if (got <= 0)
            return got;
        each.received.append(bytes, static_cast<std::size_t>(got));
        const std::size_t head = each.received.find("\r\n\r\n");
        if (head == std::string::npos)
            return got;
        const std::string field = "Content-Length: ";
        const std::size_t length = each.received.find(field);
        const std::size_t body =
            length < head
                ? std::stoul(each.received.substr(length + field.size()))
                : 0;
        if (each.received.size() < head + 4 + body)
            return got;
        if (each.received.starts_with("HTTP/1.1 200"))
            ++accepted_;
        each.received.clear();
        each.waiting = false;
        return got;
    }

    client_plan plan_;
    sockaddr_in address_{};
    std::vector<client> clients_;
    std::atomic<bool> stopped_ = false;
    std::atomic<bool> finished_ = false;
    std::atomic<int> accepted_ = 0;
    std::thread thread_;
};

} // namespace rattan::standin
