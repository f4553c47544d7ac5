/** @file The platform's append-only log. */
#pragma once

#include "rattan/unit_type.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace rattan {

/** One record as the log keeps it. */
struct stored_record {
    std::int64_t offset = 0;
    std::int64_t time_ms = 0; ///< The log's clock at the append.
    std::string body;
};

/** What a read brought. */
struct log_page {
    bool reached = false;      ///< The log answered.
    std::int64_t earliest = 0; ///< First offset still kept.
    std::int64_t next = 0;     ///< The next append's offset.
    std::vector<stored_record> records;
};

/** How an append ended. */
enum class append_result {
    appended,
    refused, ///< Provably not appended.
    unknown, ///< It may have been appended, or may be later.
};

/** The log service; one implementation for each wire form of it. */
class log_client {
public:
    using read_callback = std::function<void(const log_page&)>;
    using append_callback =
        std::function<void(append_result, std::int64_t offset)>;

    virtual ~log_client() = default;

    /** Reads from an offset; waits up to `wait` when there is nothing. */
    virtual void read(const std::string& stream, std::int64_t first,
                      int max_records, millis wait, read_callback done) = 0;

    /** Reads the newest record of a stream. */
    virtual void read_last(const std::string& stream, read_callback done) = 0;

    /** Appends a record. */
    virtual void append(const std::string& stream, const std::string& body,
                        append_callback done) = 0;
};

} // namespace rattan
