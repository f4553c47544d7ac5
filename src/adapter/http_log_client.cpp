#include "adapter/http_log_client.hpp"

#include <nlohmann/json.hpp>

namespace rattan {

using nlohmann::json;

namespace {

constexpr millis CALL_TIMEOUT{1'000};
/** With this status the log guarantees that the record is not appended. */
constexpr int STATUS_NOT_APPENDED = 503;

/** Decodes a page; `reached` is false if it is malformed. */
log_page decode_page(const std::string& body) {
    try {
        const json in = json::parse(body);
        log_page page;
        page.earliest = in.at("earliest").get<std::int64_t>();
        page.next = in.at("next").get<std::int64_t>();
        for (const json& record : in.at("records"))
            page.records.push_back(
                {.offset = record.at("offset").get<std::int64_t>(),
                 .time_ms = record.at("time_ms").get<std::int64_t>(),
                 .body = record.at("body").get<std::string>()});
        page.reached = true;
        return page;
    } catch (const json::exception&) {
        return {};
    }
}

} // namespace

void http_log_client::fetch(const std::string& query, const std::string& stream,
                            millis timeout, const read_callback& done) {
    client_.call(
        {.url = base_url_ + "/v1/streams/" + stream + "/records?" + query,
         .timeout = timeout},
        [done](const http_call_result& answer) {
            done(answer.ok() ? decode_page(answer.body) : log_page{});
        });
}

void http_log_client::read(const std::string& stream, std::int64_t first,
                           int max_records, millis wait, read_callback done) {
    fetch("first=" + std::to_string(first) +
              "&limit=" + std::to_string(max_records) +
              "&wait_ms=" + std::to_string(wait.count()),
          stream, CALL_TIMEOUT + wait, done);
}

void http_log_client::read_last(const std::string& stream, read_callback done) {
    fetch("last=1", stream, CALL_TIMEOUT, done);
}

void http_log_client::append(const std::string& stream, const std::string& body,
                             append_callback done) {
    client_.call(
        {.method = "POST",
         .url = base_url_ + "/v1/streams/" + stream + "/records",
         .body = body,
         .timeout = CALL_TIMEOUT},
        [done](const http_call_result& answer) {
            if (answer.outcome == http_outcome::not_sent)
                return done(append_result::refused, 0);
            if (answer.outcome == http_outcome::answered &&
                answer.status == STATUS_NOT_APPENDED)
                return done(append_result::refused, 0);
            if (!answer.ok())
                return done(append_result::unknown, 0);
            try {
                done(append_result::appended,
                     json::parse(answer.body).at("offset").get<std::int64_t>());
            } catch (const json::exception&) {
                done(append_result::unknown, 0);
            }
        });
}

} // namespace rattan
