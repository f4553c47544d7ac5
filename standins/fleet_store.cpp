#include "fleet_store.hpp"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <algorithm>

namespace rattan::standin {

using nlohmann::json;

namespace {

constexpr size_t LENGTH_PREFIX_BYTES = 4;
constexpr millis POLL_PERIOD{5};

std::int64_t query_number(const http_request& request, const char* name,
                          std::int64_t fallback) {
    const auto found = request.query.find(name);
    return found == request.query.end() ? fallback : std::stoll(found->second);
}

std::string query_text(const http_request& request, const char* name) {
    const auto found = request.query.find(name);
    return found == request.query.end() ? "" : found->second;
}

/** Partition that a request names, as `topic/number`. */
std::string partition_name(const http_request& request) {
    return query_text(request, "topic") + "/" +
           std::to_string(query_number(request, "part", 0));
}

std::string big_endian(std::uint64_t value, size_t bytes) {
    std::string out(bytes, '\0');
    for (size_t i = 0; i < bytes; ++i)
        out[bytes - 1 - i] = static_cast<char>((value >> (8 * i)) & 0xFFU);
    return out;
}

std::string key_of(const std::string& record) {
    return record.substr(1, static_cast<unsigned char>(record[0]));
}

std::string value_of(const std::string& record) {
    return record.substr(1 + static_cast<unsigned char>(record[0]));
}

std::string base64(const std::string& bytes) {
    std::string out(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                        reinterpret_cast<const unsigned char*>(bytes.data()),
                        static_cast<int>(bytes.size()));
    out.resize(static_cast<size_t>(size));
    return out;
}

void append_record(fleet_partition& partition, const std::string& record) {
    const auto offset = static_cast<std::int64_t>(partition.records.size());
    partition.records.push_back(record);
    if (value_of(record).empty())
        partition.newest_offsets.erase(key_of(record));
    else
        partition.newest_offsets[key_of(record)] = offset;
}

} // namespace

fleet_store::fleet_store(event_loop& loop, const std::string& address,
                         const std::string& alternate_address)
    : loop_(loop),
      http_(loop, address, {.body_bytes = 4U << 20U, .connections = 2000},
            [this](const http_request& request, http_server::responder answer) {
                handle(request, std::move(answer));
            }),
      alternate_http_(
          loop, alternate_address,
          {.body_bytes = 4U << 20U, .connections = 2000},
          [this](const http_request& request, http_server::responder answer) {
              if (alternate_silent_)
                  unanswered_.push_back(std::move(answer));
              else
                  handle(request, std::move(answer));
          }) {
    loop.every(POLL_PERIOD, [this] { serve_waiting_reads(); });
}

void fleet_store::put(const std::string& topic, const std::string& key,
                      const std::string& value) {
    append_record(partitions_[topic + "/0"],
                  std::string(1, static_cast<char>(key.size())) + key + value);
}

http_response fleet_store::handle_admin(const http_request& request) {
    down_ = query_number(request, "down", down_ ? 1 : 0) != 0;
    lose_answers_ = query_number(request, "lose", lose_answers_ ? 1 : 0) != 0;
    alternate_silent_ =
        query_number(request, "side_silent", alternate_silent_ ? 1 : 0) != 0;
    if (const std::string part = query_text(request, "silent_part");
        !part.empty())
        silent_partitions_.insert(part);
    if (!request.query.contains("put"))
        return {.body = "{}"};
    put(query_text(request, "topic"), query_text(request, "put"), request.body);
    return {.body = "{}"};
}

void fleet_store::handle(const http_request& request,
                         http_server::responder answer) {
    if (down_)
        return answer({.status = 503, .body = "{}"});
    if (silent_partitions_.contains(partition_name(request)))
        return unanswered_.push_back(std::move(answer));
    if (request.path == "/-/log-read")
        return read(request, std::move(answer));
    if (request.path == "/-/log-newest")
        return answer(newest(request));
    if (request.path != "/-/log-append")
        return answer({.status = 404, .body = "{}"});
    const http_response reply = append(request);
    if (lose_answers_)
        unanswered_.push_back(std::move(answer));
    else
        answer(reply);
}

http_response fleet_store::append(const http_request& request) {
    fleet_partition& partition = partitions_[partition_name(request)];
    const auto end = static_cast<std::int64_t>(partition.records.size());
    const std::int64_t expected_end = query_number(request, "at", end);
    if (expected_end != end)
        return {.status = 412, .body = json({{"end", end}}).dump()};
    if (const std::string producer = query_text(request, "producer");
        !producer.empty()) {
        const std::int64_t epoch = query_number(request, "epoch", 0);
        const std::int64_t sequence = query_number(request, "seq", 0);
        const auto known = partition.producers.find(producer);
        if (known != partition.producers.end()) {
            const auto [last_epoch, last] = known->second;
            if (epoch < last_epoch)
                return {.status = 409, .body = R"({"reason":"fenced"})"};
            if (epoch == last_epoch && sequence <= last)
                return {.body = json({{"offset", end}, {"end", end}}).dump()};
            if (epoch == last_epoch && sequence != last + 1)
                return {
                    .status = 409,
                    .body =
                        json({{"reason", "seq"}, {"seq", last + 1}}).dump()};
        }
        partition.producers[producer] = {epoch, sequence};
    }
    for (size_t from = 0; from + LENGTH_PREFIX_BYTES <= request.body.size();) {
        size_t length = 0;
        for (size_t i = 0; i < LENGTH_PREFIX_BYTES; ++i)
            length = length << 8U |
                     static_cast<unsigned char>(request.body[from + i]);
        append_record(partition,
                      request.body.substr(from + LENGTH_PREFIX_BYTES, length));
        from += LENGTH_PREFIX_BYTES + length;
    }
    return {
        .body =
            json({{"offset", end}, {"end", partition.records.size()}}).dump()};
}

http_response fleet_store::newest(const http_request& request) {
    const fleet_partition& partition = partitions_[partition_name(request)];
    const std::string after = query_text(request, "after");
    json entries = json::array();
    constexpr size_t PAGE = 500;
    auto at = partition.newest_offsets.upper_bound(after);
    for (; at != partition.newest_offsets.end() && entries.size() < PAGE; ++at)
        entries.push_back(
            {{"key", at->first},
             {"value",
              base64(value_of(
                  partition.records[static_cast<size_t>(at->second)]))},
             {"offset", at->second}});
    return {.body = json({{"items", entries},
                          {"hasMore", at != partition.newest_offsets.end()},
                          {"end", partition.records.size()}})
                        .dump(-1, ' ', false, json::error_handler_t::replace)};
}

http_response fleet_store::read_response(const std::string& name,
                                         std::int64_t from) {
    const fleet_partition& partition = partitions_[name];
    std::string body =
        big_endian(partition.records.size(), 8) +
        big_endian(static_cast<std::uint64_t>(partition.first_offset), 8);
    for (size_t i = static_cast<size_t>(from); i < partition.records.size();
         ++i)
        body += big_endian(partition.records[i].size(), LENGTH_PREFIX_BYTES) +
                partition.records[i];
    return {.body = body, .content_type = "application/octet-stream"};
}

void fleet_store::read(const http_request& request,
                       http_server::responder answer) {
    const std::string partition = partition_name(request);
    const std::int64_t from = query_number(request, "from", 0);
    const millis wait(query_number(request, "waitMs", 0));
    if (from < partitions_[partition].first_offset)
        return answer({.status = 410, .body = "{}"});
    if (wait.count() == 0 ||
        from < static_cast<std::int64_t>(partitions_[partition].records.size()))
        return answer(read_response(partition, from));
    waiting_.push_back(
        {partition, from, std::move(answer), event_loop::now() + wait});
}

void fleet_store::serve_waiting_reads() {
    const mono_time now = event_loop::now();
    for (auto at = waiting_.begin(); at != waiting_.end();) {
        const auto end = static_cast<std::int64_t>(
            partitions_[at->partition].records.size());
        if (at->from >= end && now < at->until) {
            ++at;
            continue;
        }
        at->answer(read_response(at->partition, at->from));
        at = waiting_.erase(at);
    }
}

} // namespace rattan::standin
