/** @file A server whose answers to HTTP requests never end. */
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace rattan::standin {

/** Answers each request on its address without an end, in its own thread. */
class endless_server {
public:
    endless_server(const std::string& ip, int port)
        : listener_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
        const int one = 1;
        setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        ready_ = bind(listener_, reinterpret_cast<sockaddr*>(&address),
                      sizeof address) == 0 &&
                 listen(listener_, 64) == 0;
        thread_ = std::thread([this] { run(); });
    }
    ~endless_server() {
        stopped_ = true;
        thread_.join();
        for (const pollfd& each : handles_)
            close(each.fd);
    }
    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;

    [[nodiscard]] bool ready() const { return ready_; }
    [[nodiscard]] std::size_t bytes_sent() const { return bytes_sent_; }

private:
    void run() {
        const std::string filler(1U << 18U, 'x');
        handles_.push_back({.fd = listener_, .events = POLLIN, .revents = 0});
        while (!stopped_) {
            poll(handles_.data(), handles_.size(), 50);
            if ((handles_[0].revents & POLLIN) != 0) {
                const int peer =
                    accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);
                if (peer >= 0)
                    handles_.push_back(
                        {.fd = peer, .events = POLLIN, .revents = 0});
            }
            for (std::size_t i = handles_.size() - 1; i > 0; --i)
                if (!serve(handles_[i], filler)) {
                    close(handles_[i].fd);
                    handles_.erase(handles_.begin() +
                                   static_cast<std::ptrdiff_t>(i));
                }
        }
    }

    /** Handles the events of a connection. @return False if it is closed. */
    bool serve(pollfd& peer, const std::string& filler) {
        char received[4096];
        if ((peer.revents & POLLIN) != 0) {
            const ssize_t got =
                recv(peer.fd, received, sizeof received, MSG_DONTWAIT);
            if (got == 0 || (got < 0 && errno != EAGAIN))
                return false;
            if (got > 0 && (peer.events & POLLOUT) == 0) {
                static constexpr std::string_view head =
                    "HTTP/1.1 200 OK\r\n\r\n";
                send(peer.fd, head.data(), head.size(), MSG_NOSIGNAL);
                peer.events = POLLIN | POLLOUT;
            }
        }
        if ((peer.revents & POLLOUT) != 0) {
            const ssize_t sent = send(peer.fd, filler.data(), filler.size(),
                                      MSG_DONTWAIT | MSG_NOSIGNAL);
            if (sent < 0 && errno != EAGAIN)
                return false;
            if (sent > 0)
                bytes_sent_ += static_cast<std::size_t>(sent);
        }
        return (peer.revents & (POLLERR | POLLHUP)) == 0;
    }

    int listener_;
    bool ready_ = false;
    std::atomic<bool> stopped_ = false;
    std::atomic<std::size_t> bytes_sent_ = 0;
    std::vector<pollfd> handles_;
    std::thread thread_;
};

} // namespace rattan::standin
