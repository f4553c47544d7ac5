#include "dispatch/wait_codec.hpp"

#include "rattan/error_type.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace rattan::dispatch {

using nlohmann::json;

namespace {

constexpr std::int64_t NOT_KNOWN = -1;

std::int64_t encode_wait(const std::optional<millis>& wait) {
    return wait ? wait->count() : NOT_KNOWN;
}

std::optional<millis> decode_wait(const json& value) {
    const auto ms = value.get<std::int64_t>();
    return ms < 0 ? std::nullopt : std::optional(millis(ms));
}

std::string encode_all(const expected_waits& waits, millis age) {
    json queues = json::array();
    for (const queue_wait& row : waits.queues)
        queues.push_back({row.queue.value, encode_wait(row.wait),
                          encode_wait(row.over_rate_wait)});
    json organisations = json::array();
    for (const organisation_wait& row : waits.organisations)
        organisations.push_back(
            {row.organisation.value, row.queue.value, row.wait.count()});
    json over_rate = json::array();
    for (const organisation_id& organisation : waits.over_rate)
        over_rate.push_back(organisation.value);
    return json({{"age_ms", age.count()},
                 {"queues", std::move(queues)},
                 {"organisations", std::move(organisations)},
                 {"over_rate", std::move(over_rate)}})
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::string encode_waits(const expected_waits& waits, millis age) {
    std::string out = encode_all(waits, age);
    if (out.size() <= MAX_WAITS_BYTES)
        return out;
    out = encode_all({.queues = waits.queues}, age);
    return out.size() <= MAX_WAITS_BYTES ? out : encode_all({}, age);
}

aged_waits decode_waits(const std::string& text) {
    if (text.size() > MAX_WAITS_BYTES)
        throw decode_error("expected waits are too long");
    try {
        const json value = json::parse(text);
        aged_waits out{
            .age = std::max(millis(0),
                            millis(value.at("age_ms").get<std::int64_t>()))};
        for (const json& row : value.at("queues"))
            out.waits.queues.push_back(
                {.queue = {row.at(0).get<std::string>()},
                 .wait = decode_wait(row.at(1)),
                 .over_rate_wait = decode_wait(row.at(2))});
        for (const json& row : value.at("organisations"))
            out.waits.organisations.push_back(
                {.organisation = {row.at(0).get<std::string>()},
                 .queue = {row.at(1).get<std::string>()},
                 .wait = decode_wait(row.at(2)).value_or(millis(0))});
        for (const json& name : value.at("over_rate"))
            out.waits.over_rate.push_back({name.get<std::string>()});
        return out;
    } catch (const json::exception& failure) {
        throw decode_error(failure.what());
    }
}

} // namespace rattan::dispatch
