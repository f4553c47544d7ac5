#include "route/admission_func.hpp"

#include "base/key_func.hpp"

#include <algorithm>
#include <limits>

namespace rattan {

namespace {

/** Capacity and backlog of a data centre's workers. */
struct centre_capacity {
    resources owned;
    std::int64_t tasks = 0;   ///< How many of the requested tasks fit at most.
    std::int64_t backlog = 0; ///< Milli-cores requested by live jobs.
};

/** How many tasks of a shape fit on an empty worker. */
std::int64_t tasks_on(const resources& owned, const resources& shape) {
    std::int64_t count = std::numeric_limits<std::int64_t>::max();
    const auto limit = [&](std::int64_t whole, std::int64_t part) {
        if (part > 0)
            count = std::min(count, whole / part);
    };
    limit(owned.milli_cores, shape.milli_cores);
    limit(owned.memory_mib, shape.memory_mib);
    limit(owned.accelerators, shape.accelerators);
    return count;
}

/** Capacity of the data centres that may run a job; no backlog yet. */
std::map<data_centre_id, centre_capacity>
candidates(const cell_state& state, const host_list& hosts,
           const plan_declaration& plan, const job_request& requested) {
    std::map<data_centre_id, centre_capacity> found;
    for (const auto& [id, centre] : state.config.in_force.data_centres) {
        if (!plan.data_centres.empty() && !plan.data_centres.contains(id))
            continue;
        if (!requested.data_centre.empty() && requested.data_centre != id)
            continue;
        found[id];
    }
    for (const listed_worker& worker : hosts.workers) {
        const auto centre = found.find(worker.info.data_centre);
        if (centre == found.end())
            continue;
        centre->second.owned += worker.info.owned;
        centre->second.tasks += std::min<std::int64_t>(
            tasks_on(worker.info.owned, requested.shape), requested.tasks);
    }
    return found;
}

/** Whether a job alone exceeds its organisation's limits. */
bool exceeds_limits(const declarations& declared,
                    const organisation_name& organisation,
                    const job_request& requested) {
    const auto found = declared.organisations.find(organisation);
    if (found == declared.organisations.end())
        return true;
    const auto limit = [&](quota_kind kind) {
        const auto entry = found->second.limits.find(kind);
        return entry == found->second.limits.end() ? 0 : entry->second;
    };
    const resources need = requested.shape * requested.tasks;
    return need.milli_cores > limit(quota_kind::milli_cores) ||
           need.accelerators > limit(quota_kind::accelerators);
}

/** Formats resources for the text of a refusal. */
std::string describe(const resources& shape) {
    return std::to_string(shape.milli_cores) + " milli-cores, " +
           std::to_string(shape.memory_mib) + " MiB and " +
           std::to_string(shape.accelerators) + " accelerators";
}

std::int64_t live_jobs(const cell_state& state,
                       const organisation_name& organisation) {
    return std::count_if(
        state.jobs.begin(), state.jobs.end(), [&](const auto& entry) {
            return entry.second.spec.organisation == organisation;
        });
}

} // namespace

std::optional<caller> authenticate(const declarations& declared,
                                   const std::string& authorization) {
    const auto credentials = parse_authorization(authorization);
    if (!credentials)
        return std::nullopt;
    const auto found = declared.keys.find({credentials->id});
    if (found == declared.keys.end()) {
        // Hashes as for a known key, so that response times don't show which
        // keys exist.
        hash_secret("none", credentials->secret);
        return std::nullopt;
    }
    const key_declaration& key = found->second;
    if (!secret_matches(key.salt, key.hash, credentials->secret))
        return std::nullopt;
    return caller{.organisation = key.organisation,
                  .key = found->first,
                  .isolation_limit = key.isolation_limit};
}

std::variant<caller, refused>
admit_to_plan(const declarations& declared, const plan_id& plan,
              work_kind wanted, const std::optional<caller>& authenticated) {
    const auto found = declared.plans.find(plan);
    const bool is_open =
        found != declared.plans.end() && found->second.open_to_all;
    if (!authenticated && !is_open)
        return refused{refusal::key_refused,
                       "a valid key is required as Bearer ID.SECRET"};
    if (found == declared.plans.end())
        return refused{refusal::plan_refused, "no such plan: " + plan.value};
    const bool is_check = found->second.kind == work_kind::check;
    if (is_check != (wanted == work_kind::check))
        return refused{refusal::plan_refused,
                       "plan " + plan.value + " is for another kind of work"};
    if (is_open)
        return caller{.organisation = found->second.account};
    const auto& organisations = found->second.organisations;
    if (std::find(organisations.begin(), organisations.end(),
                  authenticated->organisation) == organisations.end())
        return refused{refusal::plan_refused,
                       "plan " + plan.value + " is not open to organisation " +
                           authenticated->organisation.value};
    return *authenticated;
}

std::variant<job_spec, refused>
admit_job(const cell_state& state, const host_list& hosts, const caller& who,
          const request_id& request, const job_request& requested) {
    const declarations& declared = state.config.in_force;
    const plan_declaration& plan = declared.plans.at(requested.plan);
    if (requested.tasks > plan.max_tasks ||
        !requested.shape.fits_in(plan.max_task))
        return refused{refusal::never_feasible,
                       "the job exceeds plan " + requested.plan.value +
                           ", which allows " + std::to_string(plan.max_tasks) +
                           " tasks of " + describe(plan.max_task) + " each"};
    if (exceeds_limits(declared, who.organisation, requested))
        return refused{refusal::never_feasible,
                       "the job needs " +
                           describe(requested.shape * requested.tasks) +
                           ", which exceeds the limits of organisation " +
                           who.organisation.value};
    if (live_jobs(state, who.organisation) >= declared.cell.queued_jobs_limit)
        return refused{refusal::organisation_at_limit,
                       "organisation " + who.organisation.value +
                           " has reached " +
                           std::to_string(declared.cell.queued_jobs_limit) +
                           " live jobs, its limit"};
    auto centres = candidates(state, hosts, plan, requested);
    const bool hosts_known = !hosts.workers.empty();
    std::erase_if(centres, [&](const auto& entry) {
        return hosts_known && entry.second.tasks < requested.tasks;
    });
    if (centres.empty())
        return refused{refusal::never_feasible,
                       "no data centre has workers for " +
                           std::to_string(requested.tasks) + " tasks of " +
                           describe(requested.shape) + " each"};
    std::erase_if(centres, [&](const auto& entry) {
        return !declared.data_centres.at(entry.first).in_service;
    });
    if (centres.empty())
        return refused{refusal::out_of_service,
                       "all data centres that could run the job are out of "
                       "service"};
    for (const auto& [id, job] : state.jobs) {
        const auto centre = centres.find(job.spec.data_centre);
        if (centre != centres.end())
            centre->second.backlog +=
                job.spec.shape.milli_cores * job.spec.tasks;
    }
    const auto load = [](const auto& entry) {
        return static_cast<double>(entry.second.backlog) /
               static_cast<double>(
                   std::max<std::int64_t>(entry.second.owned.milli_cores, 1));
    };
    const auto best = std::min_element(
        centres.begin(), centres.end(),
        [&](const auto& a, const auto& b) { return load(a) < load(b); });
    return job_spec{.organisation = who.organisation,
                    .key = who.key,
                    .plan = requested.plan,
                    .request = request,
                    .kind = plan.kind,
                    .tasks = requested.tasks,
                    .shape = requested.shape,
                    .run_ms = requested.run_ms,
                    .restartable = plan.restartable,
                    .urgent = plan.urgent,
                    .drain = plan.drain,
                    .max_attempts = plan.max_attempts,
                    .data_centre = best->first,
                    .payload = requested.payload};
}

} // namespace rattan
