/** @file Requests that the relay answers: of programs, peers, operators. */
#include "base/key_func.hpp"
#include "base/log_func.hpp"
#include "fold/record_codec.hpp"
#include "fold/snapshot_codec.hpp"
#include "net/problem_func.hpp"
#include "net/thrift_codec.hpp"
#include "relay/relay_service.hpp"

#include <algorithm>

namespace rattan {

using nlohmann::json;

namespace {

constexpr millis PUBLISH_TIMEOUT{5'000};
constexpr std::int64_t MAX_READ_WAIT_MS = 5'000;
constexpr size_t MAX_PAGE_BYTES = 4U << 20U;
constexpr size_t MAX_WAITING_READS = 1'000;

/** The RPC status for the result of an append. */
wire::status::type status_of(submit_result result) {
    switch (result) {
    case submit_result::appended:
        return wire::status::OK;
    case submit_result::refused:
        return wire::status::UNAVAILABLE;
    case submit_result::unknown:
        return wire::status::UNKNOWN;
    }
    return wire::status::UNKNOWN;
}

} // namespace

void relay_service::register_rpc_handlers() {
    rpc_.on(wire::method::READ, [this](const std::string& body,
                                       const rpc_server::responder& answer) {
        const auto request = wire_decode<wire::read_request>(body);
        if (answer_read(request, answer, request.wait_ms <= 0))
            return;
        if (waiting_reads_.size() >= MAX_WAITING_READS)
            return answer(wire::status::UNAVAILABLE, "");
        const auto wait =
            std::min<std::int64_t>(request.wait_ms, MAX_READ_WAIT_MS);
        waiting_reads_.push_back(
            {request, answer, event_loop::now() + millis(wait)});
    });
    rpc_.on(wire::method::SNAPSHOT,
            [this](const std::string&, const rpc_server::responder& answer) {
                if (!serving_)
                    return answer(wire::status::UNAVAILABLE, "");
                wire::snapshot_reply reply;
                reply.next_offset = fold_.state().next_offset;
                reply.state = encode_snapshot(fold_.state());
                metrics_.counter("snapshot_bytes_sent") += reply.state.size();
                answer(wire::status::OK, wire_encode(reply));
            });
    rpc_.on(wire::method::APPEND, [this](const std::string& body,
                                         const rpc_server::responder& answer) {
        on_append(wire_decode<wire::append_request>(body), answer);
    });
}

bool relay_service::answer_read(const wire::read_request& request,
                                const rpc_server::responder& answer,
                                bool force) {
    if (!serving_) {
        answer(wire::status::UNAVAILABLE, "");
        return true;
    }
    const mono_time now = event_loop::now();
    wire::read_reply reply;
    reply.earliest = tail_first_offset_;
    reply.next_offset = fold_.state().next_offset;
    reply.current_age_ms = (now - fresh_.current_at).count();
    reply.checked_age_ms = (now - fresh_.checked_at).count();
    reply.log_reachable = fresh_.log_reachable;
    reply.hosts_version = hosts_.version;
    if (request.hosts_version != hosts_.version)
        reply.__set_hosts(hosts_text_);
    const auto begin =
        std::lower_bound(tail_.begin(), tail_.end(), request.first,
                         [](const stored_record& record, std::int64_t offset) {
                             return record.offset < offset;
                         });
    size_t bytes = 0;
    for (auto at = begin; at != tail_.end() &&
                          static_cast<std::int32_t>(reply.records.size()) <
                              request.max_records &&
                          bytes < MAX_PAGE_BYTES;
         ++at) {
        wire::log_record record;
        record.offset = at->offset;
        record.time_ms = at->time_ms;
        record.body = at->body;
        bytes += at->body.size();
        reply.records.push_back(std::move(record));
    }
    const bool has_news = !reply.records.empty() || reply.__isset.hosts ||
                          request.first < tail_first_offset_;
    if (!has_news && !force)
        return false;
    const std::string text = wire_encode(reply);
    metrics_.counter("read_bytes_sent") += text.size();
    ++metrics_.counter("reads_answered");
    answer(wire::status::OK, text);
    return true;
}

void relay_service::answer_waiting() {
    const mono_time now = event_loop::now();
    std::erase_if(waiting_reads_, [&](const waiting_read& waiting) {
        return answer_read(waiting.request, waiting.answer,
                           now >= waiting.deadline);
    });
    std::erase_if(waiting_publishes_, [&](const waiting_publish& waiting) {
        if (now < waiting.deadline)
            return false;
        waiting.answer(make_problem(
            {.status = 504,
             .type = "publish-unknown",
             .detail = "the change has not been read back from the log yet; "
                       "check the version in force before publishing again",
             .state = run_state::may_have_run}));
        return true;
    });
}

void relay_service::send_next_append() {
    if (!appends_)
        return;
    const auto group = appends_->next_group(event_loop::now());
    if (!group)
        return;
    metrics_.counter("log_appends") = appends_->appends();
    metrics_.counter("log_append_bytes") = appends_->bytes();
    log_.append("cell", *group,
                [this](append_result result, std::int64_t offset) {
                    const auto answer = result == append_result::appended
                                            ? submit_result::appended
                                        : result == append_result::refused
                                            ? submit_result::refused
                                            : submit_result::unknown;
                    if (answer != submit_result::appended)
                        ++metrics_.counter("log_appends_unanswered");
                    appends_->on_answer(answer, offset, event_loop::now());
                    metrics_.counter("log_entries") = appends_->entries();
                    send_next_append();
                });
}

void relay_service::on_append(const wire::append_request& request,
                              const rpc_server::responder& answer) {
    if (!appends_ || shutting_down_)
        return answer(wire::status::UNAVAILABLE, "");
    if (request.entries.empty()) {
        appends_->when_idle([answer] { answer(wire::status::OK, ""); });
        return;
    }
    const bool queued = appends_->submit(
        request.entries, event_loop::now() + millis(request.expire_ms),
        [answer](submit_result result, std::int64_t offset) {
            wire::append_reply reply;
            reply.offset = offset;
            answer(status_of(result), wire_encode(reply));
        });
    if (!queued)
        return answer(wire::status::UNAVAILABLE, "");
    loop_.defer([this] { send_next_append(); });
}

bool relay_service::authenticate_operator(const http_request& request,
                                          std::string& name) const {
    const auto shown = parse_authorization(request.authorization);
    if (!shown)
        return false;
    const auto found = settings_.operators.find(shown->id);
    if (found == settings_.operators.end())
        return false;
    const size_t colon = found->second.find(':');
    if (colon == std::string::npos)
        return false;
    name = shown->id;
    return secret_matches(found->second.substr(0, colon),
                          found->second.substr(colon + 1), shown->secret);
}

void relay_service::on_http(const http_request& request,
                            const http_server::responder& answer) {
    const bool handled =
        answer_admin(request, metrics_,
                     {.is_ready =
                          [this] {
                              return serving_ && !shutting_down_ &&
                                     fresh_.is_fresh(event_loop::now());
                          },
                      .dump = [this] { return dump(); },
                      .state = [this] { return state_json(); }},
                     answer);
    if (handled)
        return;
    std::string name;
    if (!authenticate_operator(request, name))
        return answer(make_problem({.status = 401,
                                    .type = "operator-key-refused",
                                    .detail = "Authorization must be Bearer "
                                              "and a valid operator key, "
                                              "as NAME.SECRET"}));
    if (request.method == "GET" && request.path == "/v1/config") {
        const config_state& config = fold_.state().config;
        return answer({.body = json({{"version", config.version.value},
                                     {"operator", config.operator_name},
                                     {"accepted_ms", config.accepted_ms},
                                     {"document", config.document}})
                                   .dump() +
                               "\n"});
    }
    if (request.method == "POST" && request.path == "/v1/config")
        return publish(request, answer);
    if (request.method == "POST" && request.path == "/v1/cancel")
        return cancel_jobs(request, answer);
    answer(make_problem({.status = 404,
                         .type = "unknown-path",
                         .detail = request.method + " " + request.path}));
}

void relay_service::publish(const http_request& request,
                            const http_server::responder& answer) {
    config_change change;
    try {
        const json in = json::parse(request.body);
        change.base.value = in.at("base").get<std::int64_t>();
        change.set = in.at("set");
        change.drop = in.at("drop");
    } catch (const json::exception& failure) {
        return answer(make_problem(
            {.status = 400, .type = "malformed", .detail = failure.what()}));
    }
    std::string name;
    authenticate_operator(request, name);
    change.operator_name = name;
    change.token = random_hex(16);
    const mono_time deadline = event_loop::now() + PUBLISH_TIMEOUT;
    const std::string token = change.token;
    const auto unavailable = [answer] {
        answer(make_problem({.status = 503,
                             .type = "log-out-of-reach",
                             .detail = "this relay can't append to the log "
                                       "now; nothing was published",
                             .retry_after_s = 1}));
    };
    if (!appends_ || shutting_down_)
        return unavailable();
    const bool queued = appends_->submit(
        {encode_entry(change)}, deadline,
        [this, token, unavailable](submit_result result, std::int64_t) {
            if (result != submit_result::refused)
                return;
            const auto erased = std::erase_if(
                waiting_publishes_, [&](const waiting_publish& waiting) {
                    return waiting.token == token;
                });
            if (erased > 0)
                unavailable();
        });
    if (!queued)
        return unavailable();
    waiting_publishes_.push_back({token, answer, deadline + millis(1'000)});
    send_next_append();
}

void relay_service::cancel_jobs(const http_request& request,
                                const http_server::responder& answer) {
    std::string organisation;
    std::string plan;
    try {
        const json in = json::parse(request.body);
        organisation = in.value("team", "");
        plan = in.value("plan", "");
    } catch (const json::exception& failure) {
        return answer(make_problem(
            {.status = 400, .type = "malformed", .detail = failure.what()}));
    }
    if (organisation.empty() && plan.empty())
        return answer(
            make_problem({.status = 400,
                          .type = "malformed",
                          .detail = "team, plan or both are required"}));
    if (!appends_ || shutting_down_)
        return answer(make_problem({.status = 503,
                                    .type = "log-out-of-reach",
                                    .detail = "this relay can't append to the "
                                              "log now; nothing was cancelled",
                                    .retry_after_s = 1}));
    std::int64_t count = 0;
    for (const auto& [id, job] : fold_.state().jobs) {
        if ((!organisation.empty() &&
             job.spec.organisation.value != organisation) ||
            (!plan.empty() && job.spec.plan.value != plan))
            continue;
        if (!appends_->submit(
                {encode_entry(job_cancel{id, job.spec.organisation})},
                event_loop::now() + PUBLISH_TIMEOUT, nullptr))
            break;
        ++count;
    }
    send_next_append();
    answer(
        {.status = 202, .body = json({{"cancelling", count}}).dump() + "\n"});
}

json relay_service::state_json() const {
    const mono_time now = event_loop::now();
    const config_state& config = fold_.state().config;
    return {{"program", "relay"},
            {"host", settings_.process.host.value},
            {"version", config.version.value},
            {"accepted_ms", config.accepted_ms},
            {"next_offset", fold_.state().next_offset},
            {"current_age_ms", (now - fresh_.current_at).count()},
            {"log_reachable", fresh_.log_reachable},
            {"ready", serving_ && !shutting_down_}};
}

void relay_service::log_dump() const {
    log_state_dump(dump());
}

json relay_service::dump() const {
    json owners = json::object();
    for (const auto& [centre, owner] : fold_.state().owners)
        owners[centre.value] = {{"claim", owner.claim.value},
                                {"host", owner.host.value}};
    json quotas = json::array();
    for (const auto& [key, slices] : fold_.state().quotas)
        for (const auto& [holder, slice] : slices)
            quotas.push_back({{"team", key.organisation.value},
                              {"kind", key.kind},
                              {"holder", holder.value},
                              {"amount", slice.amount},
                              {"want", slice.want}});
    return {{"state", state_json()},
            {"owners", owners},
            {"quotas", quotas},
            {"live_jobs", fold_.state().jobs.size()},
            {"ended_jobs", fold_.state().ended.size()},
            {"workers", fold_.state().workers.size()},
            {"tail_records", tail_.size()},
            {"verdicts", fold_.verdict_counts()},
            {"counters", metrics_.counters()}};
}

} // namespace rattan
