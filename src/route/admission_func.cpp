#include "route/admission_func.hpp"

#include "base/key_func.hpp"

#include <algorithm>
#include <limits>

namespace rattan {

namespace {

/** Workers of one data centre, as far as admission cares. */
struct centre_capacity {
    resources owned;
    std::int64_t tasks = 0;   ///< How many of the asked shape fit at most.
    std::int64_t backlog = 0; ///< Processors asked for by live jobs.
};

/** How many tasks of a shape a worker holds when it is empty. */
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

/** Capacity and backlog of the data centres that may take a job. */
std::map<data_centre_id, centre_capacity>
candidates(const cell_state& state, const host_list& hosts,
           const plan_declaration& plan, const job_request& asked) {
    std::map<data_centre_id, centre_capacity> found;
    for (const auto& [id, centre] : state.config.in_force.data_centres) {
        if (!plan.data_centres.empty() && !plan.data_centres.contains(id))
            continue;
        if (!asked.data_centre.empty() && asked.data_centre != id)
            continue;
        found[id];
    }
    for (const listed_worker& worker : hosts.workers) {
        const auto centre = found.find(worker.info.data_centre);
        if (centre == found.end())
            continue;
        centre->second.owned += worker.info.owned;
        centre->second.tasks += std::min<std::int64_t>(
            tasks_on(worker.info.owned, asked.shape), asked.tasks);
    }
    return found;
}

/** Tests a job against its team's limits. */
bool exceeds_limits(const declarations& declared,
                    const organisation_name& organisation,
                    const job_request& asked) {
    const auto found = declared.organisations.find(organisation);
    if (found == declared.organisations.end())
        return true;
    const auto limit = [&](quota_kind kind) {
        const auto entry = found->second.limits.find(kind);
        return entry == found->second.limits.end() ? 0 : entry->second;
    };
    const resources need = asked.shape * asked.tasks;
    return need.milli_cores > limit(quota_kind::milli_cores) ||
           need.accelerators > limit(quota_kind::accelerators);
}

/** Live jobs of a team. */
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
    const auto shown = parse_authorization(authorization);
    if (!shown)
        return std::nullopt;
    const auto found = declared.keys.find({shown->id});
    if (found == declared.keys.end()) {
        // As much work as for a known key: its absence can't be timed.
        hash_secret("none", shown->secret);
        return std::nullopt;
    }
    const key_declaration& key = found->second;
    if (!secret_matches(key.salt, key.hash, shown->secret))
        return std::nullopt;
    return caller{.organisation = key.organisation,
                  .key = found->first,
                  .isolation_limit = key.isolation_limit};
}

std::variant<caller, refused>
admit_to_plan(const declarations& declared, const plan_id& plan,
              work_kind wanted, const std::optional<caller>& shown) {
    const auto found = declared.plans.find(plan);
    const bool is_open =
        found != declared.plans.end() && found->second.open_to_all;
    if (!shown && !is_open)
        return refused{refusal::key_refused,
                       "show a key in force as Bearer ID.SECRET"};
    if (found == declared.plans.end())
        return refused{refusal::plan_refused,
                       "no plan of this name: " + plan.value};
    const bool is_check = found->second.kind == work_kind::check;
    if (is_check != (wanted == work_kind::check))
        return refused{refusal::plan_refused,
                       "the plan is of another kind of work"};
    if (is_open)
        return caller{.organisation = found->second.account};
    const auto& organisations = found->second.organisations;
    if (std::find(organisations.begin(), organisations.end(),
                  shown->organisation) == organisations.end())
        return refused{refusal::plan_refused,
                       "the plan is not declared for team " +
                           shown->organisation.value};
    return *shown;
}

std::variant<job_spec, refused>
admit_job(const cell_state& state, const host_list& hosts, const caller& who,
          const request_id& request, const job_request& asked) {
    const declarations& declared = state.config.in_force;
    const plan_declaration& plan = declared.plans.at(asked.plan);
    if (asked.tasks > plan.max_tasks || !asked.shape.fits_in(plan.max_task))
        return refused{refusal::never_feasible,
                       "larger than the plan may ask for"};
    if (exceeds_limits(declared, who.organisation, asked))
        return refused{refusal::never_feasible,
                       "larger than the team's upper limit"};
    if (live_jobs(state, who.organisation) >= declared.cell.queued_jobs_limit)
        return refused{refusal::organisation_at_limit,
                       "the team has as many jobs waiting as it may"};
    auto centres = candidates(state, hosts, plan, asked);
    const bool hosts_known = !hosts.workers.empty();
    std::erase_if(centres, [&](const auto& entry) {
        return hosts_known && entry.second.tasks < asked.tasks;
    });
    if (centres.empty())
        return refused{refusal::never_feasible,
                       "no data centre has workers for its tasks"};
    std::erase_if(centres, [&](const auto& entry) {
        return !declared.data_centres.at(entry.first).in_service;
    });
    if (centres.empty())
        return refused{refusal::out_of_service,
                       "every data centre that could take it is out of "
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
                    .plan = asked.plan,
                    .request = request,
                    .kind = plan.kind,
                    .tasks = asked.tasks,
                    .shape = asked.shape,
                    .run_ms = asked.run_ms,
                    .restartable = plan.restartable,
                    .urgent = plan.urgent,
                    .drain = plan.drain,
                    .max_attempts = plan.max_attempts,
                    .data_centre = best->first,
                    .payload = asked.payload};
}

} // namespace rattan
