#include "net/rpc_stream.hpp"

#include "net/thrift_codec.hpp"

#include <ace/os_include/netinet/os_tcp.h>

#include <cerrno>

namespace rattan {

namespace {

constexpr size_t LENGTH_BYTES = 4;
constexpr size_t READ_BYTES = 64U << 10U;

/** The length prefix of a frame. */
std::string length_prefix(size_t length) {
    std::string prefix(LENGTH_BYTES, '\0');
    for (size_t i = 0; i < LENGTH_BYTES; ++i)
        prefix[i] =
            static_cast<char>((length >> (8 * (LENGTH_BYTES - 1 - i))) & 255U);
    return prefix;
}

/** Reads a length prefix at the start of `bytes`. */
size_t prefix_length(const std::string& bytes, size_t at) {
    size_t length = 0;
    for (size_t i = 0; i < LENGTH_BYTES; ++i)
        length = (length << 8U) | static_cast<unsigned char>(bytes[at + i]);
    return length;
}

} // namespace

rpc_stream::rpc_stream(event_loop& loop, frame_callback on_frame,
                       close_callback on_close)
    : loop_(loop), on_frame_(std::move(on_frame)),
      on_close_(std::move(on_close)) {}

rpc_stream::~rpc_stream() {
    shut();
}

void rpc_stream::open(ACE_HANDLE handle) {
    stream_.set_handle(handle);
    stream_.enable(ACE_NONBLOCK);
    int one = 1;
    stream_.set_option(IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    open_ = true;
    loop_.reactor().register_handler(this, ACE_Event_Handler::READ_MASK);
}

void rpc_stream::shut() {
    if (!open_)
        return;
    open_ = false;
    loop_.reactor().remove_handler(this, ACE_Event_Handler::ALL_EVENTS_MASK |
                                             ACE_Event_Handler::DONT_CALL);
    stream_.close();
}

void rpc_stream::fail() {
    if (!open_)
        return;
    shut();
    loop_.defer(on_close_);
}

int rpc_stream::handle_input(ACE_HANDLE) {
    char buffer[READ_BYTES];
    const ssize_t got = stream_.recv(buffer, sizeof buffer);
    if (got < 0 && (errno == EWOULDBLOCK || errno == EINTR))
        return 0;
    if (got <= 0) {
        fail();
        return 0;
    }
    input_.append(buffer, static_cast<size_t>(got));
    if (!take_frames())
        fail();
    return 0;
}

bool rpc_stream::take_frames() {
    size_t at = 0;
    while (open_ && input_.size() - at >= LENGTH_BYTES) {
        const size_t length = prefix_length(input_, at);
        if (length > MAX_FRAME_BYTES)
            return false;
        if (input_.size() - at - LENGTH_BYTES < length)
            break;
        std::string frame = input_.substr(at + LENGTH_BYTES, length);
        at += LENGTH_BYTES + length;
        on_frame_(std::move(frame));
    }
    input_.erase(0, at);
    return true;
}

void rpc_stream::send(const std::string& frame) {
    if (!open_)
        return;
    if (output_.size() + frame.size() > MAX_FRAME_BYTES) {
        fail();
        return;
    }
    output_ += length_prefix(frame.size());
    output_ += frame;
    flush();
}

void rpc_stream::flush() {
    while (open_ && !output_.empty()) {
        const ssize_t sent = stream_.send(output_.data(), output_.size());
        if (sent < 0 && (errno == EWOULDBLOCK || errno == EINTR))
            break;
        if (sent <= 0) {
            fail();
            return;
        }
        output_.erase(0, static_cast<size_t>(sent));
    }
    const bool wants = !output_.empty();
    if (wants == wants_output_ || !open_)
        return;
    wants_output_ = wants;
    if (wants)
        loop_.reactor().schedule_wakeup(this, ACE_Event_Handler::WRITE_MASK);
    else
        loop_.reactor().cancel_wakeup(this, ACE_Event_Handler::WRITE_MASK);
}

int rpc_stream::handle_output(ACE_HANDLE) {
    flush();
    return 0;
}

} // namespace rattan
