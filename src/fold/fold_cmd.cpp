#include "fold/fold_cmd.hpp"

#include "fold/config_codec.hpp"
#include "fold/config_func.hpp"
#include "fold/quota_cmd.hpp"
#include "fold/request_func.hpp"

#include <algorithm>

namespace rattan {

namespace {

/** Tells whether the writer holds the claim in force on a data centre. */
bool owns(const cell_state& state, const data_centre_id& centre, epoch owner,
          const entry_context& context) {
    const auto found = state.owners.find(centre);
    return found != state.owners.end() && found->second.claim == owner &&
           found->second.host == context.writer;
}

/** Tells whether a change removes the data centre of a live job. */
bool removes_centre_of_live_job(const cell_state& state,
                                const declarations& after) {
    for (const auto& [id, centre] : state.config.in_force.data_centres) {
        if (after.data_centres.contains(id))
            continue;
        for (const auto& [job, live] : state.jobs)
            if (live.spec.data_centre == id)
                return true;
    }
    return false;
}

fold_verdict validate_entry(const cell_state& state,
                            const config_change& change, const entry_context&) {
    if (change.base != state.config.version)
        return fold_verdict::base_changed;
    try {
        const declarations after = parse_declarations(
            apply_config(state.config.document, {change.set, change.drop}));
        if (removes_centre_of_live_job(state, after))
            return fold_verdict::wrong_state;
    } catch (const config_invalid&) {
        return fold_verdict::malformed;
    } catch (const nlohmann::json::exception&) {
        return fold_verdict::malformed;
    }
    return fold_verdict::accepted;
}

void execute_entry(cell_state& state, const config_change& change,
                   const entry_context& context) {
    state.config.document =
        apply_config(state.config.document, {change.set, change.drop});
    state.config.in_force = parse_declarations(state.config.document);
    state.config.version = {context.position};
    state.config.accepted_ms = context.time_ms;
    state.config.operator_name = change.operator_name;
    state.config.token = change.token;
    refresh_quotas(state);
}

fold_verdict validate_entry(const cell_state& state, const centre_claim& claim,
                            const entry_context& context) {
    const auto centre =
        state.config.in_force.data_centres.find(claim.data_centre);
    if (centre == state.config.in_force.data_centres.end())
        return fold_verdict::not_allowed;
    const auto& hosts = centre->second.entry_hosts;
    if (claim.host != context.writer ||
        std::find(hosts.begin(), hosts.end(), claim.host) == hosts.end())
        return fold_verdict::not_owner;
    const auto owner = state.owners.find(claim.data_centre);
    const epoch present =
        owner == state.owners.end() ? epoch{} : owner->second.claim;
    return claim.base == present ? fold_verdict::accepted
                                 : fold_verdict::base_changed;
}

void execute_entry(cell_state& state, const centre_claim& claim,
                   const entry_context& context) {
    state.owners[claim.data_centre] = {.claim = {context.position},
                                       .host = claim.host,
                                       .incarnation = claim.incarnation,
                                       .address = claim.address};
}

fold_verdict validate_entry(const cell_state& state,
                            const worker_enlist& enlist,
                            const entry_context& context) {
    if (!owns(state, enlist.worker.data_centre, enlist.owner, context))
        return fold_verdict::not_owner;
    const auto found = state.workers.find(enlist.worker.id);
    if (found == state.workers.end())
        return fold_verdict::accepted;
    if (found->second.info != enlist.worker)
        return fold_verdict::wrong_state;
    return found->second.instance == enlist.instance ? fold_verdict::repeated
                                                     : fold_verdict::accepted;
}

void execute_entry(cell_state& state, const worker_enlist& enlist,
                   const entry_context&) {
    state.workers[enlist.worker.id] = {enlist.worker, enlist.instance};
}

fold_verdict validate_entry(const cell_state& state,
                            const worker_retire& retire,
                            const entry_context& context) {
    const auto found = state.workers.find(retire.worker);
    if (found == state.workers.end())
        return fold_verdict::repeated;
    return owns(state, found->second.info.data_centre, retire.owner, context)
               ? fold_verdict::accepted
               : fold_verdict::not_owner;
}

void execute_entry(cell_state& state, const worker_retire& retire,
                   const entry_context&) {
    state.workers.erase(retire.worker);
}

/** Tells whether key, organisation and plan in force allow a job. */
bool is_allowed(const declarations& declared, const job_spec& spec) {
    const auto plan = declared.plans.find(spec.plan);
    if (plan == declared.plans.end() ||
        !declared.data_centres.contains(spec.data_centre))
        return false;
    if (plan->second.open_to_all)
        return spec.organisation == plan->second.account;
    const auto key = declared.keys.find(spec.key);
    if (key == declared.keys.end() ||
        key->second.organisation != spec.organisation)
        return false;
    const auto& organisations = plan->second.organisations;
    return std::find(organisations.begin(), organisations.end(),
                     spec.organisation) != organisations.end();
}

fold_verdict validate_entry(const cell_state& state, const job_accept& accept,
                            const entry_context& context) {
    const job_spec& spec = accept.spec;
    if (state.jobs.contains(accept.job) || state.ended.contains(accept.job))
        return fold_verdict::repeated;
    if (accept.job != job_of_request(spec.organisation, spec.request) ||
        spec.tasks < 1)
        return fold_verdict::malformed;
    const auto created_ms = request_time_ms(spec.request);
    if (!created_ms)
        return fold_verdict::malformed;
    if (*created_ms > context.time_ms + MAX_REQUEST_SKEW_MS)
        return fold_verdict::malformed;
    if (*created_ms < state.oldest_request_ms ||
        context.time_ms - *created_ms > MAX_REQUEST_AGE_MS)
        return fold_verdict::request_expired;
    if (!is_allowed(state.config.in_force, spec))
        return fold_verdict::not_allowed;
    return fold_verdict::accepted;
}

void execute_entry(cell_state& state, const job_accept& accept,
                   const entry_context& context) {
    state.jobs[accept.job] = {.spec = accept.spec,
                              .accepted_at = context.position,
                              .accepted_ms = context.time_ms};
}

fold_verdict validate_entry(const cell_state& state, const job_start& start,
                            const entry_context& context) {
    const auto job = state.jobs.find(start.job);
    if (job == state.jobs.end())
        return fold_verdict::unknown_job;
    if (!owns(state, job->second.spec.data_centre, start.owner, context))
        return fold_verdict::not_owner;
    if (job->second.cancelled)
        return fold_verdict::wrong_state;
    if (job->second.started == start.owner)
        return fold_verdict::repeated;
    return job->second.started == epoch{} ? fold_verdict::accepted
                                          : fold_verdict::wrong_state;
}

void execute_entry(cell_state& state, const job_start& start,
                   const entry_context&) {
    state.jobs[start.job].started = start.owner;
}

fold_verdict validate_entry(const cell_state& state, const job_end& end,
                            const entry_context& context) {
    const auto job = state.jobs.find(end.job);
    if (job == state.jobs.end())
        return state.ended.contains(end.job) ? fold_verdict::repeated
                                             : fold_verdict::unknown_job;
    return owns(state, job->second.spec.data_centre, end.owner, context)
               ? fold_verdict::accepted
               : fold_verdict::not_owner;
}

void execute_entry(cell_state& state, const job_end& end,
                   const entry_context& context) {
    const job_spec& spec = state.jobs[end.job].spec;
    state.ended[end.job] = {.organisation = spec.organisation,
                            .request = spec.request,
                            .outcome = end.outcome,
                            .reason = end.reason,
                            .ended_ms = context.time_ms};
    state.ended_order.push_back(end.job);
    state.jobs.erase(end.job);
}

fold_verdict validate_entry(const cell_state& state, const job_cancel& cancel,
                            const entry_context&) {
    const auto job = state.jobs.find(cancel.job);
    if (job == state.jobs.end())
        return state.ended.contains(cancel.job) ? fold_verdict::repeated
                                                : fold_verdict::unknown_job;
    if (job->second.spec.organisation != cancel.organisation)
        return fold_verdict::not_allowed;
    return job->second.cancelled ? fold_verdict::repeated
                                 : fold_verdict::accepted;
}

void execute_entry(cell_state& state, const job_cancel& cancel,
                   const entry_context&) {
    state.jobs[cancel.job].cancelled = true;
}

fold_verdict validate_entry(const cell_state& state, const job_move& move,
                            const entry_context& context) {
    const auto job = state.jobs.find(move.job);
    if (job == state.jobs.end())
        return fold_verdict::unknown_job;
    if (!owns(state, job->second.spec.data_centre, move.owner, context))
        return fold_verdict::not_owner;
    if (!state.config.in_force.data_centres.contains(move.target))
        return fold_verdict::not_allowed;
    // A job that may not run twice moves only if it can't have started.
    if (!job->second.spec.restartable && job->second.started != epoch{})
        return fold_verdict::wrong_state;
    return fold_verdict::accepted;
}

void execute_entry(cell_state& state, const job_move& move,
                   const entry_context&) {
    live_job& job = state.jobs[move.job];
    job.spec.data_centre = move.target;
    job.started = epoch{};
}

fold_verdict validate_entry(const cell_state& state, const quota_want& want,
                            const entry_context& context) {
    return validate_quota_want(state, want, context);
}

void execute_entry(cell_state& state, const quota_want& want,
                   const entry_context& context) {
    execute_quota_want(state, want, context);
}

fold_verdict validate_entry(const cell_state& state, const quota_cede& cede,
                            const entry_context& context) {
    return validate_quota_cede(state, cede, context);
}

void execute_entry(cell_state& state, const quota_cede& cede,
                   const entry_context& context) {
    execute_quota_cede(state, cede, context);
}

/**
 * Drops the job that ended first and rejects requests as old as its own from
 * now on, since a repeat could no longer be told from a new request.
 */
void drop_oldest_ended_job(cell_state& state) {
    const job_id oldest = state.ended_order.front();
    state.ended_order.pop_front();
    const auto found = state.ended.find(oldest);
    if (found == state.ended.end())
        return;
    const auto created_ms = request_time_ms(found->second.request);
    if (created_ms)
        state.oldest_request_ms =
            std::max(state.oldest_request_ms, *created_ms + 1);
    state.ended.erase(found);
}

} // namespace

const char* verdict_name(fold_verdict verdict) {
    constexpr const char* NAMES[] = {
        "accepted",     "repeated",       "malformed",   "base_changed",
        "not_owner",    "not_allowed",    "unknown_job", "wrong_state",
        "stale_serial", "request_expired"};
    return NAMES[static_cast<int>(verdict)];
}

fold_verdict apply_entry(cell_state& state, const log_entry& entry,
                         const entry_context& context) {
    return std::visit(
        [&](const auto& command) {
            const fold_verdict verdict =
                validate_entry(state, command, context);
            if (verdict == fold_verdict::accepted)
                execute_entry(state, command, context);
            return verdict;
        },
        entry);
}

void expire_state(cell_state& state) {
    while (!state.ended_order.empty()) {
        const auto oldest = state.ended.find(state.ended_order.front());
        const bool expired =
            oldest == state.ended.end() ||
            state.now_ms - oldest->second.ended_ms > ENDED_JOB_RETENTION_MS;
        if (!expired && state.ended.size() <= MAX_ENDED_JOBS)
            break;
        drop_oldest_ended_job(state);
    }
    if (state.any_dropped)
        reclaim_dropped(state);
}

} // namespace rattan
