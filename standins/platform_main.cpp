/** @file A stand-in of the platform: record streams and a delayed host list. */
#include "net/event_loop.hpp"
#include "net/http_server.hpp"
#include "net/program_runtime.hpp"
#include "rattan/error_type.hpp"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <deque>
#include <iostream>
#include <list>
#include <map>

DEFINE_string(listen, "127.0.0.1:9000", "IP number and port");

namespace {

using nlohmann::json;
using rattan::event_loop;
using rattan::http_request;
using rattan::http_response;
using rattan::http_server;
using rattan::millis;
using rattan::mono_time;

struct stored_record {
    std::int64_t offset;
    std::int64_t time_ms;
    std::string body;
};

/** An append-only stream of records. */
struct stream {
    std::deque<stored_record> records;
    std::int64_t next_offset = 0;
    std::uint64_t appends = 0;
    std::uint64_t bytes = 0;
};

/** A long-polling read that waits for the next record. */
struct waiting_read {
    std::string stream_name;
    std::int64_t first;
    int limit;
    http_server::responder answer;
    mono_time until;
};

/**
 * The platform's service. `/admin/fault` sets the faults of a test:
 * - outage: responds with 503 to all requests except `/admin/`
 * - lose_answers: appends to the stream `cell` this many times but responds
 *   with 500
 * - slow_ms: delays all requests except `/admin/`
 */
class platform {
public:
    explicit platform(event_loop& loop)
        : loop_(loop), http_(loop, FLAGS_listen,
                             {.body_bytes = 64U << 20U, .connections = 4'000},
                             [this](const http_request& request,
                                    const http_server::responder& answer) {
                                 handle(request, answer);
                             }) {
        loop.every(millis(5), [this] { serve_waiting_reads(); });
    }

private:
    void handle(const http_request& request,
                const http_server::responder& answer) {
        if (request.path.starts_with("/admin/"))
            return admin(request, answer);
        if (outage_) {
            ++outage_hits_;
            return answer({.status = 503, .body = "{}"});
        }
        if (slow_ms_ > 0) {
            loop_.after(millis(slow_ms_),
                        [this, request, answer] { serve(request, answer); });
            return;
        }
        serve(request, answer);
    }

    void serve(const http_request& request,
               const http_server::responder& answer) {
        const std::string prefix = "/v1/streams/";
        if (request.path == "/v1/hosts")
            return answer({.body = hosts_});
        if (!request.path.starts_with(prefix) ||
            !request.path.ends_with("/records"))
            return answer({.status = 404, .body = "{}"});
        const std::string stream_name = request.path.substr(
            prefix.size(), request.path.size() - prefix.size() -
                               std::string("/records").size());
        if (request.method == "POST")
            return append(stream_name, request, answer);
        read(stream_name, request, answer);
    }

    void append(const std::string& stream_name, const http_request& request,
                const http_server::responder& answer) {
        stream& target = streams_[stream_name];
        const std::int64_t offset = target.next_offset++;
        target.records.push_back({offset, rattan::wall_millis(), request.body});
        ++target.appends;
        target.bytes += request.body.size();
        if (lose_answers_ > 0 && stream_name == "cell") {
            --lose_answers_;
            ++answers_lost_;
            answer({.status = 500, .body = "{}"});
        } else {
            answer({.body = json({{"offset", offset}}).dump()});
        }
        serve_waiting_reads();
    }

    static int query_int(const http_request& request, const std::string& field,
                         int fallback) {
        const auto found = request.query.find(field);
        return found == request.query.end() ? fallback
                                            : std::stoi(found->second);
    }

    void read(const std::string& stream_name, const http_request& request,
              const http_server::responder& answer) {
        stream& source = streams_[stream_name];
        if (request.query.contains("last")) {
            const std::int64_t first = source.records.empty()
                                           ? source.next_offset
                                           : source.next_offset - 1;
            return answer(make_page(source, first, 1));
        }
        const waiting_read waiting{
            stream_name, query_int(request, "first", 0),
            query_int(request, "limit", 100), answer,
            event_loop::now() + millis(query_int(request, "wait_ms", 0))};
        if (source.next_offset > waiting.first ||
            event_loop::now() >= waiting.until)
            return answer(make_page(source, waiting.first, waiting.limit));
        waiting_.push_back(waiting);
    }

    static http_response make_page(const stream& source, std::int64_t first,
                                   int limit) {
        json records = json::array();
        size_t bytes = 0;
        for (const stored_record& record : source.records) {
            if (record.offset < first)
                continue;
            if (static_cast<int>(records.size()) >= limit ||
                bytes > (4U << 20U))
                break;
            bytes += record.body.size();
            records.push_back({{"offset", record.offset},
                               {"time_ms", record.time_ms},
                               {"body", record.body}});
        }
        const std::int64_t earliest = source.records.empty()
                                          ? source.next_offset
                                          : source.records.front().offset;
        return {.body = json({{"earliest", earliest},
                              {"next", source.next_offset},
                              {"records", records}})
                            .dump()};
    }

    void serve_waiting_reads() {
        const mono_time now = event_loop::now();
        for (auto at = waiting_.begin(); at != waiting_.end();) {
            if (outage_) {
                at->answer({.status = 503, .body = "{}"});
                at = waiting_.erase(at);
                continue;
            }
            const stream& source = streams_[at->stream_name];
            if (source.next_offset <= at->first && now < at->until) {
                ++at;
                continue;
            }
            at->answer(make_page(source, at->first, at->limit));
            at = waiting_.erase(at);
        }
    }

    void admin(const http_request& request,
               const http_server::responder& answer) {
        if (request.path == "/admin/stats") {
            json stats = {{"outage_hits", outage_hits_},
                          {"answers_lost", answers_lost_}};
            for (const auto& [stream_name, counters] : streams_)
                stats["streams"][stream_name] = {
                    {"appends", counters.appends},
                    {"bytes", counters.bytes},
                    {"next", counters.next_offset}};
            return answer({.body = stats.dump()});
        }
        const json body = json::parse(request.body, nullptr, false);
        if (body.is_discarded())
            return answer({.status = 400, .body = "{}"});
        if (request.path == "/admin/hosts") {
            // Readers see the new list only after `lag_ms`.
            const std::int64_t version = ++hosts_version_;
            json hosts = body;
            const auto lag = body.value("lag_ms", 0);
            hosts.erase("lag_ms");
            hosts["version"] = version;
            loop_.after(millis(lag),
                        [this, text = hosts.dump()] { hosts_ = text; });
        } else if (request.path == "/admin/fault") {
            outage_ = body.value("outage", outage_);
            lose_answers_ = body.value("lose_answers", lose_answers_);
            slow_ms_ = body.value("slow_ms", slow_ms_);
        } else if (request.path == "/admin/retain") {
            auto& records = streams_[body.at("stream")].records;
            const auto keep = body.at("keep").get<size_t>();
            while (records.size() > keep)
                records.pop_front();
        }
        answer({.body = "{}"});
    }

    event_loop& loop_;
    std::map<std::string, stream> streams_;
    std::list<waiting_read> waiting_;
    std::string hosts_ = R"({"version":0,"workers":[],"runners":[]})";
    std::int64_t hosts_version_ = 0;
    bool outage_ = false;
    int lose_answers_ = 0;
    int slow_ms_ = 0;
    std::uint64_t outage_hits_ = 0;
    std::uint64_t answers_lost_ = 0;
    http_server http_;
};

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage(
        "--listen IP:PORT\n  Stand-in of the platform for tests.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        event_loop loop;
        const platform service(loop);
        loop.on_signals([&] { loop.stop(); }, [] {});
        loop.run();
    } catch (const rattan::error& failure) {
        std::cerr << "standin_platform: " << failure.what() << "\n";
        return 1;
    }
}
