#include "fleet_store.hpp"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <algorithm>

namespace rattan::standin {

using nlohmann::json;

namespace {

constexpr size_t LENGTH_BYTES = 4;
constexpr millis WAKE_PERIOD{5};

std::int64_t number(const http_request& request, const char* name,
                    std::int64_t fallback) {
    const auto found = request.query.find(name);
    return found == request.query.end() ? fallback : std::stoll(found->second);
}

std::string text(const http_request& request, const char* name) {
    const auto found = request.query.find(name);
    return found == request.query.end() ? "" : found->second;
}

/** Names the partition that a request is about. */
std::string partition(const http_request& request) {
    return text(request, "topic") + "/" +
           std::to_string(number(request, "part", 0));
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

void add(fleet_topic& topic, const std::string& record) {
    const auto offset = static_cast<std::int64_t>(topic.records.size());
    topic.records.push_back(record);
    if (value_of(record).empty())
        topic.newest.erase(key_of(record));
    else
        topic.newest[key_of(record)] = offset;
}

} // namespace

fleet_store::fleet_store(event_loop& loop, const std::string& address,
                         const std::string& side_address)
    : loop_(loop),
      http_(loop, address, {.body_bytes = 4U << 20U, .connections = 2000},
            [this](const http_request& request, http_server::responder answer) {
                handle(request, std::move(answer));
            }),
      side_(loop, side_address, {.body_bytes = 4U << 20U, .connections = 2000},
            [this](const http_request& request, http_server::responder answer) {
                if (side_silent_)
                    lost_.push_back(std::move(answer));
                else
                    handle(request, std::move(answer));
            }) {
    loop.every(WAKE_PERIOD, [this] { wake(); });
}

void fleet_store::put(const std::string& topic, const std::string& key,
                      const std::string& value) {
    add(topics_[topic + "/0"],
        std::string(1, static_cast<char>(key.size())) + key + value);
}

http_response fleet_store::administer(const http_request& request) {
    down_ = number(request, "down", down_ ? 1 : 0) != 0;
    lose_answers_ = number(request, "lose", lose_answers_ ? 1 : 0) != 0;
    side_silent_ = number(request, "side_silent", side_silent_ ? 1 : 0) != 0;
    if (const std::string part = text(request, "silent_part"); !part.empty())
        silent_parts_.insert(part);
    if (!request.query.contains("put"))
        return {.body = "{}"};
    put(text(request, "topic"), text(request, "put"), request.body);
    return {.body = "{}"};
}

void fleet_store::handle(const http_request& request,
                         http_server::responder answer) {
    if (down_)
        return answer({.status = 503, .body = "{}"});
    if (silent_parts_.contains(partition(request)))
        return lost_.push_back(std::move(answer));
    if (request.path == "/-/log-read")
        return read(request, std::move(answer));
    if (request.path == "/-/log-newest")
        return answer(newest(request));
    if (request.path != "/-/log-append")
        return answer({.status = 404, .body = "{}"});
    const http_response reply = append(request);
    if (lose_answers_)
        lost_.push_back(std::move(answer));
    else
        answer(reply);
}

http_response fleet_store::append(const http_request& request) {
    fleet_topic& topic = topics_[partition(request)];
    const auto end = static_cast<std::int64_t>(topic.records.size());
    const std::int64_t at = number(request, "at", end);
    if (at != end)
        return {.status = 412, .body = json({{"end", end}}).dump()};
    if (const std::string producer = text(request, "producer");
        !producer.empty()) {
        const std::int64_t epoch = number(request, "epoch", 0);
        const std::int64_t sequence = number(request, "seq", 0);
        const auto known = topic.producers.find(producer);
        if (known != topic.producers.end()) {
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
        topic.producers[producer] = {epoch, sequence};
    }
    for (size_t from = 0; from + LENGTH_BYTES <= request.body.size();) {
        size_t length = 0;
        for (size_t i = 0; i < LENGTH_BYTES; ++i)
            length = length << 8U |
                     static_cast<unsigned char>(request.body[from + i]);
        add(topic, request.body.substr(from + LENGTH_BYTES, length));
        from += LENGTH_BYTES + length;
    }
    return {.body =
                json({{"offset", end}, {"end", topic.records.size()}}).dump()};
}

http_response fleet_store::newest(const http_request& request) {
    const fleet_topic& topic = topics_[partition(request)];
    const std::string after = text(request, "after");
    json items = json::array();
    constexpr size_t PAGE = 500;
    auto at = topic.newest.upper_bound(after);
    for (; at != topic.newest.end() && items.size() < PAGE; ++at)
        items.push_back(
            {{"key", at->first},
             {"value",
              base64(value_of(topic.records[static_cast<size_t>(at->second)]))},
             {"offset", at->second}});
    return {.body = json({{"items", items},
                          {"hasMore", at != topic.newest.end()},
                          {"end", topic.records.size()}})
                        .dump()};
}

http_response fleet_store::read_now(const std::string& name,
                                    std::int64_t from) {
    const fleet_topic& topic = topics_[name];
    std::string body = big_endian(topic.records.size(), 8) +
                       big_endian(static_cast<std::uint64_t>(topic.first), 8);
    for (size_t i = static_cast<size_t>(from); i < topic.records.size(); ++i)
        body += big_endian(topic.records[i].size(), LENGTH_BYTES) +
                topic.records[i];
    return {.body = body, .content_type = "application/octet-stream"};
}

void fleet_store::read(const http_request& request,
                       http_server::responder answer) {
    const std::string topic = partition(request);
    const std::int64_t from = number(request, "from", 0);
    const millis wait(number(request, "waitMs", 0));
    if (from < topics_[topic].first)
        return answer({.status = 410, .body = "{}"});
    if (wait.count() == 0 ||
        from < static_cast<std::int64_t>(topics_[topic].records.size()))
        return answer(read_now(topic, from));
    waiting_.push_back(
        {topic, from, std::move(answer), event_loop::now() + wait});
}

void fleet_store::wake() {
    const mono_time now = event_loop::now();
    for (auto at = waiting_.begin(); at != waiting_.end();) {
        const auto end =
            static_cast<std::int64_t>(topics_[at->topic].records.size());
        if (at->from >= end && now < at->until) {
            ++at;
            continue;
        }
        at->answer(read_now(at->topic, at->from));
        at = waiting_.erase(at);
    }
}

} // namespace rattan::standin
