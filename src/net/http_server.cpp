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

/** Period at which the library closes connections that timed out. */
constexpr millis IDLE_CHECK_PERIOD{1000};
/** Timeout that `close_idle_connections` sets. */
constexpr unsigned IDLE_CLOSE_TIMEOUT_S = 1;

/** State of one request from its headers to the end of its response. */
struct exchange_state {
    http_request request;
    http_response response;
    bool body_too_large = false;
    bool dispatched = false;
    bool answered = false;
    bool suspended = false;
    bool completed = false; ///< The library has ended the request.
    MHD_Connection* connection = nullptr;
};

/** A header's value, or an empty string. */
std::string header_value(MHD_Connection* connection, const char* name) {
    const char* value =
        MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
    return value != nullptr ? value : "";
}

/** Adds one query argument to a map. */
MHD_Result add_query_argument(void* target, MHD_ValueKind, const char* name,
                              const char* value) {
    auto* query = static_cast<std::map<std::string, std::string>*>(target);
    (*query)[name] = value != nullptr ? value : "";
    return MHD_YES;
}

/** Queues a response for sending. @param close Closes the connection after. */
MHD_Result queue_response(MHD_Connection* connection,
                          const http_response& response, bool close) {
    MHD_Response* mhd_response = MHD_create_response_from_buffer(
        response.body.size(), const_cast<char*>(response.body.data()), // NOLINT
        MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(mhd_response, "Content-Type",
                            response.content_type.c_str());
    if (response.retry_after_s > 0)
        MHD_add_response_header(mhd_response, "Retry-After",
                                std::to_string(response.retry_after_s).c_str());
    if (!response.request_id.empty())
        MHD_add_response_header(mhd_response, "X-Request-Id",
                                response.request_id.c_str());
    if (close || response.close)
        MHD_add_response_header(mhd_response, MHD_HTTP_HEADER_CONNECTION,
                                "close");
    const MHD_Result result = MHD_queue_response(
        connection, static_cast<unsigned>(response.status), mhd_response);
    MHD_destroy_response(mhd_response);
    return result;
}

} // namespace

class http_server::impl : public ACE_Event_Handler {
public:
    impl(event_loop& loop, const std::string& address,
         const http_limits& limits, handler handle);
    ~impl() override;

    ACE_HANDLE get_handle() const override { return epoll_; }

    int handle_input(ACE_HANDLE) override {
        run_once();
        return 0;
    }

    /** Shortens the timeout of the connections without a request. */
    void close_idle_connections();

    size_t in_flight = 0;
    bool draining = false; ///< Close each connection after its response.

private:
    static MHD_Result on_request(void* self, MHD_Connection* connection,
                                 const char* url, const char* method,
                                 const char* version, const char* data,
                                 size_t* data_size, void** state);
    static void on_connection(void* self, MHD_Connection* connection, void**,
                              MHD_ConnectionNotificationCode code);
    static void on_completed(void* self, MHD_Connection* connection,
                             void** state, MHD_RequestTerminationCode code);

    /** Creates the state of a new request from its headers. */
    std::shared_ptr<exchange_state>* begin_request(MHD_Connection* connection,
                                                   const char* url,
                                                   const char* method);
    /** Passes a complete request to the handler. */
    MHD_Result dispatch(const std::shared_ptr<exchange_state>& exchange);
    /** Defers a call of `run_once`, unless one is pending. */
    void schedule_run();
    /** Lets the library handle its pending events and timeouts. */
    void run_once();

    event_loop& loop_;
    http_limits limits_;
    handler handle_;
    MHD_Daemon* daemon_ = nullptr;
    ACE_HANDLE epoll_ = ACE_INVALID_HANDLE;
    bool run_scheduled_ = false;
    std::set<exchange_state*> suspended_;
    /** Connections without a request in progress. */
    std::set<MHD_Connection*> idle_connections_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

http_server::impl::impl(event_loop& loop, const std::string& address,
                        const http_limits& limits, handler handle)
    : loop_(loop), limits_(limits), handle_(std::move(handle)) {
    const ACE_INET_Addr local(address.c_str());
    sockaddr_in bound{};
    std::memcpy(&bound, local.get_addr(), sizeof bound);
    daemon_ = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr, nullptr,
        &impl::on_request, this, MHD_OPTION_SOCK_ADDR,
        reinterpret_cast<sockaddr*>(&bound), MHD_OPTION_CONNECTION_LIMIT,
        limits.connections, MHD_OPTION_PER_IP_CONNECTION_LIMIT,
        limits.connections_per_ip, MHD_OPTION_CONNECTION_TIMEOUT, limits.idle_s,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, limits.connection_bytes,
        MHD_OPTION_NOTIFY_COMPLETED, &impl::on_completed, this,
        MHD_OPTION_NOTIFY_CONNECTION, &impl::on_connection, this,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
    if (daemon_ == nullptr)
        throw system_error("can't listen on " + address);
    const MHD_DaemonInfo* info =
        MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_EPOLL_FD);
    epoll_ = info->epoll_fd;
    loop_.reactor().register_handler(this, ACE_Event_Handler::READ_MASK);
    loop_.every(IDLE_CHECK_PERIOD, [this, alive = std::weak_ptr(alive_)] {
        if (!alive.expired())
            run_once();
    });
}

http_server::impl::~impl() {
    alive_.reset();
    // MHD_stop_daemon aborts the process if a connection is suspended.
    for (exchange_state* exchange : suspended_) {
        exchange->suspended = false;
        MHD_resume_connection(exchange->connection);
    }
    loop_.reactor().remove_handler(this, ACE_Event_Handler::ALL_EVENTS_MASK |
                                             ACE_Event_Handler::DONT_CALL);
    MHD_stop_daemon(daemon_);
}

std::shared_ptr<exchange_state>*
http_server::impl::begin_request(MHD_Connection* connection, const char* url,
                                 const char* method) {
    auto exchange = std::make_shared<exchange_state>();
    exchange->connection = connection;
    exchange->request.method = method;
    exchange->request.path = url;
    exchange->request.authorization =
        header_value(connection, MHD_HTTP_HEADER_AUTHORIZATION);
    exchange->request.request_id = header_value(connection, "X-Request-Id");
    std::string host = header_value(connection, MHD_HTTP_HEADER_HOST);
    exchange->request.host = host.substr(0, host.find(':'));
    for (const std::string& name : limits_.captured_headers)
        exchange->request.headers[name] =
            header_value(connection, name.c_str());
    exchange->request.attempt =
        header_value(connection, "X-Attempt") == "1" ? 1 : 0;
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND,
                              &add_query_argument, &exchange->request.query);
    return new std::shared_ptr<exchange_state>(std::move(exchange));
}

MHD_Result http_server::impl::on_request(void* self, MHD_Connection* connection,
                                         const char* url, const char* method,
                                         const char*, const char* data,
                                         size_t* data_size, void** state) {
    auto* server = static_cast<impl*>(self);
    if (*state == nullptr) {
        server->idle_connections_.erase(connection);
        *state = server->begin_request(connection, url, method);
        return MHD_YES;
    }
    auto& exchange = *static_cast<std::shared_ptr<exchange_state>*>(*state);
    if (*data_size > 0) {
        std::string& received = exchange->request.body;
        if (received.size() + *data_size > server->limits_.body_bytes)
            exchange->body_too_large = true;
        else
            received.append(data, *data_size);
        *data_size = 0;
        return MHD_YES;
    }
    if (exchange->answered)
        return queue_response(connection, exchange->response, server->draining);
    if (exchange->body_too_large)
        return queue_response(
            connection,
            {.status = 413,
             .body = R"({"type":"urn:rattanknot:too-large","status":413})"
                     "\n",
             .content_type = "application/problem+json"},
            true);
    return server->dispatch(exchange);
}

MHD_Result
http_server::impl::dispatch(const std::shared_ptr<exchange_state>& exchange) {
    exchange->dispatched = true;
    ++in_flight;
    handle_(exchange->request, [this, exchange, alive = std::weak_ptr(alive_)](
                                   const http_response& response) {
        if (alive.expired() || exchange->answered)
            return;
        exchange->answered = true;
        exchange->response = response;
        if (!exchange->suspended || exchange->completed)
            return;
        exchange->suspended = false;
        suspended_.erase(exchange.get());
        MHD_resume_connection(exchange->connection);
        schedule_run();
    });
    if (exchange->answered)
        return queue_response(exchange->connection, exchange->response,
                              draining);
    exchange->suspended = true;
    suspended_.insert(exchange.get());
    MHD_suspend_connection(exchange->connection);
    return MHD_YES;
}

void http_server::impl::schedule_run() {
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

void http_server::impl::run_once() {
    MHD_run(daemon_);
    // A timeout of 0 means pending work for which no event will arrive.
    MHD_UNSIGNED_LONG_LONG wait_ms = 0;
    if (MHD_get_timeout(daemon_, &wait_ms) == MHD_YES && wait_ms == 0)
        schedule_run();
}

void http_server::impl::on_connection(void* self, MHD_Connection* connection,
                                      void**,
                                      MHD_ConnectionNotificationCode code) {
    auto& idle = static_cast<impl*>(self)->idle_connections_;
    if (code == MHD_CONNECTION_NOTIFY_STARTED)
        idle.insert(connection);
    else
        idle.erase(connection);
}

void http_server::impl::close_idle_connections() {
    for (MHD_Connection* connection : idle_connections_)
        MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT,
                                  IDLE_CLOSE_TIMEOUT_S);
    run_once();
}

void http_server::impl::on_completed(void* self, MHD_Connection* connection,
                                     void** state, MHD_RequestTerminationCode) {
    static_cast<impl*>(self)->idle_connections_.insert(connection);
    if (*state == nullptr)
        return;
    auto* exchange = static_cast<std::shared_ptr<exchange_state>*>(*state);
    (*exchange)->completed = true;
    static_cast<impl*>(self)->suspended_.erase(exchange->get());
    if ((*exchange)->dispatched)
        --static_cast<impl*>(self)->in_flight;
    delete exchange;
    *state = nullptr;
}

http_server::http_server(event_loop& loop, const std::string& address,
                         const http_limits& limits, handler handle)
    : impl_(std::make_unique<impl>(loop, address, limits, std::move(handle))) {}

http_server::~http_server() = default;

void http_server::drain() {
    impl_->draining = true;
}

void http_server::close_idle_connections() {
    impl_->close_idle_connections();
}

size_t http_server::in_flight() const {
    return impl_->in_flight;
}

} // namespace rattan
