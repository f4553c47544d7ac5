/** @file One request on a connection of its own, without the HTTP client. */
#pragma once

#include "net/http_type.hpp"

#include <netinet/in.h>

#include <optional>
#include <string>

namespace rattan {

/** The bytes of a call that is sent on a connection of its own. */
struct probe_request {
    std::string address; ///< IP and port.
    sockaddr_in peer{};  ///< The same.
    std::string bytes;
};

/**
 * Encodes a call.
 * @return Nothing if its URL has no IPv4 address and port, or a header has more
 * than one line.
 */
std::optional<probe_request> encode_probe(const http_call& call);

/**
 * Sends one request and reads the status of the answer; the rest of the answer
 * is not read. Nothing blocks. Costs a fraction of a call of the HTTP client,
 * and the request leaves as soon as the connection is open.
 */
class probe_connection {
public:
    enum class state : std::uint8_t {
        connecting, ///< No byte of the request has been sent.
        sent,       ///< The answer has not arrived.
        ended,      ///< It has, or there will be none.
    };

    /** Connects and sends. @param request Must stay until `advance`. */
    explicit probe_connection(const probe_request& request);
    ~probe_connection();
    probe_connection(probe_connection&& other) noexcept;
    probe_connection& operator=(probe_connection&& other) noexcept;
    probe_connection(const probe_connection&) = delete;
    probe_connection& operator=(const probe_connection&) = delete;

    /** Goes on as far as possible without waiting. */
    void advance(const probe_request& request);

    [[nodiscard]] state current() const { return state_; }
    /** HTTP status of the answer; 0 if there was none. */
    [[nodiscard]] int status() const { return status_; }
    [[nodiscard]] int handle() const { return handle_; }

private:
    void send_request(const probe_request& request);
    void read_status();
    void end();

    int handle_;
    state state_ = state::connecting;
    std::size_t sent_bytes_ = 0;
    std::string answer_;
    int status_ = 0;
};

} // namespace rattan
