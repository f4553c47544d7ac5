#include "dispatch/reader_func.hpp"

#include <algorithm>
#include <tuple>

namespace rattan::dispatch {

namespace {

/** One of them may be down. */
constexpr std::size_t READERS_PER_DATA_CENTRE = 2;
/** Callers may ask for a job 3 s after it was accepted. */
constexpr millis MAX_READ_AGE{2800};

/** State readers of a data centre, the strongest first. */
std::vector<const member_record*> readers_in(const member_map& members,
                                             const data_centre_id& centre) {
    std::vector<const member_record*> out;
    for (const auto& [host, member] : members)
        if (member.data_centre == centre)
            out.push_back(&member);
    std::sort(out.begin(), out.end(),
              [](const member_record* a, const member_record* b) {
                  return std::tuple(-a->milli_cores, a->host) <
                         std::tuple(-b->milli_cores, b->host);
              });
    out.resize(std::min(out.size(), READERS_PER_DATA_CENTRE));
    return out;
}

} // namespace

bool is_state_reader(const member_map& members, const host_id& host) {
    const auto found = members.find(host);
    if (found == members.end())
        return false;
    const auto readers = readers_in(members, found->second.data_centre);
    return std::any_of(
        readers.begin(), readers.end(),
        [&](const member_record* reader) { return reader->host == host; });
}

bool has_read_all_jobs(const std::vector<millis>& read_ages) {
    return std::all_of(read_ages.begin(), read_ages.end(),
                       [](millis age) { return age <= MAX_READ_AGE; });
}

std::vector<std::string> state_reader_addresses(const member_map& members,
                                                const host_id& host) {
    const auto self = members.find(host);
    std::map<data_centre_id, bool> centres; // Value: is the host's own.
    for (const auto& [name, member] : members)
        centres[member.data_centre] =
            self != members.end() &&
            member.data_centre == self->second.data_centre;
    std::vector<std::string> out;
    for (const bool own : {true, false})
        for (const auto& [centre, is_own] : centres) {
            if (is_own != own)
                continue;
            for (const member_record* reader : readers_in(members, centre))
                if (reader->host != host)
                    out.push_back(reader->address);
        }
    return out;
}

} // namespace rattan::dispatch
