#include "gate/job_request_codec.hpp"

#include "rattan/error_type.hpp"

#include <nlohmann/json.hpp>

#include <set>

namespace rattan {

using nlohmann::json;

namespace {

constexpr std::int64_t MILLI_CORES_PER_CORE = 1'000;
constexpr std::int64_t MILLIS_PER_SECOND = 1'000;
constexpr size_t MAX_PAYLOAD_BYTES = 64U << 10U;

/** Reads an integer from `low` to `high`, or `fallback` if it is missing. */
std::int64_t number(const json& in, const std::string& field, std::int64_t low,
                    std::int64_t high, std::int64_t fallback) {
    if (!in.contains(field))
        return fallback;
    const json& value = in.at(field);
    if (!value.is_number_integer() || value < low || value > high)
        throw decode_error(field + " must be an integer from " +
                           std::to_string(low) + " to " + std::to_string(high));
    return value.get<std::int64_t>();
}

/** Reads a string, or `fallback` if it is missing. */
std::string text(const json& in, const std::string& field,
                 const std::string& fallback) {
    if (!in.contains(field))
        return fallback;
    if (!in.at(field).is_string())
        throw decode_error(field + " must be a string");
    return in.at(field).get<std::string>();
}

} // namespace

job_request decode_job_request(const std::string& body) {
    json in;
    try {
        in = json::parse(body);
    } catch (const json::exception& failure) {
        throw decode_error(failure.what());
    }
    if (!in.is_object())
        throw decode_error("the request body must be a JSON object");
    const std::set<std::string> known_fields{
        "plan",         "tasks", "cores",       "memory_mib",
        "accelerators", "run_s", "data_centre", "payload"};
    for (const auto& [field, value] : in.items())
        if (!known_fields.contains(field))
            throw decode_error("unknown field " + field);
    job_request request;
    request.plan = {text(in, "plan", "")};
    request.tasks =
        static_cast<std::int32_t>(number(in, "tasks", 1, 100'000, 1));
    request.shape = {
        .milli_cores = number(in, "cores", 0, 4'096, 1) * MILLI_CORES_PER_CORE,
        .memory_mib = number(in, "memory_mib", 0, 1'000'000'000, 128),
        .accelerators = number(in, "accelerators", 0, 1'024, 0)};
    request.run_ms =
        number(in, "run_s", 0, 30LL * 24 * 3'600, 0) * MILLIS_PER_SECOND;
    request.data_centre = {text(in, "data_centre", "")};
    request.payload = text(in, "payload", "");
    if (request.payload.size() > MAX_PAYLOAD_BYTES)
        throw decode_error(
            "payload is " + std::to_string(request.payload.size()) +
            " bytes; the limit is " + std::to_string(MAX_PAYLOAD_BYTES));
    return request;
}

} // namespace rattan
