#include "net/tcp_progress_func.hpp"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace rattan {

std::uint64_t tcp_bytes_moved(int handle) {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (getsockopt(handle, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return 0;
    return info.tcpi_bytes_received + info.tcpi_bytes_acked;
}

} // namespace rattan
