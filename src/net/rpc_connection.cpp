#include "net/rpc_connection.hpp"

#include "net/tcp_progress_func.hpp"
#include "net/thrift_codec.hpp"

#include <ace/os_include/netinet/os_tcp.h>

#include <cerrno>

namespace rattan {

namespace {

constexpr size_t LENGTH_PREFIX_BYTES = 4;
constexpr size_t READ_BUFFER_BYTES = 64U << 10U;
/**
 * Capacity of a buffer that the budget does not count, so that short calls
 * succeed while the budget is exhausted.
 */
constexpr size_t FREE_BYTES = 4096;

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
                               close_callback on_close,
                               const rpc_limits& limits)
    : loop_(loop), limits_(limits), on_frame_(std::move(on_frame)),
      on_close_(std::move(on_close)), input_claim_(limits.budget),
      output_claim_(limits.budget) {}

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
    const size_t limit =
        limits_.frame_bytes + LENGTH_PREFIX_BYTES + READ_BUFFER_BYTES;
    if (!input_claim_.append(input_, buffer, static_cast<size_t>(got), limit,
                             FREE_BYTES)) {
        limits_.count("rpc_over_budget");
        fail();
        return 0;
    }
    if (!deliver_frames()) {
        limits_.count("rpc_frames_too_large");
        fail();
    }
    return 0;
}

void rpc_connection::release(std::string& buffer, budget_claim& claim) {
    if (!buffer.empty() || buffer.capacity() <= FREE_BYTES)
        return;
    std::string().swap(buffer);
    claim.shrink(0);
}

unsigned rpc_connection::check_progress() {
    progress_.check(open_ ? tcp_bytes_moved(socket_.get_handle()) : 0);
    if (received_frame_ && input_.empty() && output_.empty())
        progress_.reset();
    return progress_.slow_periods();
}

bool rpc_connection::deliver_frames() {
    size_t offset = 0;
    while (open_ && input_.size() - offset >= LENGTH_PREFIX_BYTES) {
        const size_t length = decode_length(input_, offset);
        if (length > limits_.frame_bytes)
            return false;
        if (input_.size() - offset - LENGTH_PREFIX_BYTES < length)
            break;
        std::string frame = input_.substr(offset + LENGTH_PREFIX_BYTES, length);
        offset += LENGTH_PREFIX_BYTES + length;
        received_frame_ = true;
        on_frame_(std::move(frame));
    }
    input_.erase(0, offset);
    release(input_, input_claim_);
    return true;
}

void rpc_connection::send(const std::string& frame) {
    if (!open_)
        return;
    const std::string prefix = encode_length(frame.size());
    const size_t limit = limits_.frame_bytes + prefix.size();
    if (output_.size() + frame.size() > limits_.frame_bytes) {
        limits_.count("rpc_frames_too_large");
        fail();
        return;
    }
    if (!output_claim_.append(output_, prefix.data(), prefix.size(), limit,
                              FREE_BYTES) ||
        !output_claim_.append(output_, frame.data(), frame.size(), limit,
                              FREE_BYTES)) {
        limits_.count("rpc_over_budget");
        fail();
        return;
    }
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
    release(output_, output_claim_);
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
