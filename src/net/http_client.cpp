#include "net/http_client.hpp"

#include "base/log_func.hpp"
#include "net/budget_claim.hpp"
#include "rattan/error_type.hpp"

#include <ace/Event_Handler.h>
#include <curl/curl.h>

#include <array>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <unordered_map>
#include <utility>

namespace rattan {

namespace {

constexpr size_t MAX_HEADER_BYTES = 64U << 10U; ///< Of one response.
constexpr size_t MAX_EVENTS = 64;

/** State of one call. */
struct transfer {
    explicit transfer(const http_client_limits& client_limits)
        : limits(client_limits), claim(client_limits.budget) {}

    const http_client_limits& limits;
    budget_claim claim; ///< Counts the capacity of the response's body.
    size_t header_bytes = 0;
    CURL* easy = nullptr;
    http_call call;
    http_client::callback done;
    http_call_result answer;
    curl_slist* headers = nullptr;
    int attempts = 0; ///< Times that the library began to send the request.

    ~transfer() { curl_slist_free_all(headers); }

    void count(const char* metric) const {
        if (limits.metrics != nullptr)
            ++limits.metrics->counter(metric);
    }
};

/** Appends to the response body; aborts a body over a limit. */
size_t append_body(char* data, size_t size, size_t count, void* target) {
    auto* state = static_cast<transfer*>(target);
    std::string& body = state->answer.body;
    const size_t bytes = size * count;
    const size_t limit = state->limits.response_bytes;
    if (body.size() + bytes > limit) {
        state->count("answers_too_large");
        return 0;
    }
    curl_off_t declared = -1;
    if (body.empty())
        curl_easy_getinfo(state->easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T,
                          &declared);
    // Growing takes more of the budget than the declared size.
    if (declared > 0 && static_cast<size_t>(declared) <= limit &&
        !state->claim.reserve(body, static_cast<size_t>(declared))) {
        state->count("answers_over_budget");
        return 0;
    }
    if (!state->claim.append(body, data, bytes, limit)) {
        state->count("answers_over_budget");
        return 0;
    }
    return bytes;
}

/** Stores the value of the `X-Request-Id` response header. */
size_t parse_header(char* data, size_t size, size_t count, void* target) {
    constexpr std::string_view name = "x-request-id:";
    std::string_view line(data, size * count);
    auto* state = static_cast<transfer*>(target);
    state->header_bytes += line.size();
    if (state->header_bytes > MAX_HEADER_BYTES) {
        state->count("answers_too_large");
        return 0;
    }
    if (line.size() > name.size() &&
        strncasecmp(line.data(), name.data(), name.size()) == 0) {
        line.remove_prefix(name.size());
        while (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        while (!line.empty() && (line.back() == '\r' || line.back() == '\n'))
            line.remove_suffix(1);
        state->answer.request_id = line;
    }
    return size * count;
}

/** Sets the size of the receive buffer of a new socket. */
int set_socket_options(void* target, curl_socket_t handle, curlsocktype) {
    setsockopt(handle, SOL_SOCKET, SO_RCVBUF, target, sizeof(int));
    return CURL_SOCKOPT_OK;
}

/**
 * Called by the library before it sends a request. When a reused connection
 * breaks, the library retries on a new one; this aborts the retry, because the
 * first attempt may have taken effect.
 */
int abort_retry(void* target, char*, char*, int, int) {
    auto* state = static_cast<transfer*>(target);
    return ++state->attempts == 1 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

} // namespace

class http_client::impl : public ACE_Event_Handler {
public:
    impl(event_loop& loop, const http_client_limits& limits);
    ~impl() override;

    void start(const http_call& call, callback done);

    ACE_HANDLE get_handle() const override { return epoll_; }
    int handle_input(ACE_HANDLE) override;

private:
    static int on_socket(CURL*, curl_socket_t handle, int what, void* self,
                         void*);
    static int on_timer(CURLM*, long timeout_ms, void* self);

    void socket_action(curl_socket_t handle, int what);
    /** Reports the transfers that the library has completed. */
    void complete_transfers();
    /** Sets the libcurl options of one call. */
    void set_options(CURL* easy, transfer& state) const;

    event_loop& loop_;
    http_client_limits limits_;
    CURLM* multi_;
    /**
     * Watches the library's sockets. The library closes some of them without
     * a notification. The reactor would keep the stale registration, and a
     * later connection with the same descriptor number would get no events;
     * epoll removes a closed descriptor by itself.
     */
    ACE_HANDLE epoll_;
    long timer_ = 0;
    bool run_scheduled_ = false; ///< A deferred `socket_action` is pending.
    std::unordered_map<CURL*, std::unique_ptr<transfer>> transfers_;
    std::vector<CURL*> idle_handles_; ///< Reused by later calls.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

http_client::impl::impl(event_loop& loop, const http_client_limits& limits)
    : loop_(loop), limits_(limits), epoll_(epoll_create1(EPOLL_CLOEXEC)) {
    if (epoll_ < 0)
        throw system_error("can't create an epoll descriptor");
    loop_.reactor().register_handler(this, ACE_Event_Handler::READ_MASK);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    multi_ = curl_multi_init();
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &impl::on_socket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &impl::on_timer);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_MAX_HOST_CONNECTIONS,
                      limits.connections_per_server);
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, 1024L);
    curl_multi_setopt(multi_, CURLMOPT_MAX_TOTAL_CONNECTIONS,
                      limits.connections);
}

http_client::impl::~impl() {
    alive_.reset();
    loop_.cancel(timer_);
    for (auto& [easy, state] : transfers_) {
        curl_multi_remove_handle(multi_, easy);
        curl_easy_cleanup(easy);
    }
    for (CURL* easy : idle_handles_)
        curl_easy_cleanup(easy);
    curl_multi_cleanup(multi_);
    loop_.reactor().remove_handler(this, ACE_Event_Handler::ALL_EVENTS_MASK |
                                             ACE_Event_Handler::DONT_CALL);
    close(epoll_);
}

int http_client::impl::on_socket(CURL*, curl_socket_t handle, int what,
                                 void* self, void*) {
    const int epoll = static_cast<impl*>(self)->epoll_;
    if (what == CURL_POLL_REMOVE) {
        // Fails when the library has already closed the socket.
        epoll_ctl(epoll, EPOLL_CTL_DEL, handle, nullptr);
        return 0;
    }
    epoll_event event{};
    event.data.fd = handle;
    if ((what & CURL_POLL_IN) != 0)
        event.events |= EPOLLIN;
    if ((what & CURL_POLL_OUT) != 0)
        event.events |= EPOLLOUT;
    if (epoll_ctl(epoll, EPOLL_CTL_MOD, handle, &event) != 0 &&
        epoll_ctl(epoll, EPOLL_CTL_ADD, handle, &event) != 0)
        log_event(log_level::error, "socket_not_watched",
                  {{"errno", std::to_string(errno)}}); // the call times out
    return 0;
}

int http_client::impl::handle_input(ACE_HANDLE) {
    std::array<epoll_event, MAX_EVENTS> events{};
    const int count =
        epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), 0);
    for (int i = 0; i < count; ++i) {
        const epoll_event& event = events[static_cast<size_t>(i)];
        int what = 0;
        if ((event.events & (EPOLLIN | EPOLLHUP)) != 0)
            what |= CURL_CSELECT_IN;
        if ((event.events & EPOLLOUT) != 0)
            what |= CURL_CSELECT_OUT;
        if ((event.events & EPOLLERR) != 0)
            what |= CURL_CSELECT_ERR;
        socket_action(event.data.fd, what);
    }
    return 0;
}

int http_client::impl::on_timer(CURLM*, long timeout_ms, void* self) {
    auto* client = static_cast<impl*>(self);
    client->loop_.cancel(std::exchange(client->timer_, 0));
    if (timeout_ms < 0)
        return 0;
    const std::weak_ptr<bool> alive = client->alive_;
    if (timeout_ms > 0) {
        client->timer_ =
            client->loop_.after(millis(timeout_ms), [client, alive] {
                if (alive.expired())
                    return;
                client->timer_ = 0;
                client->socket_action(CURL_SOCKET_TIMEOUT, 0);
            });
        return 0;
    }
    // Transfers started in the same loop iteration share one action.
    if (std::exchange(client->run_scheduled_, true))
        return 0;
    client->loop_.defer([client, alive] {
        if (alive.expired())
            return;
        client->run_scheduled_ = false;
        client->socket_action(CURL_SOCKET_TIMEOUT, 0);
    });
    return 0;
}

void http_client::impl::socket_action(curl_socket_t handle, int what) {
    int running = 0;
    curl_multi_socket_action(multi_, handle, what, &running);
    complete_transfers();
}

void http_client::impl::set_options(CURL* easy, transfer& state) const {
    const http_call& call = state.call;
    curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, call.timeout.count());
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     call.connect_timeout.count());
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, limits_.idle_s);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &append_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &state);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &parse_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &state);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &abort_retry);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &state);
    if (limits_.receive_buffer_bytes > 0) {
        curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &set_socket_options);
        curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA,
                         &limits_.receive_buffer_bytes);
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    if (call.method == "POST" || call.method == "PUT") {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                         static_cast<long>(call.body.size()));
    }
    state.headers = curl_slist_append(state.headers, "Expect:");
    state.headers =
        curl_slist_append(state.headers, "Content-Type: application/json");
    if (!call.request_id.empty())
        state.headers = curl_slist_append(
            state.headers, ("X-Request-Id: " + call.request_id).c_str());
    for (const std::string& line : call.headers)
        state.headers = curl_slist_append(state.headers, line.c_str());
    if (!call.authorization.empty())
        state.headers = curl_slist_append(
            state.headers, ("Authorization: " + call.authorization).c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, state.headers);
}

void http_client::impl::start(const http_call& call, callback done) {
    CURL* easy = nullptr;
    if (idle_handles_.empty()) {
        easy = curl_easy_init();
    } else {
        easy = idle_handles_.back();
        idle_handles_.pop_back();
        curl_easy_reset(easy);
    }
    auto state = std::make_unique<transfer>(limits_);
    state->easy = easy;
    state->call = call;
    state->done = std::move(done);
    set_options(easy, *state);
    transfers_[easy] = std::move(state);
    curl_multi_add_handle(multi_, easy);
}

void http_client::impl::complete_transfers() {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_, &left)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        CURL* easy = message->easy_handle;
        const CURLcode code = message->data.result;
        auto state = std::move(transfers_[easy]);
        transfers_.erase(easy);
        long status = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        curl_multi_remove_handle(multi_, easy);
        idle_handles_.push_back(easy);
        state->answer.status = static_cast<int>(status);
        if (code == CURLE_OK)
            state->answer.outcome = http_outcome::answered;
        else if (state->attempts > 0)
            state->answer.outcome = http_outcome::unknown;
        loop_.defer([finished = std::shared_ptr<transfer>(std::move(state))] {
            finished->done(finished->answer);
        });
    }
}

http_client::http_client(event_loop& loop, const http_client_limits& limits)
    : impl_(std::make_unique<impl>(loop, limits)) {}

http_client::~http_client() = default;

void http_client::call(const http_call& call, callback done) {
    impl_->start(call, std::move(done));
}

} // namespace rattan
