/** @file A stand-in of the platform's store: keyed topics with offsets. */
#pragma once

#include "net/event_loop.hpp"
#include "net/http_server.hpp"

#include <list>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace rattan::standin {

/** One partition of a topic. */
struct fleet_partition {
    std::vector<std::string> records; ///< Key length, key and value.
    /** Offset of the newest record of each key. */
    std::map<std::string, std::int64_t> newest_offsets;
    std::int64_t first_offset = 0; ///< Oldest offset still stored.
    /** Epoch and last sequence number of each producer. */
    std::map<std::string, std::pair<std::int64_t, std::int64_t>> producers;
};

/** Implements the store's protocol; `/admin/store` sets its faults. */
class fleet_store {
public:
    /** @param alternate_address Second address, which can stop responding
     * on its own. */
    fleet_store(event_loop& loop, const std::string& address,
                const std::string& alternate_address);

    /** Appends a record to partition 0 of a topic, as an operator or target
     * does. */
    void put(const std::string& topic, const std::string& key,
             const std::string& value);

    /** Handles a request to `/admin/store`. */
    http_response handle_admin(const http_request& request);

private:
    struct waiting_read {
        std::string partition;
        std::int64_t from = 0;
        http_server::responder answer;
        mono_time until{};
    };

    void handle(const http_request& request, http_server::responder answer);
    http_response append(const http_request& request);
    http_response newest(const http_request& request);
    void read(const http_request& request, http_server::responder answer);
    [[nodiscard]] http_response read_response(const std::string& partition,
                                              std::int64_t from);
    void serve_waiting_reads();

    event_loop& loop_;
    std::map<std::string, fleet_partition> partitions_;
    std::list<waiting_read> waiting_;
    bool down_ = false;
    bool lose_answers_ = false;
    /** Partitions that never respond, as `topic/number`. */
    std::set<std::string> silent_partitions_;
    bool alternate_silent_ = false; ///< No responses at alternate_http_.
    std::vector<http_server::responder> unanswered_; ///< Never responded to.
    http_server http_;
    http_server alternate_http_;
};

} // namespace rattan::standin
