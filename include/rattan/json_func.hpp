/** @file JSON conversion of identifiers and units. */
#pragma once

#include "rattan/id_type.hpp"
#include "rattan/unit_type.hpp"

#include <nlohmann/json.hpp>

namespace rattan {

template <typename Tag>
void to_json(nlohmann::json& out, const strong_name<Tag>& name) {
    out = name.value;
}

template <typename Tag>
void from_json(const nlohmann::json& in, strong_name<Tag>& name) {
    name.value = in.get<std::string>();
}

template <typename Tag>
void to_json(nlohmann::json& out, const strong_number<Tag>& number) {
    out = number.value;
}

template <typename Tag>
void from_json(const nlohmann::json& in, strong_number<Tag>& number) {
    number.value = in.get<std::int64_t>();
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(resources, milli_cores, memory_mib,
                                   accelerators)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(task_ref, job, index)

} // namespace rattan
