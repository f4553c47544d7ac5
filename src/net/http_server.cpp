#include "net/http_server.hpp"

#include "rattan/error_type.hpp"

#include <ace/Event_Handler.h>
#include <ace/INET_Addr.h>
#include <microhttpd.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cstring>
#include <set>
#include <utility>

namespace rattan {

namespace {

constexpr millis HOUSEKEEPING{1000}; ///< Ends idle connections.
constexpr unsigned SHED_IDLE_S = 1;  ///< Idle so long, a connection ends.

/** One request while it is read, handled and answered. */
struct exchange_state {
    http_request request;
    http_response reply;
    bool too_large = false;
    bool handled = false;
    bool replied = false;
    bool suspended = false;
    bool gone = false; ///< The connection ended before the answer.
    MHD_Connection* connection = nullptr;
};

/** A header's value, or an empty string. */
std::string header(MHD_Connection* connection, const char* name) {
    const char* value =
        MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
    return value != nullptr ? value : "";
}

/** Collects the query's fields. */
MHD_Result add_query(void* target, MHD_ValueKind, const char* name,
                     const char* value) {
    auto* query = static_cast<std::map<std::string, std::string>*>(target);
    (*query)[name] = value != nullptr ? value : "";
    return MHD_YES;
}

/** Sends a finished answer. */
MHD_Result queue_reply(MHD_Connection* connection, const http_response& reply,
                       bool close) {
    MHD_Response* response = MHD_create_response_from_buffer(
        reply.body.size(), const_cast<char*>(reply.body.data()), // NOLINT
        MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, "Content-Type",
                            reply.content_type.c_str());
    if (reply.retry_after_s > 0)
        MHD_add_response_header(response, "Retry-After",
                                std::to_string(reply.retry_after_s).c_str());
    if (!reply.request_id.empty())
        MHD_add_response_header(response, "X-Request-Id",
                                reply.request_id.c_str());
    if (close || reply.close)
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
    const MHD_Result result = MHD_queue_response(
        connection, static_cast<unsigned>(reply.status), response);
    MHD_destroy_response(response);
    return result;
}

} // namespace

class http_server::body : public ACE_Event_Handler {
public:
    body(event_loop& loop, const std::string& address,
         const http_limits& limits, handler handle);
    ~body() override;

    ACE_HANDLE get_handle() const override { return epoll_; }

    int handle_input(ACE_HANDLE) override {
        run_once();
        return 0;
    }

    /** Has the library end connections that have no request. */
    void close_idle_connections();

    size_t in_flight = 0;
    bool draining = false; ///< Connections end with their answers.

private:
    static MHD_Result on_request(void* self, MHD_Connection* connection,
                                 const char* url, const char* method,
                                 const char* version, const char* data,
                                 size_t* data_size, void** state);
    static void on_connection(void* self, MHD_Connection* connection, void**,
                              MHD_ConnectionNotificationCode code);
    static void on_completed(void* self, MHD_Connection* connection,
                             void** state, MHD_RequestTerminationCode code);

    /** Reads the head of a new request. */
    std::shared_ptr<exchange_state>* begin(MHD_Connection* connection,
                                           const char* url, const char* method);
    /** Hands a whole request to the handler. */
    MHD_Result dispatch(const std::shared_ptr<exchange_state>& exchange);
    /** Lets the library go on with an answered connection. */
    void schedule_run();
    /** Handles what is ready. */
    void run_once();

    event_loop& loop_;
    http_limits limits_;
    handler handle_;
    MHD_Daemon* daemon_ = nullptr;
    ACE_HANDLE epoll_ = ACE_INVALID_HANDLE;
    bool run_scheduled_ = false;
    std::set<exchange_state*> suspended_;
    std::set<MHD_Connection*> idle_; ///< Connections without a request.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

http_server::body::body(event_loop& loop, const std::string& address,
                        const http_limits& limits, handler handle)
    : loop_(loop), limits_(limits), handle_(std::move(handle)) {
    const ACE_INET_Addr local(address.c_str());
    sockaddr_in bound{};
    std::memcpy(&bound, local.get_addr(), sizeof bound);
    daemon_ = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr, nullptr,
        &body::on_request, this, MHD_OPTION_SOCK_ADDR,
        reinterpret_cast<sockaddr*>(&bound), MHD_OPTION_CONNECTION_LIMIT,
        limits.connections, MHD_OPTION_PER_IP_CONNECTION_LIMIT,
        limits.connections_per_ip, MHD_OPTION_CONNECTION_TIMEOUT, limits.idle_s,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, limits.connection_bytes,
        MHD_OPTION_NOTIFY_COMPLETED, &body::on_completed, this,
        MHD_OPTION_NOTIFY_CONNECTION, &body::on_connection, this,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
    if (daemon_ == nullptr)
        throw system_error("can't listen on " + address);
    const MHD_DaemonInfo* info =
        MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_EPOLL_FD);
    epoll_ = info->epoll_fd;
    loop_.reactor().register_handler(this, ACE_Event_Handler::READ_MASK);
    loop_.every(HOUSEKEEPING, [this, alive = std::weak_ptr(alive_)] {
        if (!alive.expired())
            run_once();
    });
}

http_server::body::~body() {
    alive_.reset();
    // The library ends the process if it is stopped under suspended ones.
    for (exchange_state* exchange : suspended_) {
        exchange->suspended = false;
        MHD_resume_connection(exchange->connection);
    }
    loop_.reactor().remove_handler(this, ACE_Event_Handler::ALL_EVENTS_MASK |
                                             ACE_Event_Handler::DONT_CALL);
    MHD_stop_daemon(daemon_);
}

std::shared_ptr<exchange_state>*
http_server::body::begin(MHD_Connection* connection, const char* url,
                         const char* method) {
    auto exchange = std::make_shared<exchange_state>();
    exchange->connection = connection;
    exchange->request.method = method;
    exchange->request.path = url;
    exchange->request.authorization =
        header(connection, MHD_HTTP_HEADER_AUTHORIZATION);
    exchange->request.request_id = header(connection, "X-Request-Id");
    std::string host = header(connection, MHD_HTTP_HEADER_HOST);
    exchange->request.host = host.substr(0, host.find(':'));
    for (const std::string& name : limits_.captured_headers)
        exchange->request.headers[name] = header(connection, name.c_str());
    exchange->request.attempt = header(connection, "X-Attempt") == "1" ? 1 : 0;
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &add_query,
                              &exchange->request.query);
    return new std::shared_ptr<exchange_state>(std::move(exchange));
}

MHD_Result http_server::body::on_request(void* self, MHD_Connection* connection,
                                         const char* url, const char* method,
                                         const char*, const char* data,
                                         size_t* data_size, void** state) {
    auto* server = static_cast<body*>(self);
    if (*state == nullptr) {
        server->idle_.erase(connection);
        *state = server->begin(connection, url, method);
        return MHD_YES;
    }
    auto& exchange = *static_cast<std::shared_ptr<exchange_state>*>(*state);
    if (*data_size > 0) {
        std::string& text = exchange->request.body;
        if (text.size() + *data_size > server->limits_.body_bytes)
            exchange->too_large = true;
        else
            text.append(data, *data_size);
        *data_size = 0;
        return MHD_YES;
    }
    if (exchange->replied)
        return queue_reply(connection, exchange->reply, server->draining);
    if (exchange->too_large)
        return queue_reply(
            connection,
            {.status = 413,
             .body = R"({"type":"urn:rattanknot:too-large","status":413})"
                     "\n",
             .content_type = "application/problem+json"},
            true);
    return server->dispatch(exchange);
}

MHD_Result
http_server::body::dispatch(const std::shared_ptr<exchange_state>& exchange) {
    exchange->handled = true;
    ++in_flight;
    handle_(exchange->request, [this, exchange, alive = std::weak_ptr(alive_)](
                                   const http_response& reply) {
        if (alive.expired() || exchange->replied)
            return;
        exchange->replied = true;
        exchange->reply = reply;
        if (!exchange->suspended || exchange->gone)
            return;
        exchange->suspended = false;
        suspended_.erase(exchange.get());
        MHD_resume_connection(exchange->connection);
        schedule_run();
    });
    if (exchange->replied)
        return queue_reply(exchange->connection, exchange->reply, draining);
    exchange->suspended = true;
    suspended_.insert(exchange.get());
    MHD_suspend_connection(exchange->connection);
    return MHD_YES;
}

void http_server::body::schedule_run() {
    if (run_scheduled_)
        return;
    run_scheduled_ = true;
    loop_.defer([this, alive = std::weak_ptr(alive_)] {
        if (alive.expired())
            return;
        run_scheduled_ = false;
        run_once();
    });
}

void http_server::body::run_once() {
    MHD_run(daemon_);
    // Work may be left that no event will announce.
    MHD_UNSIGNED_LONG_LONG wait_ms = 0;
    if (MHD_get_timeout(daemon_, &wait_ms) == MHD_YES && wait_ms == 0)
        schedule_run();
}

void http_server::body::on_connection(void* self, MHD_Connection* connection,
                                      void**,
                                      MHD_ConnectionNotificationCode code) {
    auto& idle = static_cast<body*>(self)->idle_;
    if (code == MHD_CONNECTION_NOTIFY_STARTED)
        idle.insert(connection);
    else
        idle.erase(connection);
}

void http_server::body::close_idle_connections() {
    for (MHD_Connection* connection : idle_)
        MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT,
                                  SHED_IDLE_S);
    run_once();
}

void http_server::body::on_completed(void* self, MHD_Connection* connection,
                                     void** state, MHD_RequestTerminationCode) {
    static_cast<body*>(self)->idle_.insert(connection);
    if (*state == nullptr)
        return;
    auto* exchange = static_cast<std::shared_ptr<exchange_state>*>(*state);
    (*exchange)->gone = true;
    static_cast<body*>(self)->suspended_.erase(exchange->get());
    if ((*exchange)->handled)
        --static_cast<body*>(self)->in_flight;
    delete exchange;
    *state = nullptr;
}

http_server::http_server(event_loop& loop, const std::string& address,
                         const http_limits& limits, handler handle)
    : body_(std::make_unique<body>(loop, address, limits, std::move(handle))) {}

http_server::~http_server() = default;

void http_server::drain() {
    body_->draining = true;
}

void http_server::close_idle_connections() {
    body_->close_idle_connections();
}

size_t http_server::in_flight() const {
    return body_->in_flight;
}

} // namespace rattan
