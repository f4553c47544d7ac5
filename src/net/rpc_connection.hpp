/** @file TCP connection that carries length-prefixed frames. */
#pragma once

#include "net/budget_claim.hpp"
#include "net/event_loop.hpp"
#include "net/progress_check.hpp"
#include "net/rpc_limits.hpp"

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
                   close_callback on_close, const rpc_limits& limits = {});
    ~rpc_connection() override;

    /** Takes over a socket and starts to read. @pre It is connected. */
    void open(ACE_HANDLE handle);

    /**
     * Sends one frame. The connection fails when more than
     * `rpc_limits::frame_bytes` would wait for the peer to read them, or when
     * the budget is exhausted.
     */
    void send(const std::string& frame);

    /** Closes the connection without a call of `on_close`. */
    void close();

    /** Closes the connection and defers a call of `on_close`. */
    void fail();

    /**
     * Checks the progress since the last call.
     * @return Number of successive calls without progress: a part of a frame
     * waits for the rest, or nothing was ever received.
     */
    unsigned check_progress();

    [[nodiscard]] bool is_open() const { return open_; }

    ACE_HANDLE get_handle() const override { return socket_.get_handle(); }
    int handle_input(ACE_HANDLE) override;
    int handle_output(ACE_HANDLE) override;

private:
    /** Delivers the complete frames. @return False if one is too large. */
    bool deliver_frames();
    /** Writes as much of the output as the socket accepts. */
    void flush();
    /** Frees an empty buffer that is larger than the part not counted. */
    static void release(std::string& buffer, budget_claim& claim);

    event_loop& loop_;
    rpc_limits limits_;
    frame_callback on_frame_;
    close_callback on_close_;
    ACE_SOCK_Stream socket_;
    std::string input_;
    std::string output_;
    budget_claim input_claim_;  ///< Counts the capacity of `input_`.
    budget_claim output_claim_; ///< Counts the capacity of `output_`.
    progress_check progress_;
    bool received_frame_ = false;
    bool open_ = false;
    bool awaiting_write_ = false;
};

} // namespace rattan
