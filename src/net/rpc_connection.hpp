/** @file TCP connection that carries length-prefixed frames. */
#pragma once

#include "net/event_loop.hpp"

#include <ace/Event_Handler.h>
#include <ace/SOCK_Stream.h>

#include <functional>
#include <string>

namespace rattan {

/** Reads and writes frames on a connected socket. */
class rpc_connection : public ACE_Event_Handler {
public:
    using frame_callback = std::function<void(std::string frame)>;
    using close_callback = std::function<void()>;

    rpc_connection(event_loop& loop, frame_callback on_frame,
                   close_callback on_close);
    ~rpc_connection() override;

    /** Takes over a socket and starts to read. @pre It is connected. */
    void open(ACE_HANDLE handle);

    /**
     * Sends one frame. The connection fails when more than `MAX_FRAME_BYTES`
     * would wait for the peer to read them.
     */
    void send(const std::string& frame);

    /** Closes the connection without a call of `on_close`. */
    void close();

    [[nodiscard]] bool is_open() const { return open_; }

    ACE_HANDLE get_handle() const override { return socket_.get_handle(); }
    int handle_input(ACE_HANDLE) override;
    int handle_output(ACE_HANDLE) override;

private:
    /** Delivers the complete frames. @return False if one is too large. */
    bool deliver_frames();
    /** Writes as much of the output as the socket accepts. */
    void flush();
    /** Closes the connection and defers a call of `on_close`. */
    void fail();

    event_loop& loop_;
    frame_callback on_frame_;
    close_callback on_close_;
    ACE_SOCK_Stream socket_;
    std::string input_;
    std::string output_;
    bool open_ = false;
    bool awaiting_write_ = false;
};

} // namespace rattan
