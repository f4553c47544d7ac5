/** @file The platform's lagging list of targets. */
#pragma once

#include "rattan/worker_type.hpp"

#include <functional>
#include <optional>
#include <string>

namespace rattan {

/** The list service; one implementation for each wire form of it. */
class host_list_client {
public:
    /** The list as text and decoded, or nothing. */
    using callback = std::function<void(const std::optional<host_list>&)>;

    virtual ~host_list_client() = default;

    /** Fetches the list. */
    virtual void fetch(callback done) = 0;
};

} // namespace rattan
