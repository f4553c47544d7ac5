#include "dispatch/route_func.hpp"

#include <algorithm>

namespace rattan::dispatch {

namespace {

constexpr std::string_view KEY_SCHEME = "Token ";

} // namespace

const queue_config* find_queue(const cell_config& config, std::string_view host,
                               std::string_view path) {
    const queue_config* best = nullptr;
    for (const queue_config& queue : config.queues) {
        if (queue.host != host || !path.starts_with(queue.path_prefix))
            continue;
        if (best == nullptr ||
            queue.path_prefix.size() > best->path_prefix.size())
            best = &queue;
    }
    return best;
}

const queue_config* find_queue(const cell_config& config,
                               const queue_id& name) {
    const auto found =
        std::find_if(config.queues.begin(), config.queues.end(),
                     [&](const queue_config& q) { return q.name == name; });
    return found == config.queues.end() ? nullptr : &*found;
}

const organisation_config* find_organisation(const cell_config& config,
                                             const organisation_id& name) {
    const auto found = std::find_if(
        config.organisations.begin(), config.organisations.end(),
        [&](const organisation_config& o) { return o.name == name; });
    return found == config.organisations.end() ? nullptr : &*found;
}

const organisation_config* authenticate(const cell_config& config,
                                        std::string_view authorization) {
    if (!authorization.starts_with(KEY_SCHEME))
        return nullptr;
    const std::string_view key = authorization.substr(KEY_SCHEME.size());
    for (const organisation_config& organisation : config.organisations)
        if (std::find(organisation.keys.begin(), organisation.keys.end(),
                      key) != organisation.keys.end())
            return &organisation;
    return nullptr;
}

} // namespace rattan::dispatch
