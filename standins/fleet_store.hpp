/** @file A stand-in of the users' store: keyed topics with offsets. */
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
struct fleet_topic {
    std::vector<std::string> records; ///< Key length, key and value.
    std::map<std::string, std::int64_t> newest;
    std::int64_t first = 0; ///< Older ones have been dropped.
    /** Epoch and last sequence number of each producer. */
    std::map<std::string, std::pair<std::int64_t, std::int64_t>> producers;
};

/** Speaks the store's protocol; `/admin/store` sets its faults. */
class fleet_store {
public:
    /** @param side_address A second address, which can fall silent alone. */
    fleet_store(event_loop& loop, const std::string& address,
                const std::string& side_address);

    /** Writes a record as the operator or a target does. */
    void put(const std::string& topic, const std::string& key,
             const std::string& value);

    /** Does what a request to `/admin/store` asks. */
    http_response administer(const http_request& request);

private:
    struct waiting_read {
        std::string topic;
        std::int64_t from = 0;
        http_server::responder answer;
        mono_time until{};
    };

    void handle(const http_request& request, http_server::responder answer);
    http_response append(const http_request& request);
    http_response newest(const http_request& request);
    void read(const http_request& request, http_server::responder answer);
    [[nodiscard]] http_response read_now(const std::string& topic,
                                         std::int64_t from);
    void wake();

    event_loop& loop_;
    std::map<std::string, fleet_topic> topics_;
    std::list<waiting_read> waiting_;
    bool down_ = false;
    bool lose_answers_ = false;
    std::set<std::string> silent_parts_; ///< As `topic/number`; never answer.
    bool side_silent_ = false; ///< Takes requests at the side, answers none.
    std::vector<http_server::responder> lost_; ///< Never answered.
    http_server http_;
    http_server side_;
};

} // namespace rattan::standin
