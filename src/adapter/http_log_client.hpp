/** @file The platform's log over HTTP and JSON. */
#pragma once

#include "adapter/log_client.hpp"
#include "net/http_client.hpp"

namespace rattan {

/** `POST` and `GET` of `/v1/streams/NAME/records`. */
class http_log_client : public log_client {
public:
    /** @param base As in `http://127.0.0.1:9000`. */
    http_log_client(http_client& client, std::string base)
        : client_(client), base_(std::move(base)) {}

    void read(const std::string& stream, std::int64_t first, int max_records,
              millis wait, read_callback done) override;
    void read_last(const std::string& stream, read_callback done) override;
    void append(const std::string& stream, const std::string& body,
                append_callback done) override;

private:
    /** Runs a read and decodes its page. */
    void fetch(const std::string& query, const std::string& stream,
               millis timeout, const read_callback& done);

    http_client& client_;
    std::string base_;
};

} // namespace rattan
