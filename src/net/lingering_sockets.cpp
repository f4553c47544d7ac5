#include "net/lingering_sockets.hpp"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace rattan {

namespace {

constexpr std::size_t MAX_SOCKETS = 16;
constexpr millis MAX_TIME{1000};
constexpr millis DRAIN_PERIOD{20};
constexpr std::size_t MAX_BYTES = 4U << 20U;

} // namespace

lingering_sockets::~lingering_sockets() {
    for (const lingering_socket& socket : sockets_)
        close(socket.handle);
}

void lingering_sockets::add(int handle) {
    if (sockets_.size() >= MAX_SOCKETS)
        return;
    const int copy = fcntl(handle, F_DUPFD_CLOEXEC, 0);
    if (copy < 0)
        return;
    shutdown(copy, SHUT_WR);
    sockets_.push_back({.handle = copy, .until = event_loop::now() + MAX_TIME});
    schedule();
}

void lingering_sockets::schedule() {
    if (scheduled_)
        return;
    scheduled_ = true;
    loop_.after(DRAIN_PERIOD, [this, alive = std::weak_ptr(alive_)] {
        if (alive.expired())
            return;
        scheduled_ = false;
        drain();
        if (!sockets_.empty())
            schedule();
    });
}

void lingering_sockets::drain() {
    for (auto at = sockets_.begin(); at != sockets_.end();) {
        if (drain_one(*at) && event_loop::now() < at->until) {
            ++at;
            continue;
        }
        close(at->handle);
        at = sockets_.erase(at);
    }
}

bool lingering_sockets::drain_one(lingering_socket& socket) {
    char buffer[16U << 10U];
    while (socket.bytes < MAX_BYTES) {
        const ssize_t got =
            recv(socket.handle, buffer, sizeof buffer, MSG_DONTWAIT);
        if (got < 0)
            return errno == EAGAIN || errno == EINTR;
        if (got == 0)
            return false;
        socket.bytes += static_cast<std::size_t>(got);
    }
    return false;
}

} // namespace rattan
