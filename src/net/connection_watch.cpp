#include "net/connection_watch.hpp"

#include <ace/INET_Addr.h>
#include <ace/OS_NS_sys_socket.h>
#include <ace/SOCK_Connector.h>

#include <array>
#include <cerrno>
#include <utility>

namespace rattan {

namespace {

constexpr millis CONNECT_TIMEOUT{500};

} // namespace

connection_watch::connection_watch(event_loop& loop, const std::string& address,
                                   callbacks handlers)
    : loop_(loop), callbacks_(std::move(handlers)) {
    ACE_SOCK_Stream peer;
    ACE_SOCK_Connector connector;
    const ACE_Time_Value no_wait(0, 0);
    const int result =
        connector.connect(peer, ACE_INET_Addr(address.c_str()), &no_wait);
    const int cause = result == 0 ? 0 : errno;
    handle_ = peer.get_handle();
    if (handle_ == ACE_INVALID_HANDLE ||
        (result != 0 && cause != EWOULDBLOCK && cause != EINPROGRESS &&
         cause != ETIME)) {
        fail();
        return;
    }
    loop_.reactor().register_handler(this, ACE_Event_Handler::WRITE_MASK |
                                               ACE_Event_Handler::READ_MASK);
    timer_ = loop_.after(CONNECT_TIMEOUT, [this] {
        timer_ = 0;
        fail();
    });
}

connection_watch::~connection_watch() {
    alive_.reset();
    disconnect();
}

void connection_watch::disconnect() {
    loop_.cancel(std::exchange(timer_, 0));
    open_ = false;
    if (handle_ == ACE_INVALID_HANDLE)
        return;
    loop_.reactor().remove_handler(this, ACE_Event_Handler::ALL_EVENTS_MASK |
                                             ACE_Event_Handler::DONT_CALL);
    ACE_OS::closesocket(std::exchange(handle_, ACE_INVALID_HANDLE));
}

void connection_watch::report(const std::function<void()>& callback) {
    loop_.defer([callback, alive = std::weak_ptr(alive_)] {
        if (!alive.expired())
            callback();
    });
}

void connection_watch::fail() {
    disconnect();
    report(callbacks_.lost);
}

int connection_watch::handle_output(ACE_HANDLE) {
    if (handle_ == ACE_INVALID_HANDLE || open_)
        return 0;
    int failure = 0;
    int length = sizeof failure;
    ACE_OS::getsockopt(handle_, SOL_SOCKET, SO_ERROR,
                       reinterpret_cast<char*>(&failure), &length);
    if (failure != 0) {
        fail();
        return 0;
    }
    loop_.cancel(std::exchange(timer_, 0));
    loop_.reactor().cancel_wakeup(this, ACE_Event_Handler::WRITE_MASK);
    open_ = true;
    report(callbacks_.opened);
    return 0;
}

int connection_watch::handle_input(ACE_HANDLE) {
    if (handle_ == ACE_INVALID_HANDLE)
        return 0;
    std::array<char, 1024> ignored{};
    const ssize_t count =
        ACE_OS::recv(handle_, ignored.data(), ignored.size(), MSG_DONTWAIT);
    if (count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK))
        fail();
    return 0;
}

} // namespace rattan
