/** @file The platform's store as the users' PROTOCOL page describes it. */
#pragma once

#include "net/event_loop.hpp"
#include "net/http_server.hpp"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace review {

/** Times of the store, as in the sheet and the settings of a deployment. */
struct store_times {
    /** 4 ms, and the way there and back between zones. */
    rattan::millis answer{7};
    rattan::millis append{3}; ///< A partition takes one append at a time.
};

/** Keeps keyed topics in memory; serves appends, reads and newest records. */
class model_store {
public:
    model_store(rattan::event_loop& loop, const std::string& address,
                store_times times);

    /** Writes a record as the operator or a target does; empty: drops it. */
    void put(const std::string& topic, const std::string& key,
             const std::string& value);

private:
    struct append_result {
        std::int64_t sequence = 0;
        rattan::http_response response;
    };
    struct producer_state {
        std::int64_t epoch = 0;
        std::int64_t sequence = -1;
        bool began = false;
        std::deque<append_result> last; ///< Of this epoch, five at most.
    };
    struct partition_state {
        std::vector<std::string> records; ///< Key length, key and value.
        std::map<std::string, std::int64_t> newest;
        std::map<std::string, producer_state> producers;
        rattan::mono_time free_at{};
    };
    struct waiting_read {
        std::string partition;
        std::int64_t from = 0;
        rattan::http_server::responder answer;
        rattan::mono_time until{};
    };

    void handle(const rattan::http_request& request,
                const rattan::http_server::responder& answer);
    rattan::http_response append(const rattan::http_request& request);
    rattan::http_response newest(const rattan::http_request& request);
    rattan::http_response read(const std::string& partition, std::int64_t from);
    static void add(partition_state& partition, const std::string& record);
    void serve_waiting();

    rattan::event_loop& loop_;
    store_times times_;
    std::map<std::string, partition_state> partitions_;
    std::list<waiting_read> waiting_;
    rattan::http_server server_;
};

} // namespace review
