#include "fold/snapshot_codec.hpp"

#include "fold/config_codec.hpp"
#include "fold/record_codec.hpp"
#include "rattan/error_type.hpp"

#include <xxhash.h>

namespace rattan {

using nlohmann::json;

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(centre_owner, claim, host, incarnation,
                                   address)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(quota_slice, amount, want, want_at, serial,
                                   dropped_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(enlisted_worker, info, instance)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(writer_state, incarnation, sequence)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(live_job, spec, accepted_at, accepted_ms,
                                   started, cancelled)

// Written by hand: an organisation is stored under the key `team`.
void to_json(json& out, const quota_key& key) {
    out["team"] = key.organisation;
    out["kind"] = key.kind;
}

void from_json(const json& in, quota_key& key) {
    in.at("team").get_to(key.organisation);
    in.at("kind").get_to(key.kind);
}

void to_json(json& out, const ended_job& job) {
    out["team"] = job.organisation;
    out["request"] = job.request;
    out["outcome"] = job.outcome;
    out["reason"] = job.reason;
    out["ended_ms"] = job.ended_ms;
}

void from_json(const json& in, ended_job& job) {
    in.at("team").get_to(job.organisation);
    in.at("request").get_to(job.request);
    in.at("outcome").get_to(job.outcome);
    in.at("reason").get_to(job.reason);
    in.at("ended_ms").get_to(job.ended_ms);
}

namespace {

/** Leaves out `in_force`, which is parsed again from the document. */
json config_to_json(const config_state& config) {
    return {{"version", config.version},
            {"accepted_ms", config.accepted_ms},
            {"operator", config.operator_name},
            {"token", config.token},
            {"document", config.document}};
}

config_state config_from_json(const json& in) {
    config_state config;
    config.version = in.at("version").get<config_version>();
    config.accepted_ms = in.at("accepted_ms").get<std::int64_t>();
    config.operator_name = in.at("operator").get<std::string>();
    config.token = in.at("token").get<std::string>();
    config.document = in.at("document");
    config.in_force = parse_declarations(config.document);
    return config;
}

/** Detects truncated or altered snapshots. */
std::string checksum(const std::string& text) {
    return std::to_string(XXH3_64bits(text.data(), text.size()));
}

} // namespace

std::string encode_snapshot(const cell_state& state) {
    const json out = {{"next_offset", state.next_offset},
                      {"now_ms", state.now_ms},
                      {"config", config_to_json(state.config)},
                      {"writers", state.writers},
                      {"owners", state.owners},
                      {"workers", state.workers},
                      {"jobs", state.jobs},
                      {"ended", state.ended},
                      {"ended_order", state.ended_order},
                      {"oldest_request_ms", state.oldest_request_ms},
                      {"quotas", state.quotas},
                      {"any_dropped", state.any_dropped}};
    const std::string body =
        out.dump(-1, ' ', false, json::error_handler_t::replace);
    return checksum(body) + "\n" + body;
}

cell_state decode_snapshot(const std::string& text) {
    const size_t line_end = text.find('\n');
    if (line_end == std::string::npos)
        throw decode_error("snapshot has no checksum line");
    const std::string body = text.substr(line_end + 1);
    if (checksum(body) != text.substr(0, line_end))
        throw decode_error("snapshot does not match its checksum: its " +
                           std::to_string(body.size()) + " bytes hash to " +
                           checksum(body));
    try {
        const json in = json::parse(body);
        cell_state state;
        in.at("next_offset").get_to(state.next_offset);
        in.at("now_ms").get_to(state.now_ms);
        state.config = config_from_json(in.at("config"));
        in.at("writers").get_to(state.writers);
        in.at("owners").get_to(state.owners);
        in.at("workers").get_to(state.workers);
        in.at("jobs").get_to(state.jobs);
        in.at("ended").get_to(state.ended);
        in.at("ended_order").get_to(state.ended_order);
        in.at("oldest_request_ms").get_to(state.oldest_request_ms);
        in.at("quotas").get_to(state.quotas);
        in.at("any_dropped").get_to(state.any_dropped);
        return state;
    } catch (const json::exception& failure) {
        throw decode_error(failure.what());
    } catch (const config_invalid& failure) {
        throw decode_error(failure.what());
    }
}

} // namespace rattan
