#include "route/home_func.hpp"

#include <xxhash.h>

namespace rattan {

std::optional<host_id> home_of_request(const declarations& declared,
                                       const organisation_name& organisation,
                                       const request_id& request) {
    std::optional<host_id> home;
    XXH64_hash_t highest = 0;
    for (const auto& [id, centre] : declared.data_centres) {
        for (const host_id& host : centre.entry_hosts) {
            const std::string text =
                host.value + '\n' + organisation.value + '\n' + request.value;
            const XXH64_hash_t rank = XXH3_64bits(text.data(), text.size());
            if (home && rank <= highest)
                continue;
            home = host;
            highest = rank;
        }
    }
    return home;
}

} // namespace rattan
