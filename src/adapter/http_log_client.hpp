/** @file Client of the platform's log, over HTTP with JSON. */
#pragma once

#include "adapter/log_client.hpp"
#include "net/http_client.hpp"

namespace rattan {

/** Uses `POST` and `GET` of `/v1/streams/NAME/records`. */
class http_log_client : public log_client {
public:
    /** @param base_url As in `http://127.0.0.1:9000`. */
    http_log_client(http_client& client, std::string base_url)
        : client_(client), base_url_(std::move(base_url)) {}

    void read(const std::string& stream, std::int64_t first, int max_records,
              millis wait, read_callback done) override;
    void read_last(const std::string& stream, read_callback done) override;
    void append(const std::string& stream, const std::string& body,
                append_callback done) override;

private:
    /** Sends a read with a query and decodes the page in the response. */
    void fetch(const std::string& query, const std::string& stream,
               millis timeout, const read_callback& done);

    http_client& client_;
    std::string base_url_;
};

} // namespace rattan
