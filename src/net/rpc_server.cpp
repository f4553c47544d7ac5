#include "net/rpc_server.hpp"

#include "net/thrift_codec.hpp"

#include <ace/INET_Addr.h>

namespace rattan {

namespace {

constexpr int LISTEN_BACKLOG = 128;
/** Period at which the progress of connections is checked. */
constexpr millis PROGRESS_PERIOD{1000};
/** A connection is closed after this number of periods without progress. */
constexpr unsigned MAX_SLOW_PERIODS = 8;
/** The same while the budget or the connections are scarce. */
constexpr unsigned MAX_SLOW_PERIODS_UNDER_PRESSURE = 2;

} // namespace

rpc_server::rpc_server(event_loop& loop, const std::string& address,
                       const rpc_limits& limits)
    : loop_(loop), limits_(limits) {
    const ACE_INET_Addr local(address.c_str());
    if (acceptor_.open(local, 1, PF_INET, LISTEN_BACKLOG) != 0)
        throw system_error("can't listen on " + address);
    acceptor_.enable(ACE_NONBLOCK);
    // Accepted sockets inherit the sizes of the listening socket.
    if (limits_.receive_buffer_bytes > 0)
        acceptor_.set_option(SOL_SOCKET, SO_RCVBUF,
                             &limits_.receive_buffer_bytes, sizeof(int));
    if (limits_.send_buffer_bytes > 0)
        acceptor_.set_option(SOL_SOCKET, SO_SNDBUF, &limits_.send_buffer_bytes,
                             sizeof(int));
    loop_.reactor().register_handler(this, ACE_Event_Handler::ACCEPT_MASK);
    if (limits_.budget == nullptr)
        return;
    loop_.every(PROGRESS_PERIOD, [this, alive = std::weak_ptr(alive_)] {
        if (!alive.expired())
            close_stalled_connections();
    });
}

rpc_server::~rpc_server() {
    loop_.reactor().remove_handler(this, ACE_Event_Handler::ACCEPT_MASK |
                                             ACE_Event_Handler::DONT_CALL);
    acceptor_.close();
}

void rpc_server::on(wire::method::type call, handler handle) {
    handlers_[call] = std::move(handle);
}

int rpc_server::handle_input(ACE_HANDLE) {
    ACE_SOCK_Stream peer;
    if (acceptor_.accept(peer) != 0)
        return 0;
    if (connections_.size() >= limits_.connections) {
        limits_.count("rpc_connections_refused");
        peer.close();
        return 0;
    }
    const std::uint64_t id = next_connection_++;
    auto stream = std::make_unique<rpc_connection>(
        loop_,
        [this, id](const std::string& frame) { handle_frame(id, frame); },
        [this, id] { connections_.erase(id); }, limits_);
    stream->open(peer.get_handle());
    connections_[id] = std::move(stream);
    return 0;
}

void rpc_server::close_stalled_connections() {
    const bool under_pressure =
        connections_.size() >= limits_.connections / 4 * 3 ||
        (limits_.budget->limit() > 0 &&
         limits_.budget->used() >= limits_.budget->limit() / 2);
    for (auto& [id, connection] : connections_) {
        if (connection->check_progress() <
            (under_pressure ? MAX_SLOW_PERIODS_UNDER_PRESSURE
                            : MAX_SLOW_PERIODS))
            continue;
        limits_.count("rpc_without_progress");
        connection->fail();
    }
}

void rpc_server::handle_frame(std::uint64_t connection,
                              const std::string& frame) {
    wire::envelope request;
    try {
        request = wire_decode<wire::envelope>(frame);
    } catch (const decode_error&) {
        loop_.defer([this, connection] { connections_.erase(connection); });
        return;
    }
    const std::weak_ptr<bool> alive = alive_;
    responder answer = [this, alive, connection, request](
                           wire::status::type code, const std::string& body) {
        if (alive.expired())
            return;
        const auto found = connections_.find(connection);
        if (found == connections_.end())
            return;
        wire::envelope reply;
        reply.id = request.id;
        reply.call = request.call;
        reply.reply = true;
        reply.code = code;
        reply.body = body;
        found->second->send(wire_encode(reply));
    };
    const auto handler = handlers_.find(request.call);
    if (handler == handlers_.end())
        return answer(wire::status::BAD_REQUEST, "");
    try {
        handler->second(request.body, answer);
    } catch (const decode_error&) {
        answer(wire::status::BAD_REQUEST, "");
    }
}

} // namespace rattan
