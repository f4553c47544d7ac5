/** @file Client of the platform's list of targets, over HTTP with JSON. */
#pragma once

#include "adapter/host_list_client.hpp"
#include "net/http_client.hpp"

namespace rattan {

/** Uses `GET /v1/hosts`. */
class http_host_list_client : public host_list_client {
public:
    /** @param base_url As in `http://127.0.0.1:9000`. */
    http_host_list_client(http_client& client, std::string base_url)
        : client_(client), base_url_(std::move(base_url)) {}

    void fetch(callback done) override;

private:
    http_client& client_;
    std::string base_url_;
};

} // namespace rattan
