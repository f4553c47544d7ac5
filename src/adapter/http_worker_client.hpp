/** @file Client of the workers, over HTTP with JSON. */
#pragma once

#include "adapter/worker_client.hpp"
#include "net/http_client.hpp"

#include <cstdint>

namespace rattan {

/** Uses `POST /v1/orders`. */
class http_worker_client : public worker_client {
public:
    explicit http_worker_client(http_client& client) : client_(client) {}

    void order(const std::string& address, const worker_order& order,
               callback done) override;

    /** Total size of the bodies of all orders and answers. */
    [[nodiscard]] std::uint64_t bytes() const { return bytes_; }

private:
    http_client& client_;
    std::uint64_t bytes_ = 0;
};

} // namespace rattan
