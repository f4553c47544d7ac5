#include "fold/record_codec.hpp"

#include "rattan/error_type.hpp"

#include <array>
#include <string_view>

namespace rattan {

using nlohmann::json;

namespace {

template <typename Entry>
log_entry read_entry(const json& in) {
    return in.get<Entry>();
}

/** Name and parser of an entry type. */
struct entry_type {
    std::string_view name;
    log_entry (*read)(const json&);
};

/** In the order of the variant `log_entry`. */
constexpr std::array<entry_type, std::variant_size_v<log_entry>> ENTRY_TYPES{
    {{"config_change", read_entry<config_change>},
     {"centre_claim", read_entry<centre_claim>},
     {"worker_enlist", read_entry<worker_enlist>},
     {"worker_retire", read_entry<worker_retire>},
     {"job_accept", read_entry<job_accept>},
     {"job_start", read_entry<job_start>},
     {"job_end", read_entry<job_end>},
     {"job_cancel", read_entry<job_cancel>},
     {"job_move", read_entry<job_move>},
     {"quota_want", read_entry<quota_want>},
     {"quota_cede", read_entry<quota_cede>}}};

log_entry entry_from_json(const json& in) {
    const auto name = in.at("t").get<std::string>();
    for (const entry_type& type : ENTRY_TYPES)
        if (type.name == name)
            return type.read(in);
    throw decode_error("unknown log entry type " + name);
}

} // namespace

void to_json(json& out, const job_spec& spec) {
    out["team"] = spec.organisation;
    out["key"] = spec.key;
    out["plan"] = spec.plan;
    out["request"] = spec.request;
    out["kind"] = spec.kind;
    out["tasks"] = spec.tasks;
    out["shape"] = spec.shape;
    out["run_ms"] = spec.run_ms;
    out["restartable"] = spec.restartable;
    out["urgent"] = spec.urgent;
    out["drain"] = spec.drain;
    out["max_attempts"] = spec.max_attempts;
    out["data_centre"] = spec.data_centre;
    out["payload"] = spec.payload;
}

void from_json(const json& in, job_spec& spec) {
    in.at("team").get_to(spec.organisation);
    in.at("key").get_to(spec.key);
    in.at("plan").get_to(spec.plan);
    in.at("request").get_to(spec.request);
    in.at("kind").get_to(spec.kind);
    in.at("tasks").get_to(spec.tasks);
    in.at("shape").get_to(spec.shape);
    in.at("run_ms").get_to(spec.run_ms);
    in.at("restartable").get_to(spec.restartable);
    in.at("urgent").get_to(spec.urgent);
    in.at("drain").get_to(spec.drain);
    in.at("max_attempts").get_to(spec.max_attempts);
    in.at("data_centre").get_to(spec.data_centre);
    in.at("payload").get_to(spec.payload);
}

void to_json(json& out, const job_cancel& cancel) {
    out["job"] = cancel.job;
    out["team"] = cancel.organisation;
}

void from_json(const json& in, job_cancel& cancel) {
    in.at("job").get_to(cancel.job);
    in.at("team").get_to(cancel.organisation);
}

void to_json(json& out, const quota_want& want) {
    out["holder"] = want.holder;
    out["owner"] = want.owner;
    out["team"] = want.organisation;
    out["kind"] = want.kind;
    out["amount"] = want.amount;
    out["serial"] = want.serial;
}

void from_json(const json& in, quota_want& want) {
    in.at("holder").get_to(want.holder);
    in.at("owner").get_to(want.owner);
    in.at("team").get_to(want.organisation);
    in.at("kind").get_to(want.kind);
    in.at("amount").get_to(want.amount);
    in.at("serial").get_to(want.serial);
}

void to_json(json& out, const quota_cede& cede) {
    out["holder"] = cede.holder;
    out["owner"] = cede.owner;
    out["team"] = cede.organisation;
    out["kind"] = cede.kind;
    out["amount"] = cede.amount;
    out["serial"] = cede.serial;
}

void from_json(const json& in, quota_cede& cede) {
    in.at("holder").get_to(cede.holder);
    in.at("owner").get_to(cede.owner);
    in.at("team").get_to(cede.organisation);
    in.at("kind").get_to(cede.kind);
    in.at("amount").get_to(cede.amount);
    in.at("serial").get_to(cede.serial);
}

std::string encode_entry(const log_entry& entry) {
    json out = std::visit([](const auto& value) { return json(value); }, entry);
    out["t"] = ENTRY_TYPES[entry.index()].name;
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

log_entry decode_entry(const std::string& text) {
    try {
        return entry_from_json(json::parse(text));
    } catch (const json::exception& failure) {
        throw decode_error(failure.what());
    }
}

std::string encode_group(const host_id& writer, std::int64_t incarnation,
                         std::int64_t sequence,
                         const std::vector<std::string>& entries) {
    std::string text = R"({"w":)" + json(writer).dump() + R"(,"i":)" +
                       std::to_string(incarnation) + R"(,"s":)" +
                       std::to_string(sequence) + R"(,"e":[)";
    for (size_t i = 0; i < entries.size(); ++i)
        text += (i == 0 ? "" : ",") + entries[i];
    return text + "]}";
}

log_group decode_group(const std::string& text) {
    try {
        const json in = json::parse(text);
        log_group group;
        group.writer = in.at("w").get<host_id>();
        group.incarnation = in.at("i").get<std::int64_t>();
        group.sequence = in.at("s").get<std::int64_t>();
        for (const json& entry : in.at("e")) {
            try {
                group.entries.push_back(entry_from_json(entry));
            } catch (const json::exception&) {
                continue;
            } catch (const decode_error&) {
                continue;
            }
        }
        return group;
    } catch (const json::exception& failure) {
        throw decode_error(failure.what());
    }
}

} // namespace rattan
