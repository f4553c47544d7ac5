/** @file Client of the platform's append-only log. */
#pragma once

#include "rattan/unit_type.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace rattan {

/** A record of the log. */
struct stored_record {
    std::int64_t offset = 0;
    std::int64_t time_ms = 0; ///< Time of the append by the log's clock.
    std::string body;
};

/** Result of a read. */
struct log_page {
    bool reached = false;      ///< Whether the log answered.
    std::int64_t earliest = 0; ///< First offset that the log still retains.
    std::int64_t next = 0;     ///< Offset of the next append.
    std::vector<stored_record> records;
};

/** How an append ended. */
enum class append_result {
    appended,
    refused, ///< It has not been appended and never will be.
    unknown, ///< It may have been appended, or may still be.
};

/** Interface to the log service, with one implementation per protocol. */
class log_client {
public:
    using read_callback = std::function<void(const log_page&)>;
    using append_callback =
        std::function<void(append_result, std::int64_t offset)>;

    virtual ~log_client() = default;

    /**
     * Reads records from offset `first` on. If there are none, the log waits
     * up to `wait` for one.
     */
    virtual void read(const std::string& stream, std::int64_t first,
                      int max_records, millis wait, read_callback done) = 0;

    /** Reads the newest record of a stream. */
    virtual void read_last(const std::string& stream, read_callback done) = 0;

    virtual void append(const std::string& stream, const std::string& body,
                        append_callback done) = 0;
};

} // namespace rattan
