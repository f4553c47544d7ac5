/** @file Client of the runners, over HTTP. */
#pragma once

#include "adapter/runner_client.hpp"
#include "net/http_client.hpp"

namespace rattan {

/** Uses `POST /v1/run`. */
class http_runner_client : public runner_client {
public:
    explicit http_runner_client(http_client& client) : client_(client) {}

    void run(const std::string& address, const std::string& id,
             const std::string& body, millis deadline, callback done) override;

private:
    http_client& client_;
};

} // namespace rattan
