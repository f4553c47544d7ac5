#include "model_store.hpp"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <algorithm>

namespace review {

using nlohmann::json;
using rattan::event_loop;
using rattan::http_request;
using rattan::http_response;
using rattan::http_server;
using rattan::millis;

namespace {

constexpr std::size_t LENGTH_BYTES = 4;
constexpr std::size_t OFFSET_BYTES = 8;
constexpr std::size_t PAGE_ITEMS = 500;
constexpr std::size_t PAGE_BYTES = 1U << 20U;
constexpr std::size_t READ_BYTES = 1U << 20U;
constexpr std::size_t REMEMBERED_APPENDS = 5;
constexpr millis WAITING_PERIOD{2};

std::string text_of(const http_request& request, const char* name) {
    const auto found = request.query.find(name);
    return found == request.query.end() ? "" : found->second;
}

std::int64_t number_of(const http_request& request, const char* name,
                       std::int64_t fallback) {
    const std::string text = text_of(request, name);
    return text.empty() ? fallback : std::stoll(text);
}

std::string partition_of(const http_request& request) {
    return text_of(request, "topic") + "/" +
           std::to_string(number_of(request, "part", 0));
}

std::string big_endian(std::uint64_t value, std::size_t bytes) {
    std::string out(bytes, '\0');
    for (std::size_t i = 0; i < bytes; ++i)
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
    out.resize(static_cast<std::size_t>(size));
    return out;
}

} // namespace

model_store::model_store(event_loop& loop, const std::string& address,
                         store_times times)
    : loop_(loop), times_(times),
      server_(loop, address, {.body_bytes = 4U << 20U, .connections = 1000},
              [this](const http_request& request,
                     const http_server::responder& answer) {
                  loop_.after(times_.answer, [this, request, answer] {
                      handle(request, answer);
                  });
              }) {
    loop.every(WAITING_PERIOD, [this] { serve_waiting(); });
}

void model_store::add(partition_state& partition, const std::string& record) {
    const auto offset = static_cast<std::int64_t>(partition.records.size());
    partition.records.push_back(record);
    if (value_of(record).empty())
        partition.newest.erase(key_of(record));
    else
        partition.newest[key_of(record)] = offset;
}

void model_store::put(const std::string& topic, const std::string& key,
                      const std::string& value) {
    add(partitions_[topic + "/0"],
        std::string(1, static_cast<char>(key.size())) + key + value);
}

void model_store::handle(const http_request& request,
                         const http_server::responder& answer) {
    if (request.path == "/-/log-newest")
        return answer(newest(request));
    if (request.path == "/-/log-append") {
        partition_state& partition = partitions_[partition_of(request)];
        partition.free_at =
            std::max(partition.free_at, event_loop::now()) + times_.append;
        loop_.after(partition.free_at - event_loop::now(),
                    [this, request, answer] { answer(append(request)); });
        return;
    }
    if (request.path != "/-/log-read")
        return answer({.status = 404, .body = "{}"});
    const std::string partition = partition_of(request);
    const std::int64_t from = number_of(request, "from", 0);
    const millis wait(number_of(request, "waitMs", 0));
    if (wait.count() == 0 ||
        from < static_cast<std::int64_t>(partitions_[partition].records.size()))
        return answer(read(partition, from));
    waiting_.push_back({partition, from, answer, event_loop::now() + wait});
}

http_response model_store::append(const http_request& request) {
    partition_state& partition = partitions_[partition_of(request)];
    const auto end = static_cast<std::int64_t>(partition.records.size());
    const std::string producer = text_of(request, "producer");
    const std::int64_t sequence = number_of(request, "seq", 0);
    producer_state* state = nullptr;
    if (!producer.empty()) {
        const std::int64_t epoch = number_of(request, "epoch", 0);
        state = &partition.producers[producer];
        if (state->began && epoch < state->epoch)
            return {.status = 409, .body = R"({"reason":"fenced"})"};
        if (state->began && epoch == state->epoch) {
            for (const append_result& earlier : state->last)
                if (earlier.sequence == sequence)
                    return earlier.response;
            if (sequence != state->sequence + 1)
                return {.status = 409,
                        .body = json({{"reason", "seq"},
                                      {"seq", state->sequence + 1}})
                                    .dump()};
        }
        if (!state->began || epoch > state->epoch)
            *state = {.epoch = epoch, .sequence = sequence - 1, .began = true};
    }
    if (number_of(request, "at", end) != end)
        return {.status = 412, .body = json({{"end", end}}).dump()};
    for (std::size_t at = 0; at + LENGTH_BYTES <= request.body.size();) {
        std::size_t length = 0;
        for (std::size_t i = 0; i < LENGTH_BYTES; ++i)
            length =
                length << 8U | static_cast<unsigned char>(request.body[at + i]);
        add(partition, request.body.substr(at + LENGTH_BYTES, length));
        at += LENGTH_BYTES + length;
    }
    const http_response response{
        .body =
            json({{"offset", end}, {"end", partition.records.size()}}).dump()};
    if (state != nullptr) {
        state->sequence = sequence;
        state->last.push_back({sequence, response});
        if (state->last.size() > REMEMBERED_APPENDS)
            state->last.pop_front();
    }
    return response;
}

http_response model_store::newest(const http_request& request) {
    const partition_state& partition = partitions_[partition_of(request)];
    json items = json::array();
    std::size_t bytes = 0;
    auto at = partition.newest.upper_bound(text_of(request, "after"));
    for (; at != partition.newest.end() && items.size() < PAGE_ITEMS &&
           bytes < PAGE_BYTES;
         ++at) {
        std::string value = base64(
            value_of(partition.records[static_cast<std::size_t>(at->second)]));
        bytes += value.size();
        items.push_back({{"key", at->first},
                         {"value", std::move(value)},
                         {"offset", at->second}});
    }
    return {.body = json({{"items", items},
                          {"hasMore", at != partition.newest.end()},
                          {"end", partition.records.size()}})
                        .dump(-1, ' ', false, json::error_handler_t::replace)};
}

http_response model_store::read(const std::string& name, std::int64_t from) {
    const partition_state& partition = partitions_[name];
    std::string body = big_endian(partition.records.size(), OFFSET_BYTES) +
                       big_endian(0, OFFSET_BYTES);
    for (auto i = static_cast<std::size_t>(from);
         i < partition.records.size() && body.size() < READ_BYTES; ++i)
        body += big_endian(partition.records[i].size(), LENGTH_BYTES) +
                partition.records[i];
    return {.body = std::move(body),
            .content_type = "application/octet-stream"};
}

void model_store::serve_waiting() {
    const auto now = event_loop::now();
    for (auto at = waiting_.begin(); at != waiting_.end();) {
        const auto end = static_cast<std::int64_t>(
            partitions_[at->partition].records.size());
        if (at->from >= end && now < at->until) {
            ++at;
            continue;
        }
        at->answer(read(at->partition, at->from));
        at = waiting_.erase(at);
    }
}

} // namespace review
