/** @file Client of the workers, which execute tasks. */
#pragma once

#include "rattan/order_type.hpp"

#include <functional>
#include <optional>
#include <string>

namespace rattan {

/** Interface to the workers, with one implementation per protocol. */
class worker_client {
public:
    /** Receives the answer, or nothing if the order may have taken effect. */
    using callback = std::function<void(const std::optional<worker_answer>&)>;

    virtual ~worker_client() = default;

    virtual void order(const std::string& address, const worker_order& order,
                       callback done) = 0;
};

} // namespace rattan
