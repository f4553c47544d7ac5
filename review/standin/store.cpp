/** @file A stand-in of the platform's store and of its advice service. */
#include "net/event_loop.hpp"
#include "net/http_server.hpp"
#include "tool.hpp"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <deque>
#include <list>
#include <map>

namespace review {

namespace {

using nlohmann::json;
using rattan::event_loop;
using rattan::http_request;
using rattan::http_response;
using rattan::http_server;
using rattan::millis;
using rattan::mono_time;

constexpr std::size_t LENGTH_BYTES = 4;
constexpr std::size_t RECORD_BYTES = 262'144;
constexpr std::size_t CALL_BYTES = 2'097'152;
constexpr std::size_t PAGE_ITEMS = 500;
constexpr std::size_t PAGE_BYTES = 1'000'000;
constexpr millis ANSWER_TIME{4};
constexpr millis HEARTBEAT_LIMIT{4'500}; ///< Three periods of silence.

std::int64_t number(const http_request& request, const char* name,
                    std::int64_t fallback) {
    const auto found = request.query.find(name);
    return found == request.query.end() ? fallback : std::stoll(found->second);
}

std::string text(const http_request& request, const char* name) {
    const auto found = request.query.find(name);
    return found == request.query.end() ? "" : found->second;
}

std::string big_endian(std::uint64_t value, std::size_t bytes) {
    std::string out(bytes, '\0');
    for (std::size_t i = 0; i < bytes; ++i)
        out[bytes - 1 - i] = static_cast<char>((value >> (8 * i)) & 0xFFU);
    return out;
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

struct producer_state {
    std::int64_t epoch = 0;
    std::int64_t last = 0;
    std::deque<std::pair<std::int64_t, std::string>> answers; ///< Last five.
};

struct partition_state {
    std::vector<std::string> records;
    std::map<std::string, std::int64_t> newest; ///< Offset by key.
    std::map<std::string, producer_state> producers;

    [[nodiscard]] std::int64_t end() const {
        return static_cast<std::int64_t>(records.size());
    }
    static std::string key(const std::string& record) {
        return record.substr(1, static_cast<unsigned char>(record[0]));
    }
    static std::string value(const std::string& record) {
        return record.substr(1 + static_cast<unsigned char>(record[0]));
    }
    void append(const std::string& record) {
        if (value(record).empty())
            newest.erase(key(record));
        else
            newest[key(record)] = end();
        records.push_back(record);
    }
    void put(const std::string& key, const std::string& value) {
        append(std::string(1, static_cast<char>(key.size())) + key + value);
    }
};

class store {
public:
    store(event_loop& loop, const std::string& address,
          const std::string& admin)
        : loop_(loop),
          http_(loop, address, {.body_bytes = 8U << 20U, .connections = 2000},
                [this](const http_request& request,
                       const http_server::responder& answer) {
                    loop_.after(ANSWER_TIME, [this, request, answer] {
                        handle(request, answer);
                    });
                }),
          admin_(loop, admin, {.body_bytes = 8U << 20U},
                 [this](const http_request& request,
                        const http_server::responder& answer) {
                     answer(handle_admin(request));
                 }) {
        loop.every(millis(5), [this] {
            serve_waiting();
            expire_entries();
        });
    }

private:
    struct waiting_read {
        std::string partition;
        std::int64_t from = 0;
        http_server::responder answer;
        mono_time until{};
    };
    struct entry {
        json value;
        mono_time heard{};
    };

    static std::string partition_of(const http_request& request) {
        return text(request, "topic") + "/" +
               std::to_string(number(request, "part", 0));
    }

    http_response handle_admin(const http_request& request) {
        if (request.path == "/admin/put")
            partitions_[text(request, "topic") + "/0"].put(text(request, "key"),
                                                           request.body);
        if (request.path == "/admin/beat")
            note_heartbeat(text(request, "id"), json::parse(request.body));
        if (request.path == "/admin/down")
            down_until_[text(request, "part")] =
                event_loop::now() + millis(number(request, "ms", 0));
        if (request.path == "/admin/entry") {
            const auto found = entries_.find(text(request, "id"));
            return {.body = found == entries_.end()
                                ? "{}"
                                : found->second.value.dump()};
        }
        return {.body = "{}"};
    }

    bool is_down(const std::string& partition) {
        const auto found = down_until_.find(partition);
        return found != down_until_.end() && event_loop::now() < found->second;
    }

    /** A record is written when more than the entry's `seq` has changed. */
    void note_heartbeat(const std::string& id, json value) {
        json plain = value;
        plain.erase("seq");
        entry& known = entries_[id];
        known.heard = event_loop::now();
        if (plain == known.value)
            return;
        known.value = plain;
        partitions_["keyed.servers/0"].put(id, value.dump());
    }

    void expire_entries() {
        std::erase_if(entries_, [this](const auto& item) {
            if (event_loop::now() - item.second.heard < HEARTBEAT_LIMIT)
                return false;
            partitions_["keyed.servers/0"].put(item.first, "");
            return true;
        });
    }

    void handle(const http_request& request,
                const http_server::responder& answer) {
        if (is_down("all") || is_down(partition_of(request)))
            return answer({.status = 503, .body = "{}"});
        if (request.path == "/-/log-append")
            return answer(append(request));
        if (request.path == "/-/log-newest")
            return answer(newest(request));
        if (request.path == "/-/log-read")
            return read(request, answer);
        answer({.status = 404, .body = "{}"});
    }

    http_response append(const http_request& request) {
        const std::string topic = text(request, "topic");
        if (topic == "keyed.op" || topic == "keyed.servers")
            return {.status = 403, .body = "{}"};
        std::vector<std::string> records;
        std::size_t at = 0;
        while (at + LENGTH_BYTES <= request.body.size()) {
            std::size_t length = 0;
            for (std::size_t i = 0; i < LENGTH_BYTES; ++i)
                length = length << 8U |
                         static_cast<unsigned char>(request.body[at + i]);
            if (length > RECORD_BYTES)
                return {.status = 400, .body = "{}"};
            records.push_back(request.body.substr(at + LENGTH_BYTES, length));
            at += LENGTH_BYTES + length;
        }
        if (request.body.size() > CALL_BYTES)
            return {.status = 400, .body = "{}"};
        partition_state& partition = partitions_[partition_of(request)];
        if (number(request, "at", partition.end()) != partition.end())
            return {.status = 412,
                    .body = json({{"end", partition.end()}}).dump()};
        const std::string producer = text(request, "producer");
        const std::int64_t epoch = number(request, "epoch", 0);
        const std::int64_t sequence = number(request, "seq", 0);
        if (!producer.empty()) {
            const auto found = partition.producers.find(producer);
            if (found != partition.producers.end()) {
                const producer_state& known = found->second;
                if (epoch < known.epoch)
                    return {.status = 409, .body = R"({"reason":"fenced"})"};
                if (epoch == known.epoch) {
                    for (const auto& [number, body] : known.answers)
                        if (number == sequence)
                            return {.body = body};
                    if (sequence != known.last + 1)
                        return {.status = 409,
                                .body = json({{"reason", "seq"},
                                              {"seq", known.last + 1}})
                                            .dump()};
                }
            }
        }
        const std::int64_t offset = partition.end();
        for (const std::string& record : records)
            partition.append(record);
        const std::string body =
            json({{"offset", offset}, {"end", partition.end()}}).dump();
        if (!producer.empty()) {
            producer_state& known = partition.producers[producer];
            if (epoch > known.epoch)
                known = {.epoch = epoch};
            known.last = sequence;
            known.answers.emplace_back(sequence, body);
            if (known.answers.size() > 5)
                known.answers.pop_front();
        }
        return {.body = body};
    }

    http_response newest(const http_request& request) {
        const partition_state& partition = partitions_[partition_of(request)];
        json items = json::array();
        std::size_t bytes = 0;
        auto at = partition.newest.upper_bound(text(request, "after"));
        for (; at != partition.newest.end() && items.size() < PAGE_ITEMS &&
               bytes < PAGE_BYTES;
             ++at) {
            const std::string value = partition_state::value(
                partition.records[static_cast<std::size_t>(at->second)]);
            bytes += value.size();
            items.push_back({{"key", at->first},
                             {"value", base64(value)},
                             {"offset", at->second}});
        }
        return {.body = json({{"items", items},
                              {"hasMore", at != partition.newest.end()},
                              {"end", partition.end()}})
                            .dump()};
    }

    http_response read_answer(const std::string& name, std::int64_t from) {
        const partition_state& partition = partitions_[name];
        std::string body =
            big_endian(partition.records.size(), 8) + big_endian(0, 8);
        for (std::size_t i = static_cast<std::size_t>(from);
             i < partition.records.size() && body.size() < PAGE_BYTES; ++i)
            body += big_endian(partition.records[i].size(), LENGTH_BYTES) +
                    partition.records[i];
        return {.body = body, .content_type = "application/octet-stream"};
    }

    void read(const http_request& request,
              const http_server::responder& answer) {
        const std::string name = partition_of(request);
        const std::int64_t from = number(request, "from", 0);
        const millis wait(number(request, "waitMs", 0));
        if (wait.count() == 0 || from < partitions_[name].end())
            return answer(read_answer(name, from));
        waiting_.push_back({name, from, answer, event_loop::now() + wait});
    }

    void serve_waiting() {
        const mono_time now = event_loop::now();
        for (auto at = waiting_.begin(); at != waiting_.end();) {
            if (is_down("all") || is_down(at->partition)) {
                at->answer({.status = 503, .body = "{}"});
                at = waiting_.erase(at);
                continue;
            }
            if (at->from >= partitions_[at->partition].end() &&
                now < at->until) {
                ++at;
                continue;
            }
            at->answer(read_answer(at->partition, at->from));
            at = waiting_.erase(at);
        }
    }

    event_loop& loop_;
    std::map<std::string, partition_state> partitions_;
    std::map<std::string, entry> entries_;
    std::map<std::string, mono_time> down_until_;
    std::list<waiting_read> waiting_;
    http_server http_;
    http_server admin_;
};

} // namespace

int run_store(const arguments& args) {
    event_loop loop;
    store platform(loop, args[0], args[2]);
    // Every runner may run every step; a call takes 5 ms.
    const http_server advice(
        loop, args[1], {},
        [&](const http_request& request, const http_server::responder& answer) {
            const json body = json::parse(request.body);
            json good = json::array();
            for (const json& id : body.at("workers"))
                good.push_back({id, "ticket-" + id.get<std::string>()});
            const std::string reply =
                json({{"good", good}, {"validMs", 2500}}).dump();
            loop.after(millis(5), [answer, reply] { answer({.body = reply}); });
        });
    loop.on_signals([&] { loop.stop(); }, [] {});
    loop.run();
    return 0;
}

} // namespace review
