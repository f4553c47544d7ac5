#include "net/probe_connection.hpp"

#include "base/address_func.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <utility>

namespace rattan {

namespace {

/** Length of `HTTP/1.1 200`. */
constexpr std::size_t STATUS_LINE_BYTES = 12;
constexpr std::size_t STATUS_OFFSET = 9;

bool is_not_ready(int error) {
    return error == EAGAIN || error == EWOULDBLOCK || error == EINPROGRESS ||
           error == ENOTCONN || error == EINTR;
}

} // namespace

std::optional<probe_request> encode_probe(const http_call& call) {
    constexpr std::string_view scheme = "http://";
    if (!call.url.starts_with(scheme))
        return std::nullopt;
    const std::size_t path = call.url.find('/', scheme.size());
    probe_request out;
    out.address = call.url.substr(scheme.size(), path - scheme.size());
    if (!is_address(out.address))
        return std::nullopt;
    const std::size_t colon = out.address.find(':');
    out.peer.sin_family = AF_INET;
    out.peer.sin_port = htons(
        static_cast<std::uint16_t>(std::stoi(out.address.substr(colon + 1))));
    if (inet_pton(AF_INET, out.address.substr(0, colon).c_str(),
                  &out.peer.sin_addr) != 1)
        return std::nullopt;
    out.bytes = call.method + " " +
                (path == std::string::npos ? "/" : call.url.substr(path)) +
                " HTTP/1.1\r\nHost: " + out.address +
                "\r\nContent-Type: application/json\r\nConnection: close\r\n"
                "Content-Length: " +
                std::to_string(call.body.size()) + "\r\n";
    for (const std::string& header : call.headers) {
        if (header.find_first_of("\r\n") != std::string::npos)
            return std::nullopt;
        out.bytes += header + "\r\n";
    }
    out.bytes += "\r\n" + call.body;
    return out;
}

probe_connection::probe_connection(const probe_request& request)
    : handle_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
    const bool connecting =
        handle_ >= 0 &&
        (connect(handle_, reinterpret_cast<const sockaddr*>(&request.peer),
                 sizeof request.peer) == 0 ||
         errno == EINPROGRESS);
    if (!connecting)
        end();
    else // On loopback the connection is open by now.
        send_request(request);
}

probe_connection::~probe_connection() {
    end();
}

probe_connection::probe_connection(probe_connection&& other) noexcept
    : handle_(std::exchange(other.handle_, -1)),
      state_(std::exchange(other.state_, state::ended)),
      sent_bytes_(other.sent_bytes_), answer_(std::move(other.answer_)),
      status_(other.status_) {}

probe_connection&
probe_connection::operator=(probe_connection&& other) noexcept {
    if (this == &other)
        return *this;
    end();
    handle_ = std::exchange(other.handle_, -1);
    state_ = std::exchange(other.state_, state::ended);
    sent_bytes_ = other.sent_bytes_;
    answer_ = std::move(other.answer_);
    status_ = other.status_;
    return *this;
}

void probe_connection::advance(const probe_request& request) {
    if (state_ == state::connecting)
        send_request(request);
    if (state_ == state::sent)
        read_status();
}

void probe_connection::send_request(const probe_request& request) {
    const ssize_t count =
        send(handle_, request.bytes.data() + sent_bytes_,
             request.bytes.size() - sent_bytes_, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count < 0) {
        if (!is_not_ready(errno))
            end();
        return;
    }
    sent_bytes_ += static_cast<std::size_t>(count);
    if (sent_bytes_ == request.bytes.size())
        state_ = state::sent;
}

void probe_connection::read_status() {
    std::array<char, STATUS_LINE_BYTES> buffer{};
    const ssize_t count =
        recv(handle_, buffer.data(), STATUS_LINE_BYTES - answer_.size(),
             MSG_DONTWAIT);
    if (count < 0 && is_not_ready(errno))
        return;
    if (count <= 0)
        return end();
    answer_.append(buffer.data(), static_cast<std::size_t>(count));
    if (answer_.size() < STATUS_LINE_BYTES)
        return;
    if (answer_.starts_with("HTTP/1."))
        std::from_chars(answer_.data() + STATUS_OFFSET,
                        answer_.data() + STATUS_LINE_BYTES, status_);
    end();
}

void probe_connection::end() {
    state_ = state::ended;
    if (handle_ >= 0)
        close(std::exchange(handle_, -1));
}

} // namespace rattan
