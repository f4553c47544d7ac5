#include "fold/record_codec.hpp"

#include "rattan/error_type.hpp"

#include <array>
#include <string_view>

namespace rattan {

using nlohmann::json;

namespace {

/** Reads one type of entry. */
template <typename Entry>
log_entry read_entry(const json& in) {
    return in.get<Entry>();
}

/** Names of the entry types, in the order of the variant. */
struct entry_type {
    std::string_view name;
    log_entry (*read)(const json&);
};

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

/** Reads an entry by its type's name. */
log_entry entry_from_json(const json& in) {
    const auto name = in.at("t").get<std::string>();
    for (const entry_type& type : ENTRY_TYPES)
        if (type.name == name)
            return type.read(in);
    throw decode_error("unknown entry type " + name);
}

} // namespace

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
