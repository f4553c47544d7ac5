#include "harness_tcp_proxy.hpp"

#include "rattan/error_type.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <vector>

namespace rattan::standin {

namespace {

sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

} // namespace

tcp_proxy::tcp_proxy(int listen_port, int target_port)
    : listener_(socket(AF_INET, SOCK_STREAM, 0)), target_port_(target_port) {
    const int enable = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable);
    const sockaddr_in address = loopback(listen_port);
    if (bind(listener_, reinterpret_cast<const sockaddr*>(&address),
             sizeof address) != 0 ||
        listen(listener_, 64) != 0)
        throw system_error("cannot listen on 127.0.0.1:" +
                           std::to_string(listen_port));
    thread_ = std::thread([this] { run(); });
}

tcp_proxy::~tcp_proxy() {
    stopped_ = true;
    thread_.join();
    for (const connection_pair& link : links_) {
        close(link.client);
        close(link.server);
    }
    close(listener_);
}

bool tcp_proxy::relay_bytes(const connection_pair& link, bool from_client) {
    const int from = from_client ? link.client : link.server;
    const int to = from_client ? link.server : link.client;
    char buffer[16'384];
    const ssize_t received = recv(from, buffer, sizeof buffer, MSG_DONTWAIT);
    if (received <= 0)
        return false;
    const proxy_mode mode = mode_;
    if (mode == proxy_mode::discard ||
        (mode == proxy_mode::discard_replies && !from_client)) {
        ++interruptions_;
        return true;
    }
    return send(to, buffer, static_cast<size_t>(received), MSG_NOSIGNAL) ==
           received;
}

void tcp_proxy::run() {
    while (!stopped_) {
        std::vector<pollfd> polled{{listener_, POLLIN, 0}};
        for (const connection_pair& link : links_) {
            polled.push_back({link.client, POLLIN, 0});
            polled.push_back({link.server, POLLIN, 0});
        }
        poll(polled.data(), polled.size(), 20);
        if (mode_ == proxy_mode::refuse) {
            interruptions_ += links_.size();
            for (const connection_pair& link : links_) {
                close(link.client);
                close(link.server);
            }
            links_.clear();
        }
        size_t at = 1;
        for (auto link = links_.begin();
             link != links_.end() && at + 1 < polled.size(); at += 2) {
            const bool client_ok =
                polled[at].revents == 0 || relay_bytes(*link, true);
            const bool server_ok =
                polled[at + 1].revents == 0 || relay_bytes(*link, false);
            if (client_ok && server_ok) {
                ++link;
                continue;
            }
            close(link->client);
            close(link->server);
            link = links_.erase(link);
        }
        if ((polled[0].revents & POLLIN) == 0)
            continue;
        const int client = accept(listener_, nullptr, nullptr);
        if (client < 0)
            continue;
        if (mode_ == proxy_mode::refuse) {
            ++interruptions_;
            close(client);
            continue;
        }
        const int server = socket(AF_INET, SOCK_STREAM, 0);
        const sockaddr_in address = loopback(target_port_);
        if (connect(server, reinterpret_cast<const sockaddr*>(&address),
                    sizeof address) != 0) {
            close(server);
            close(client);
            continue;
        }
        links_.push_back({client, server});
    }
}

} // namespace rattan::standin
