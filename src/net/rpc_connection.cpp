#include "net/rpc_connection.hpp"

#include "net/thrift_codec.hpp"

#include <ace/os_include/netinet/os_tcp.h>

#include <cerrno>

namespace rattan {

namespace {

constexpr size_t LENGTH_PREFIX_BYTES = 4;
constexpr size_t READ_BUFFER_BYTES = 64U << 10U;

/** Encodes the length prefix of a frame, most significant byte first. */
std::string encode_length(size_t length) {
    std::string prefix(LENGTH_PREFIX_BYTES, '\0');
    for (size_t i = 0; i < LENGTH_PREFIX_BYTES; ++i)
        prefix[i] = static_cast<char>(
            (length >> (8 * (LENGTH_PREFIX_BYTES - 1 - i))) & 255U);
    return prefix;
}

/** Decodes the length prefix at an offset of `bytes`. */
size_t decode_length(const std::string& bytes, size_t offset) {
    size_t length = 0;
    for (size_t i = 0; i < LENGTH_PREFIX_BYTES; ++i)
        length = (length << 8U) | static_cast<unsigned char>(bytes[offset + i]);
    return length;
}

} // namespace

rpc_connection::rpc_connection(event_loop& loop, frame_callback on_frame,
                               close_callback on_close)
    : loop_(loop), on_frame_(std::move(on_frame)),
      on_close_(std::move(on_close)) {}

rpc_connection::~rpc_connection() {
    close();
}

void rpc_connection::open(ACE_HANDLE handle) {
    socket_.set_handle(handle);
    socket_.enable(ACE_NONBLOCK);
    int one = 1;
    socket_.set_option(IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    open_ = true;
    loop_.reactor().register_handler(this, ACE_Event_Handler::READ_MASK);
}

void rpc_connection::close() {
    if (!open_)
        return;
    open_ = false;
    loop_.reactor().remove_handler(this, ACE_Event_Handler::ALL_EVENTS_MASK |
                                             ACE_Event_Handler::DONT_CALL);
    socket_.close();
}

void rpc_connection::fail() {
    if (!open_)
        return;
    close();
    loop_.defer(on_close_);
}

int rpc_connection::handle_input(ACE_HANDLE) {
    char buffer[READ_BUFFER_BYTES];
    const ssize_t got = socket_.recv(buffer, sizeof buffer);
    if (got < 0 && (errno == EWOULDBLOCK || errno == EINTR))
        return 0;
    if (got <= 0) {
        fail();
        return 0;
    }
    input_.append(buffer, static_cast<size_t>(got));
    if (!deliver_frames())
        fail();
    return 0;
}

bool rpc_connection::deliver_frames() {
    size_t offset = 0;
    while (open_ && input_.size() - offset >= LENGTH_PREFIX_BYTES) {
        const size_t length = decode_length(input_, offset);
        if (length > MAX_FRAME_BYTES)
            return false;
        if (input_.size() - offset - LENGTH_PREFIX_BYTES < length)
            break;
        std::string frame = input_.substr(offset + LENGTH_PREFIX_BYTES, length);
        offset += LENGTH_PREFIX_BYTES + length;
        on_frame_(std::move(frame));
    }
    input_.erase(0, offset);
    return true;
}

void rpc_connection::send(const std::string& frame) {
    if (!open_)
        return;
    if (output_.size() + frame.size() > MAX_FRAME_BYTES) {
        fail();
        return;
    }
    output_ += encode_length(frame.size());
    output_ += frame;
    flush();
}

void rpc_connection::flush() {
    while (open_ && !output_.empty()) {
        const ssize_t sent = socket_.send(output_.data(), output_.size());
        if (sent < 0 && (errno == EWOULDBLOCK || errno == EINTR))
            break;
        if (sent <= 0) {
            fail();
            return;
        }
        output_.erase(0, static_cast<size_t>(sent));
    }
    const bool pending = !output_.empty();
    if (pending == awaiting_write_ || !open_)
        return;
    awaiting_write_ = pending;
    if (pending)
        loop_.reactor().schedule_wakeup(this, ACE_Event_Handler::WRITE_MASK);
    else
        loop_.reactor().cancel_wakeup(this, ACE_Event_Handler::WRITE_MASK);
}

int rpc_connection::handle_output(ACE_HANDLE) {
    flush();
    return 0;
}

} // namespace rattan
