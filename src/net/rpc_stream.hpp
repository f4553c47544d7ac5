/** @file One TCP connection that carries frames. */
#pragma once

#include "net/event_loop.hpp"

#include <ace/Event_Handler.h>
#include <ace/SOCK_Stream.h>

#include <functional>
#include <string>

namespace rattan {

/** Reads and writes frames on a connected socket; owned by its user. */
class rpc_stream : public ACE_Event_Handler {
public:
    using frame_callback = std::function<void(std::string frame)>;
    using close_callback = std::function<void()>;

    rpc_stream(event_loop& loop, frame_callback on_frame,
               close_callback on_close);
    ~rpc_stream() override;

    /** Starts to read. @pre The socket of `stream` is connected. */
    void open(ACE_HANDLE handle);

    /** Sends one frame; a peer that does not read it is dropped. */
    void send(const std::string& frame);

    /** Ends the connection without a call of `on_close`. */
    void shut();

    [[nodiscard]] bool is_open() const { return open_; }

    ACE_HANDLE get_handle() const override { return stream_.get_handle(); }
    int handle_input(ACE_HANDLE) override;
    int handle_output(ACE_HANDLE) override;

private:
    /** Hands on every whole frame of the input. @return False to close. */
    bool take_frames();
    /** Writes what the socket takes. */
    void flush();
    /** Ends the connection and tells the user, after this event. */
    void fail();

    event_loop& loop_;
    frame_callback on_frame_;
    close_callback on_close_;
    ACE_SOCK_Stream stream_;
    std::string input_;
    std::string output_;
    bool open_ = false;
    bool wants_output_ = false;
};

} // namespace rattan
