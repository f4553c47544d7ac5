/** @file RPC client for one peer process. */
#pragma once

#include "net/event_loop.hpp"
#include "net/rpc_connection.hpp"

#include <rattan_types.h>

#include <ace/Event_Handler.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace rattan {

/** How a call ended. */
enum class rpc_outcome {
    answered, ///< The peer answered; its status is in `code`.
    not_sent, ///< No byte of the call was sent.
    unknown,  ///< The call may have taken effect.
};

/** The answer to a call, or why there is none. */
struct rpc_call_result {
    rpc_outcome outcome = rpc_outcome::not_sent;
    wire::status::type code = wire::status::UNAVAILABLE;
    std::string body;

    /** Whether the peer answered with status OK. */
    [[nodiscard]] bool ok() const {
        return outcome == rpc_outcome::answered && code == wire::status::OK;
    }
};

/** What a timed-out call does to the connection. */
enum class timeout_policy {
    keep_connection, ///< For calls that may take long at the peer.
    reconnect,       ///< Assumes that the connection is broken.
};

/**
 * Calls a peer over one persistent connection. Connects when there is a call
 * to send, with back-off after failures, and matches answers to calls by id.
 */
class rpc_client : public ACE_Event_Handler {
public:
    using callback = std::function<void(const rpc_call_result&)>;

    /** @param address IP and port of the peer. */
    rpc_client(event_loop& loop, std::string address,
               timeout_policy timeouts = timeout_policy::keep_connection,
               const rpc_limits& limits = {});
    ~rpc_client() override;

    /**
     * Sends a call.
     * @param timeout After this the call ends without an answer.
     * @param done Called once, after this function has returned.
     */
    void call(wire::method::type method, const std::string& body,
              millis timeout, callback done);

    [[nodiscard]] const std::string& address() const { return address_; }

    /** Lets the next call connect without waiting for the back-off. */
    void reset_backoff() { next_attempt_ = {}; }
    /** Closes the connection; ends the pending calls without an answer. */
    void reset() {
        drop_connection();
        reset_backoff();
    }

    /** Number of answers that arrived after the timeout of their call. */
    [[nodiscard]] std::uint64_t late_answers() const { return late_answers_; }

    int handle_output(ACE_HANDLE handle) override;
    int handle_input(ACE_HANDLE handle) override;
    ACE_HANDLE get_handle() const override { return connecting_; }

private:
    struct pending_call {
        callback done;
        long timer = 0;
    };

    /** Starts a connection attempt unless connected or connecting. */
    void connect();
    /** Sends the calls that waited for the connection. */
    void on_connected();
    /** Starts the back-off and ends the calls that were not sent. */
    void on_connect_failed();
    /** Closes the connection or cancels the connection attempt. */
    void drop_connection();
    void handle_frame(const std::string& frame);
    /** Ends the calls sent on the connection; reconnects for the others. */
    void on_closed();
    /** Removes a pending call and reports its result. */
    void complete(std::int64_t id, const rpc_call_result& answer);

    event_loop& loop_;
    std::string address_;
    timeout_policy timeout_policy_;
    rpc_limits limits_;
    std::unique_ptr<rpc_connection> connection_;
    ACE_HANDLE connecting_ = ACE_INVALID_HANDLE; ///< Of a pending attempt.
    mono_time next_attempt_{};
    millis backoff_{0};
    std::minstd_rand jitter_;
    std::int64_t next_id_ = 1;
    std::map<std::int64_t, pending_call> pending_;
    std::map<std::int64_t, std::string> unsent_; ///< Frames, by call id.
    std::uint64_t late_answers_ = 0;
    std::uint64_t malformed_answers_ = 0; ///< Rejected by their callbacks.
};

} // namespace rattan
