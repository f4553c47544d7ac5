/** @file Client of the platform's list of targets. */
#pragma once

#include "rattan/worker_type.hpp"

#include <functional>
#include <optional>
#include <string>

namespace rattan {

/**
 * Interface to the list service, with one implementation per protocol. The
 * list lags behind the real state of the targets.
 */
class host_list_client {
public:
    /** Receives the list, or nothing if it could not be read. */
    using callback = std::function<void(const std::optional<host_list>&)>;

    virtual ~host_list_client() = default;

    virtual void fetch(callback done) = 0;
};

} // namespace rattan
