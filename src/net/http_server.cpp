#include "net/http_server.hpp"

#include "base/log_func.hpp"
#include "net/budget_claim.hpp"
#include "net/lingering_sockets.hpp"
#include "net/progress_check.hpp"
#include "net/tcp_progress_func.hpp"
#include "rattan/error_type.hpp"

#include <ace/Event_Handler.h>
#include <ace/INET_Addr.h>
#include <microhttpd.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <set>
#include <unordered_map>
#include <utility>

namespace rattan {

namespace {

/** Period at which the library closes connections that timed out. */
constexpr millis IDLE_CHECK_PERIOD{1000};
/** Timeout that `close_idle_connections` sets. */
constexpr unsigned IDLE_CLOSE_TIMEOUT_S = 1;

/** Period at which the progress of connections is checked. */
constexpr millis PROGRESS_PERIOD{1000};
/** A connection is closed after this number of periods without progress. */
constexpr unsigned MAX_SLOW_PERIODS = 8;
/** The same while requests are refused or connections are scarce. */
constexpr unsigned MAX_SLOW_PERIODS_UNDER_PRESSURE = 2;
/** A client's silent connection is kept this long at the limit. */
constexpr unsigned MAX_IDLE_PERIODS_AT_LIMIT = 5;
/** Connections are scarce from three quarters of their limit on. */
constexpr size_t SCARCE_NUMERATOR = 3;
constexpr size_t SCARCE_DENOMINATOR = 4;
/** From seven eighths of their limit on, connections make room for others. */
constexpr size_t SHED_NUMERATOR = 7;
constexpr size_t SHED_DENOMINATOR = 8;
/** Connections are kept for this long in one phase of a request. */
constexpr millis MIN_SHED_AGE{250};
/**
 * While bodies are refused over the budget, a request may take this long to
 * arrive: the largest body does over a slow link.
 */
constexpr millis MAX_RECEIVE_AGE{1000};
/** Period at which connections are closed while they are too many. */
constexpr millis SHED_PERIOD{50};
/** An older connection is closed after a response while they are too many. */
constexpr millis MAX_AGE_AT_LIMIT{1000};
/** After a refusal, slow connections are closed early for this time. */
constexpr millis PRESSURE_TIME{3000};
constexpr int RETRY_AFTER_S = 1;
/** Between two log lines about the same limit. */
constexpr millis LIMIT_LOG_PERIOD{10'000};

/** State of one request from its headers to the end of its response. */
struct exchange_state {
    explicit exchange_state(caller_budget* budget) : claim(budget) {}

    http_request request;
    budget_claim claim; ///< Counts the capacity of the body.
    http_response response;
    bool may_be_refused = false; ///< A lost answer has no effect.
    bool body_too_large = false;
    bool refused = false; ///< The connection is closed without a handler.
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

/** Value of a `Content-Length` header; 0 if it is missing. */
size_t declared_length(MHD_Connection* connection) {
    const std::string text =
        header_value(connection, MHD_HTTP_HEADER_CONTENT_LENGTH);
    size_t length = 0;
    // The library has refused a value that is not a number.
    std::from_chars(text.data(), text.data() + text.size(), length);
    return length;
}

int socket_of(MHD_Connection* connection) {
    return MHD_get_connection_info(connection,
                                   MHD_CONNECTION_INFO_CONNECTION_FD)
        ->connect_fd;
}

http_response too_large_response() {
    return {.status = 413,
            .body = R"({"type":"urn:rattanknot:too-large","status":413})"
                    "\n",
            .content_type = "application/problem+json"};
}

http_response over_budget_response() {
    return {.status = 503,
            .body = R"({"type":"urn:rattanknot:busy","status":503})"
                    "\n",
            .content_type = "application/problem+json",
            .retry_after_s = RETRY_AFTER_S};
}

/** Encodes a response after which the connection is closed. */
std::string encode_last_response(const http_response& response) {
    std::string text =
        "HTTP/1.1 " + std::to_string(response.status) +
        (response.status == 413 ? " Content Too Large"
                                : " Service Unavailable") +
        "\r\nContent-Type: " + response.content_type +
        "\r\nContent-Length: " + std::to_string(response.body.size()) +
        "\r\nConnection: close\r\n";
    if (response.retry_after_s > 0)
        text +=
            "Retry-After: " + std::to_string(response.retry_after_s) + "\r\n";
    return text + "\r\n" + response.body;
}

/** State of one connection. */
struct connection_state {
    progress_check progress;
    bool served = false;    ///< A request has been completed.
    bool suspended = false; ///< The handler has not answered yet.
    bool refused = false;   ///< Its peer may still be sending.
    bool receiving = false; ///< A request is not complete.
    bool closing = false;   ///< The library has not closed it yet.
    mono_time opened_at{};
    /** Begin of its phase: idle, receiving, processing or sending. */
    mono_time phase_since{};
};

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

    void set_body_limit(size_t bytes) { limits_.body_bytes = bytes; }

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
    /** Queues the handler's response if the budget has room for it. */
    MHD_Result respond(exchange_state& exchange);
    /** Checks a body's declared length. @return Status to refuse it, or 0. */
    int check_declared(MHD_Connection* connection, exchange_state& exchange);
    /** Appends to a body. @return `MHD_NO` if the request is refused. */
    MHD_Result receive(exchange_state& exchange, const char* data, size_t size);
    /** Notes a refusal in the metrics and the state of the connection. */
    void note_refusal(MHD_Connection* connection, int status);
    /** Closes connections on which too few bytes move. */
    void close_stalled_connections();
    /** Connections beyond this number make room for others. */
    [[nodiscard]] size_t shed_limit() const {
        return limits_.connections * SHED_NUMERATOR / SHED_DENOMINATOR;
    }
    /**
     * Closes the connections that have been longest in their phase, but never
     * while their requests are processed, so that new clients are accepted
     * whatever the others do.
     */
    void shed_connections();
    /** Closes requests that arrive slowly while others are refused for them. */
    void shed_receiving(mono_time now);
    /** Calls `shed_connections` soon, unless a call is due. */
    void schedule_shed(millis delay);
    /** Tells whether a connection is closed after its next response. */
    [[nodiscard]] bool closes_after_response(MHD_Connection* connection);
    /** Logs that a limit is in effect, at most once in `LIMIT_LOG_PERIOD`. */
    void log_limit(const char* name, size_t limit, mono_time& logged_at);
    /** Closes a connection without a response. */
    void close_connection(MHD_Connection* connection, connection_state& state);
    void count(const char* metric) {
        if (limits_.metrics != nullptr)
            ++limits_.metrics->counter(metric);
    }

    /** Defers a call of `run_once`, unless one is pending. */
    void schedule_run();
    /** Lets the library handle its pending events and timeouts. */
    void run_once();

    event_loop& loop_;
    std::string address_;
    http_limits limits_;
    handler handle_;
    MHD_Daemon* daemon_ = nullptr;
    ACE_HANDLE epoll_ = ACE_INVALID_HANDLE;
    bool run_scheduled_ = false;
    std::set<exchange_state*> suspended_;
    /** Connections without a request in progress. */
    std::set<MHD_Connection*> idle_connections_;
    std::unordered_map<MHD_Connection*, connection_state> connections_;
    lingering_sockets lingering_;
    bool shed_scheduled_ = false;
    mono_time connections_logged_at_{};
    mono_time budget_logged_at_{};
    mono_time refused_at_{}; ///< When the budget was last exhausted.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

http_server::impl::impl(event_loop& loop, const std::string& address,
                        const http_limits& limits, handler handle)
    : loop_(loop), address_(address), limits_(limits),
      handle_(std::move(handle)), lingering_(loop) {
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
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_LISTEN_BACKLOG_SIZE,
        limits.backlog > 0 ? limits.backlog : unsigned{SOMAXCONN},
        MHD_OPTION_END);
    if (daemon_ == nullptr)
        throw system_error("can't listen on " + address);
    // Accepted sockets inherit the sizes of the listening socket.
    const int listener =
        MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_LISTEN_FD)->listen_fd;
    if (limits.receive_buffer_bytes > 0)
        setsockopt(listener, SOL_SOCKET, SO_RCVBUF,
                   &limits.receive_buffer_bytes, sizeof(int));
    if (limits.send_buffer_bytes > 0)
        setsockopt(listener, SOL_SOCKET, SO_SNDBUF, &limits.send_buffer_bytes,
                   sizeof(int));
    const MHD_DaemonInfo* info =
        MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_EPOLL_FD);
    epoll_ = info->epoll_fd;
    loop_.reactor().register_handler(this, ACE_Event_Handler::READ_MASK);
    loop_.every(IDLE_CHECK_PERIOD, [this, alive = std::weak_ptr(alive_)] {
        if (!alive.expired())
            run_once();
    });
    if (limits.budget == nullptr)
        return;
    loop_.every(PROGRESS_PERIOD, [this, alive = std::weak_ptr(alive_)] {
        if (!alive.expired())
            close_stalled_connections();
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
    auto exchange = std::make_shared<exchange_state>(limits_.budget);
    exchange->connection = connection;
    exchange->request.method = method;
    exchange->may_be_refused = exchange->request.method == MHD_HTTP_METHOD_GET;
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
        connection_state& at = server->connections_[connection];
        at.progress.reset();
        at.phase_since = event_loop::now();
        at.receiving = true;
        auto* begun = server->begin_request(connection, url, method);
        *state = begun;
        const int refusal = server->check_declared(connection, **begun);
        if (refusal == 0)
            return MHD_YES;
        server->note_refusal(connection, refusal);
        // The library closes the connection without reading the body.
        return queue_response(connection,
                              refusal == 413 ? too_large_response()
                                             : over_budget_response(),
                              true);
    }
    auto& exchange = *static_cast<std::shared_ptr<exchange_state>*>(*state);
    if (*data_size > 0 && server->limits_.budget != nullptr) {
        const size_t size = std::exchange(*data_size, 0);
        return server->receive(*exchange, data, size);
    }
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
        return server->respond(*exchange);
    if (exchange->body_too_large)
        return queue_response(connection, too_large_response(), true);
    return server->dispatch(exchange);
}

MHD_Result http_server::impl::respond(exchange_state& exchange) {
    const http_response response = std::exchange(exchange.response, {});
    // The library copies the body, which remains until the client has read it.
    const std::size_t bytes = response.body.size();
    const bool close = closes_after_response(exchange.connection);
    if (limits_.budget == nullptr || !exchange.may_be_refused ||
        bytes <= caller_budget::SMALL_BYTES ||
        exchange.claim.grow(exchange.claim.bytes() + bytes))
        return queue_response(exchange.connection, response, close);
    count("refused_over_budget");
    return queue_response(exchange.connection, over_budget_response(), true);
}

int http_server::impl::check_declared(MHD_Connection* connection,
                                      exchange_state& exchange) {
    if (limits_.budget == nullptr)
        return 0;
    const size_t declared = declared_length(connection);
    if (declared > limits_.body_bytes)
        return 413;
    return exchange.claim.reserve(exchange.request.body, declared) ? 0 : 503;
}

MHD_Result http_server::impl::receive(exchange_state& exchange,
                                      const char* data, size_t size) {
    if (exchange.refused)
        return MHD_NO;
    std::string& body = exchange.request.body;
    int refusal = 0;
    if (body.size() + size > limits_.body_bytes)
        refusal = 413;
    else if (!exchange.claim.append(body, data, size, limits_.body_bytes))
        refusal = 503;
    else
        return MHD_YES;
    exchange.refused = true;
    std::string().swap(body);
    exchange.claim.shrink(0);
    note_refusal(exchange.connection, refusal);
    // The library takes no response until the body has been read, which may
    // never happen. It has sent none either, so this one is the first.
    const std::string response = encode_last_response(
        refusal == 413 ? too_large_response() : over_budget_response());
    send(socket_of(exchange.connection), response.data(), response.size(),
         MSG_DONTWAIT | MSG_NOSIGNAL);
    return MHD_NO;
}

void http_server::impl::note_refusal(MHD_Connection* connection, int status) {
    connections_[connection].refused = true;
    connections_[connection].receiving = false;
    if (status == 503) {
        refused_at_ = event_loop::now();
        schedule_shed(SHED_PERIOD);
        log_limit("request_memory_limit_reached", limits_.budget->limit(),
                  budget_logged_at_);
    }
    count(status == 413 ? "refused_body_too_large" : "refused_over_budget");
}

void http_server::impl::close_stalled_connections() {
    const bool scarce = connections_.size() * SCARCE_DENOMINATOR >=
                        limits_.connections * SCARCE_NUMERATOR;
    const bool under_pressure =
        scarce || event_loop::now() - refused_at_ < PRESSURE_TIME;
    const unsigned max_periods =
        under_pressure ? MAX_SLOW_PERIODS_UNDER_PRESSURE : MAX_SLOW_PERIODS;
    const bool at_limit = connections_.size() >= limits_.connections;
    if (at_limit)
        count("seconds_at_connection_limit");
    bool closed = false;
    for (auto& [connection, state] : connections_) {
        const int handle = socket_of(connection);
        state.progress.check(tcp_bytes_moved(handle));
        const bool silent =
            idle_connections_.contains(connection) && !state.progress.moved();
        if (state.suspended || (silent && !under_pressure))
            state.progress.reset();
        // A client may keep its connection between two requests until the
        // idle timeout, unless nobody else can connect.
        const bool kept = silent && state.served;
        if (state.progress.slow_periods() <
            (kept ? MAX_IDLE_PERIODS_AT_LIMIT : max_periods))
            continue;
        if (kept && !at_limit)
            continue;
        close_connection(connection, state);
        count("closed_without_progress");
        closed = true;
    }
    if (closed)
        schedule_run();
}

void http_server::impl::close_connection(MHD_Connection* connection,
                                         connection_state& state) {
    // The library sees the end of the connection and closes it.
    shutdown(socket_of(connection), SHUT_RDWR);
    state.closing = true;
}

void http_server::impl::log_limit(const char* name, size_t limit,
                                  mono_time& logged_at) {
    const mono_time now = event_loop::now();
    if (logged_at != mono_time{} && now - logged_at < LIMIT_LOG_PERIOD)
        return;
    logged_at = now;
    log_event(log_level::warning, name,
              {{"address", address_}, {"limit", std::to_string(limit)}});
}

bool http_server::impl::closes_after_response(MHD_Connection* connection) {
    connection_state& state = connections_[connection];
    const mono_time now = event_loop::now();
    state.phase_since = now;
    if (draining)
        return true;
    const bool closes = limits_.budget != nullptr &&
                        connections_.size() > shed_limit() &&
                        now - state.opened_at > MAX_AGE_AT_LIMIT;
    if (closes)
        count("closed_after_response");
    return closes;
}

void http_server::impl::shed_connections() {
    shed_scheduled_ = false;
    std::vector<std::pair<mono_time, MHD_Connection*>> candidates;
    size_t open = 0;
    const mono_time now = event_loop::now();
    for (const auto& [connection, state] : connections_) {
        if (state.closing)
            continue;
        ++open;
        if (!state.suspended && now - state.phase_since >= MIN_SHED_AGE)
            candidates.emplace_back(state.phase_since, connection);
    }
    if (open <= shed_limit())
        return shed_receiving(now);
    log_limit("connections_scarce", limits_.connections,
              connections_logged_at_);
    // Room for many at once: each waits behind all that came before it.
    const size_t closing = std::min(open - shed_limit() / 2, candidates.size());
    std::partial_sort(candidates.begin(),
                      candidates.begin() + static_cast<std::ptrdiff_t>(closing),
                      candidates.end());
    for (size_t i = 0; i < closing; ++i) {
        MHD_Connection* connection = candidates[i].second;
        close_connection(connection, connections_[connection]);
        count("closed_for_others");
    }
    if (closing > 0)
        schedule_run();
    schedule_shed(SHED_PERIOD);
}

void http_server::impl::shed_receiving(mono_time now) {
    if (now - refused_at_ >= PRESSURE_TIME)
        return;
    bool closed = false;
    for (auto& [connection, state] : connections_) {
        if (state.closing || !state.receiving ||
            now - state.phase_since < MAX_RECEIVE_AGE)
            continue;
        close_connection(connection, state);
        count("closed_for_others");
        closed = true;
    }
    if (closed)
        schedule_run();
    schedule_shed(SHED_PERIOD);
}

void http_server::impl::schedule_shed(millis delay) {
    if (std::exchange(shed_scheduled_, true))
        return;
    loop_.after(delay, [this, alive = std::weak_ptr(alive_)] {
        if (!alive.expired())
            shed_connections();
    });
}

MHD_Result
http_server::impl::dispatch(const std::shared_ptr<exchange_state>& exchange) {
    exchange->dispatched = true;
    connections_[exchange->connection].receiving = false;
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
        connections_[exchange->connection].suspended = false;
        MHD_resume_connection(exchange->connection);
        schedule_run();
    });
    // The handler has copied what it needs. The claim remains until the
    // request is completed, for the copies.
    if (limits_.budget != nullptr)
        exchange->request = {};
    if (exchange->answered)
        return respond(*exchange);
    exchange->suspended = true;
    suspended_.insert(exchange.get());
    connections_[exchange->connection].suspended = true;
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
    auto* server = static_cast<impl*>(self);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        const mono_time now = event_loop::now();
        server->idle_connections_.insert(connection);
        server->connections_[connection] = {.opened_at = now,
                                            .phase_since = now};
        // Later: the library is accepting connections.
        if (server->limits_.budget != nullptr &&
            server->connections_.size() > server->shed_limit())
            server->schedule_shed(millis(0));
        return;
    }
    server->idle_connections_.erase(connection);
    if (server->connections_[connection].refused)
        server->lingering_.add(socket_of(connection));
    server->connections_.erase(connection);
}

void http_server::impl::close_idle_connections() {
    for (MHD_Connection* connection : idle_connections_)
        MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT,
                                  IDLE_CLOSE_TIMEOUT_S);
    run_once();
}

void http_server::impl::on_completed(void* self, MHD_Connection* connection,
                                     void** state, MHD_RequestTerminationCode) {
    auto* server = static_cast<impl*>(self);
    server->idle_connections_.insert(connection);
    connection_state& at = server->connections_[connection];
    at.served = true;
    at.suspended = false;
    at.receiving = false;
    at.progress.reset();
    at.phase_since = event_loop::now();
    if (*state == nullptr)
        return;
    auto* exchange = static_cast<std::shared_ptr<exchange_state>*>(*state);
    (*exchange)->completed = true;
    (*exchange)->claim.shrink(0);
    server->suspended_.erase(exchange->get());
    if ((*exchange)->dispatched)
        --server->in_flight;
    delete exchange;
    *state = nullptr;
}

http_server::http_server(event_loop& loop, const std::string& address,
                         const http_limits& limits, handler handle)
    : impl_(std::make_unique<impl>(loop, address, limits, std::move(handle))) {}

http_server::~http_server() = default;

void http_server::set_body_limit(size_t bytes) {
    impl_->set_body_limit(bytes);
}

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
