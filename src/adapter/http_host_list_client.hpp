/** @file The platform's list of targets over HTTP and JSON. */
#pragma once

#include "adapter/host_list_client.hpp"
#include "net/http_client.hpp"

namespace rattan {

/** `GET /v1/hosts`. */
class http_host_list_client : public host_list_client {
public:
    http_host_list_client(http_client& client, std::string base)
        : client_(client), base_(std::move(base)) {}

    void fetch(callback done) override;

private:
    http_client& client_;
    std::string base_;
};

} // namespace rattan
