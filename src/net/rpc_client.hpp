/** @file Calls to one other process of the system. */
#pragma once

#include "net/event_loop.hpp"
#include "net/rpc_stream.hpp"

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
    answered, ///< The peer answered; see the code.
    not_sent, ///< No byte of it left this process.
    unknown,  ///< It may have taken effect.
};

/** The answer to a call, or why there is none. */
struct rpc_call_result {
    rpc_outcome outcome = rpc_outcome::not_sent;
    wire::status::type code = wire::status::UNAVAILABLE;
    std::string body;

    /** Tells whether the peer did what was asked. */
    [[nodiscard]] bool ok() const {
        return outcome == rpc_outcome::answered && code == wire::status::OK;
    }
};

/** What a call without an answer says about the connection. */
enum class timeout_policy {
    keep_connection, ///< The peer may just be slow with this call.
    reconnect,       ///< The connection may have gone silent for good.
};

/** Keeps one connection, reconnects after a delay, matches answers by id. */
class rpc_client : public ACE_Event_Handler {
public:
    using callback = std::function<void(const rpc_call_result&)>;

    /** @param address IP and port of the peer. */
    rpc_client(event_loop& loop, std::string address,
               timeout_policy timeouts = timeout_policy::keep_connection);
    ~rpc_client() override;

    /**
     * Sends a call.
     * @param timeout The answer counts as lost after this.
     * @param done Called once, never from within this function.
     */
    void call(wire::method::type method, const std::string& body,
              millis timeout, callback done);

    [[nodiscard]] const std::string& address() const { return address_; }

    /** Lets the next call connect at once, whatever failed before. */
    void reset_backoff() { next_attempt_ = {}; }
    /** Gives up the connection; calls without an answer end now. */
    void reset() {
        drop_connection();
        reset_backoff();
    }

    /** Answers that came when nobody waited for them any more. */
    [[nodiscard]] std::uint64_t late_answers() const { return late_; }

    int handle_output(ACE_HANDLE handle) override;
    int handle_input(ACE_HANDLE handle) override;
    ACE_HANDLE get_handle() const override { return connecting_; }

private:
    struct pending_call {
        callback done;
        long timer = 0;
    };

    /** Begins to connect when neither connected nor waiting to be. */
    void connect();
    /** Reacts to the end of a connection attempt. */
    void connected();
    void connect_failed();
    /** Gives up the connection, or the attempt, under a lost answer. */
    void drop_connection();
    void take_frame(const std::string& frame);
    void closed();
    void finish(std::int64_t id, const rpc_call_result& answer);

    event_loop& loop_;
    std::string address_;
    timeout_policy timeouts_;
    std::unique_ptr<rpc_stream> stream_;
    ACE_HANDLE connecting_ = ACE_INVALID_HANDLE;
    mono_time next_attempt_{};
    millis backoff_{0};
    std::minstd_rand jitter_;
    std::int64_t next_id_ = 1;
    std::map<std::int64_t, pending_call> pending_;
    std::map<std::int64_t, std::string> unsent_; ///< Until connected.
    std::uint64_t late_ = 0;
    std::uint64_t malformed_ = 0; ///< Answers that could not be read.
};

} // namespace rattan
