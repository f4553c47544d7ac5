/** @file RPC server for calls from other processes of the system. */
#pragma once

#include "net/event_loop.hpp"
#include "net/rpc_connection.hpp"

#include <rattan_types.h>

#include <ace/SOCK_Acceptor.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace rattan {

/** Accepts connections and passes each call to the handler of its method. */
class rpc_server : public ACE_Event_Handler {
public:
    /** Sends the answer; to be called once, now or later. */
    using responder =
        std::function<void(wire::status::type code, const std::string& body)>;
    /** Handles a call; throws `decode_error` if the body is malformed. */
    using handler =
        std::function<void(const std::string& body, responder answer)>;

    /**
     * @param address IP and port, as in `127.0.0.1:7000`.
     * @throw system_error if the server can't listen on the address.
     */
    rpc_server(event_loop& loop, const std::string& address,
               const rpc_limits& limits = {});
    ~rpc_server() override;

    /** Sets the handler of a method. */
    void on(wire::method::type call, handler handle);

    ACE_HANDLE get_handle() const override { return acceptor_.get_handle(); }
    int handle_input(ACE_HANDLE) override;

private:
    /** Decodes one call and passes it to its handler. */
    void handle_frame(std::uint64_t connection, const std::string& frame);

    /** Closes connections on which too few bytes move. */
    void close_stalled_connections();

    event_loop& loop_;
    rpc_limits limits_;
    ACE_SOCK_Acceptor acceptor_;
    std::map<wire::method::type, handler> handlers_;
    std::map<std::uint64_t, std::unique_ptr<rpc_connection>> connections_;
    std::uint64_t next_connection_ = 1;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace rattan
