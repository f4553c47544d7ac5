#include "placer/placer_base.hpp"

namespace rattan {

namespace {

/** One handler for each kind of entry. */
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
    follow_ownership(state, now);
}

void placer_base::on_entry(const cell_state& state, const log_entry& entry,
                           fold_verdict verdict, mono_time now) {
    const bool accepted = verdict == fold_verdict::accepted;
    if (std::holds_alternative<centre_claim>(entry)) {
        outbox_.remove("claim");
        if (accepted)
            follow_ownership(state, now);
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
        unsettled_.insert(start.job);
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
                                const placer_surroundings& around) {
    orders_.clear();
    if (born_ == mono_time{})
        born_ = around.now;
    if (owner_ == epoch{}) {
        if (around.log_reachable && around.may_decide)
            consider_claim(state, around.now);
        if (!around.log_reachable)
            take_care(state, around.now);
        return {std::exchange(orders_, {}), outbox_.take()};
    }
    may_start_ = around.may_decide;
    follow_hosts(state, around.now);
    // After a pause old pings look like new ones: nothing has provably
    // ended until the state is fresh again.
    if (around.may_decide)
        drop_lapsed(state, around.now);
    resolve_doubts(around.now);
    drain_centre(state);
    drain_leaving();
    shed_overspent(state);
    settle_jobs(state, around.now);
    if (around.may_decide)
        schedule(state, around.now);
    settle_jobs(state, around.now);
    build_orders(around.now);
    placer_output output{std::exchange(orders_, {}), outbox_.take()};
    // What an earlier owner started counts before it has been listed.
    const bool all_counted = !takeover_pending();
    for (log_entry& record : quota_.tick(state, around.now, all_counted))
        output.records.push_back(std::move(record));
    return output;
}

} // namespace rattan
