/** @file Answers calls of the system's other processes. */
#pragma once

#include "net/event_loop.hpp"
#include "net/rpc_stream.hpp"

#include <rattan_types.h>

#include <ace/SOCK_Acceptor.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace rattan {

/** Accepts connections and hands each call to its handler. */
class rpc_server : public ACE_Event_Handler {
public:
    /** Sends the answer; may be called later, once. */
    using responder =
        std::function<void(wire::status::type code, const std::string& body)>;
    /** Handles a call; throws `decode_error` on a malformed body. */
    using handler =
        std::function<void(const std::string& body, responder answer)>;

    /**
     * Listens.
     * @param address IP and port, as in `127.0.0.1:7000`.
     * @throw system_error when the address can't be had.
     */
    rpc_server(event_loop& loop, const std::string& address);
    ~rpc_server() override;

    /** Sets the handler of a method. */
    void on(wire::method::type call, handler handle);

    ACE_HANDLE get_handle() const override { return acceptor_.get_handle(); }
    int handle_input(ACE_HANDLE) override;

private:
    /** Decodes and handles one call. */
    void take_frame(std::uint64_t connection, const std::string& frame);

    event_loop& loop_;
    ACE_SOCK_Acceptor acceptor_;
    std::map<wire::method::type, handler> handlers_;
    std::map<std::uint64_t, std::unique_ptr<rpc_stream>> connections_;
    std::uint64_t next_connection_ = 1;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace rattan
