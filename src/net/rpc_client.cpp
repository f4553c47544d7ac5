#include "net/rpc_client.hpp"

#include "net/thrift_codec.hpp"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Connector.h>

#include <algorithm>
#include <utility>

namespace rattan {

namespace {

constexpr millis MIN_BACKOFF{50};
constexpr millis MAX_BACKOFF{2000};

} // namespace

rpc_client::rpc_client(event_loop& loop, std::string address,
                       timeout_policy timeouts, const rpc_limits& limits)
    : loop_(loop), address_(std::move(address)), timeout_policy_(timeouts),
      limits_(limits),
      jitter_(std::hash<std::string>()(address_) + std::random_device()()) {}

rpc_client::~rpc_client() {
    for (auto& [id, waiting] : pending_)
        loop_.cancel(waiting.timer);
    if (connecting_ != ACE_INVALID_HANDLE) {
        loop_.reactor().remove_handler(this,
                                       ACE_Event_Handler::ALL_EVENTS_MASK |
                                           ACE_Event_Handler::DONT_CALL);
        ACE_OS::closesocket(connecting_);
    }
}

void rpc_client::call(wire::method::type method, const std::string& body,
                      millis timeout, callback done) {
    wire::envelope request;
    request.id = next_id_++;
    request.call = method;
    request.reply = false;
    request.code = wire::status::OK;
    request.body = body;
    const std::int64_t id = request.id;
    const long timer = loop_.after(timeout, [this, id] {
        const bool sent = unsent_.erase(id) == 0;
        complete(id, {.outcome =
                          sent ? rpc_outcome::unknown : rpc_outcome::not_sent});
        if (timeout_policy_ == timeout_policy::reconnect)
            drop_connection();
    });
    pending_[id] = {std::move(done), timer};
    if (connection_ && connection_->is_open()) {
        connection_->send(wire_encode(request));
        return;
    }
    unsent_[id] = wire_encode(request);
    connect();
}

void rpc_client::connect() {
    if (connecting_ != ACE_INVALID_HANDLE || connection_)
        return;
    if (event_loop::now() < next_attempt_) {
        // During the back-off calls fail at once instead of waiting.
        loop_.defer([this] { on_connect_failed(); });
        return;
    }
    ACE_SOCK_Stream peer;
    ACE_SOCK_Connector connector;
    const ACE_INET_Addr remote(address_.c_str());
    const ACE_Time_Value no_wait(0, 0);
    const int result = connector.connect(peer, remote, &no_wait);
    connecting_ = peer.get_handle();
    if (result == 0)
        return on_connected();
    if (errno != EWOULDBLOCK && errno != EINPROGRESS && errno != ETIME) {
        if (connecting_ != ACE_INVALID_HANDLE)
            ACE_OS::closesocket(connecting_);
        connecting_ = ACE_INVALID_HANDLE;
        loop_.defer([this] { on_connect_failed(); });
        return;
    }
    loop_.reactor().register_handler(this, ACE_Event_Handler::WRITE_MASK |
                                               ACE_Event_Handler::READ_MASK);
}

int rpc_client::handle_input(ACE_HANDLE handle) {
    return handle_output(handle);
}

int rpc_client::handle_output(ACE_HANDLE) {
    if (connecting_ == ACE_INVALID_HANDLE)
        return 0;
    loop_.reactor().remove_handler(this, ACE_Event_Handler::ALL_EVENTS_MASK |
                                             ACE_Event_Handler::DONT_CALL);
    int failure = 0;
    int length = sizeof failure;
    ACE_OS::getsockopt(connecting_, SOL_SOCKET, SO_ERROR,
                       reinterpret_cast<char*>(&failure), &length);
    if (failure == 0) {
        on_connected();
        return 0;
    }
    ACE_OS::closesocket(connecting_);
    connecting_ = ACE_INVALID_HANDLE;
    on_connect_failed();
    return 0;
}

void rpc_client::on_connected() {
    const ACE_HANDLE handle = connecting_;
    connecting_ = ACE_INVALID_HANDLE;
    backoff_ = millis(0);
    connection_ = std::make_unique<rpc_connection>(
        loop_, [this](const std::string& frame) { handle_frame(frame); },
        [this] { on_closed(); }, limits_);
    connection_->open(handle);
    const auto waiting = std::exchange(unsent_, {});
    for (const auto& [id, frame] : waiting)
        connection_->send(frame);
}

void rpc_client::on_connect_failed() {
    if (connection_ || connecting_ != ACE_INVALID_HANDLE)
        return;
    if (event_loop::now() >= next_attempt_) {
        backoff_ = std::clamp(backoff_ * 2, MIN_BACKOFF, MAX_BACKOFF);
        const auto spread = static_cast<std::int64_t>(
            jitter_() % static_cast<unsigned>(backoff_.count()));
        next_attempt_ = event_loop::now() + millis(spread);
    }
    const auto waiting = std::exchange(unsent_, {});
    for (const auto& [id, frame] : waiting)
        complete(id, {.outcome = rpc_outcome::not_sent});
}

void rpc_client::drop_connection() {
    if (connecting_ != ACE_INVALID_HANDLE) {
        loop_.reactor().remove_handler(this,
                                       ACE_Event_Handler::ALL_EVENTS_MASK |
                                           ACE_Event_Handler::DONT_CALL);
        ACE_OS::closesocket(connecting_);
        connecting_ = ACE_INVALID_HANDLE;
        on_connect_failed();
    } else if (connection_ && connection_->is_open()) {
        connection_->close();
        on_closed();
    }
}

void rpc_client::on_closed() {
    connection_.reset();
    std::vector<std::int64_t> lost;
    for (const auto& [id, waiting] : pending_)
        if (!unsent_.contains(id))
            lost.push_back(id);
    for (const std::int64_t id : lost)
        complete(id, {.outcome = rpc_outcome::unknown});
    if (!unsent_.empty())
        connect();
}

void rpc_client::handle_frame(const std::string& frame) {
    wire::envelope reply;
    try {
        reply = wire_decode<wire::envelope>(frame);
    } catch (const decode_error&) {
        connection_->close();
        loop_.defer([this] { on_closed(); });
        return;
    }
    if (!pending_.contains(reply.id)) {
        ++late_answers_;
        return;
    }
    complete(reply.id, {.outcome = rpc_outcome::answered,
                        .code = reply.code,
                        .body = std::move(reply.body)});
}

void rpc_client::complete(std::int64_t id, const rpc_call_result& answer) {
    const auto found = pending_.find(id);
    if (found == pending_.end())
        return;
    const pending_call ended = std::move(found->second);
    pending_.erase(found);
    loop_.cancel(ended.timer);
    try {
        ended.done(answer);
    } catch (const decode_error&) {
        ++malformed_answers_;
    }
}

} // namespace rattan
