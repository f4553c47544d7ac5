/** @file Orders to workers. */
#pragma once

#include "rattan/order_type.hpp"

#include <functional>
#include <optional>
#include <string>

namespace rattan {

/** The workers' service; one implementation for each wire form of it. */
class worker_client {
public:
    /** The whole answer, or nothing when its fate is unknown. */
    using callback = std::function<void(const std::optional<worker_answer>&)>;

    virtual ~worker_client() = default;

    /** Sends an order to the worker at an address. */
    virtual void order(const std::string& address, const worker_order& order,
                       callback done) = 0;
};

} // namespace rattan
