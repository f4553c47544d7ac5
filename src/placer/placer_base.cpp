#include "placer/placer_base.hpp"

namespace rattan {

namespace {

/** Overloaded handlers for std::visit, one for each kind of entry. */
template <typename... Handlers>
struct entry_switch : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers>
entry_switch(Handlers...) -> entry_switch<Handlers...>;

} // namespace

placer_base::placer_base(placer_options options, const packing_policy& policy)
    : options_(std::move(options)), policy_(policy),
      quota_(centre_holder(options_.data_centre),
             {quota_kind::milli_cores, quota_kind::accelerators}) {}

void placer_base::on_restore(const cell_state& state, mono_time now) {
    end_ownership();
    update_ownership(state, now);
}

void placer_base::on_entry(const cell_state& state, const log_entry& entry,
                           fold_verdict verdict, mono_time now) {
    const bool accepted = verdict == fold_verdict::accepted;
    if (std::holds_alternative<centre_claim>(entry)) {
        outbox_.remove("claim");
        if (accepted)
            update_ownership(state, now);
        return;
    }
    if (owner_ == epoch{})
        return;
    const auto on_accept = [&](const job_accept& accept) {
        if (accepted && accept.spec.data_centre == options_.data_centre)
            add_job(accept.job, state.jobs.at(accept.job), now);
    };
    const auto on_cancel = [&](const job_cancel& cancel) {
        if (accepted)
            cancel_job(cancel.job, now);
    };
    const auto on_start = [&](const job_start& start) {
        outbox_.remove("start/" + start.job.value);
        dirty_jobs_.insert(start.job);
    };
    const auto on_end = [&](const job_end& end) {
        outbox_.remove("end/" + end.job.value);
        if (accepted)
            erase_job(end.job);
    };
    const auto on_move = [&](const job_move& move) {
        outbox_.remove("move/" + move.job.value);
        if (!accepted)
            return;
        erase_job(move.job);
        if (move.target == options_.data_centre)
            add_job(move.job, state.jobs.at(move.job), now);
    };
    const auto on_enlist = [&](const worker_enlist& enlist) {
        outbox_.remove("enlist/" + enlist.worker.id.value);
    };
    const auto on_retire = [&](const worker_retire& retire) {
        outbox_.remove("retire/" + retire.worker.value);
    };
    std::visit(entry_switch{on_accept, on_cancel, on_start, on_end, on_move,
                            on_enlist, on_retire, [](const auto&) {}},
               entry);
}

void placer_base::on_hosts(const host_list& hosts) {
    hosts_ = hosts;
    hosts_known_ = true;
}

placer_output placer_base::tick(const cell_state& state,
                                const tick_input& input) {
    orders_.clear();
    if (first_tick_ == mono_time{})
        first_tick_ = input.now;
    if (owner_ == epoch{}) {
        if (input.log_reachable && input.may_decide)
            claim_if_owner_silent(state, input.now);
        if (!input.log_reachable)
            renew_as_standby(state, input.now);
        return {std::exchange(orders_, {}), outbox_.take()};
    }
    may_start_ = input.may_decide;
    apply_host_list(state, input.now);
    // After a pause of this process, pings that arrived long ago look like
    // new ones, so no lease is known to have ended until the state is fresh.
    if (input.may_decide)
        expire_leases(state, input.now);
    resolve_uncertain_jobs(input.now);
    drain_data_centre(state);
    drain_leaving_workers();
    preempt_over_quota(state);
    update_jobs(state, input.now);
    if (input.may_decide)
        schedule(state, input.now);
    update_jobs(state, input.now);
    build_orders(input.now);
    placer_output output{std::exchange(orders_, {}), outbox_.take()};
    // Tasks of an earlier owner use quota before a worker has listed them.
    const bool all_counted = !takeover_pending();
    for (log_entry& record : quota_.tick(state, input.now, all_counted))
        output.records.push_back(std::move(record));
    return output;
}

} // namespace rattan
