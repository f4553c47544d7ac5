#include "cell_world.hpp"

#include "fold/config_codec.hpp"
#include "fold/config_func.hpp"

#include <algorithm>
#include <cstdio>

namespace rattan {

using nlohmann::json;

namespace {

constexpr std::int64_t STEP_MS = 50;
constexpr std::int64_t MILLI_CORES = 1'000;
constexpr millis LEASE{2'000};
constexpr millis OWNER_TIMEOUT{300};
/**
 * Starts may go on for this long after the placers of a data centre could read
 * that it is out of service.
 */
constexpr std::int64_t DRAIN_GRACE_MS = 4'000;
const organisation_name ORGANISATION{"team"};

/** The configuration that a simulation starts with. */
json initial_config() {
    return {
        {"cell", {{"isolation_limit_s", 600}}},
        {"data_centres",
         {{"c0", {{"entry_hosts", {"h0", "h1"}}}},
          {"c1", {{"entry_hosts", {"h2", "h3"}}}}}},
        {"teams", {{"team", {{"limits", {{"cores", 12}, {"checks", 1}}}}}}},
        {"plans",
         {{"once",
           {{"teams", {"team"}},
            {"max_tasks", 3},
            {"max_task", {{"cores", 4}}}}},
          {"again",
           {{"teams", {"team"}},
            {"max_tasks", 3},
            {"restartable", true},
            {"drain", "move"},
            {"max_task", {{"cores", 4}}}}},
          {"watch",
           {{"kind", "watch"},
            {"teams", {"team"}},
            {"max_tasks", 3},
            {"restartable", true},
            {"drain", "move"},
            {"max_task", {{"cores", 4}}}}}}},
        {"keys", {{"key", {{"team", "team"}, {"salt", "0"}, {"hash", "0"}}}}}};
}

} // namespace

fault_counts& fault_counts::operator+=(const fault_counts& other) {
    fenced += other.fenced;
    answers_lost += other.answers_lost;
    orders_late += other.orders_late;
    groups_repeated += other.groups_repeated;
    takeovers += other.takeovers;
    races_lost += other.races_lost;
    adopted += other.adopted;
    shed += other.shed;
    moved += other.moved;
    return *this;
}

cell_world::cell_world(std::uint64_t seed) : random_(seed) {
    reference_fold_.observe([this](const log_entry& entry, const entry_context&,
                                   fold_verdict verdict) {
        if (std::holds_alternative<config_change>(entry) &&
            verdict == fold_verdict::base_changed)
            ++faults_.races_lost;
        if (std::holds_alternative<job_move>(entry) &&
            verdict == fold_verdict::accepted)
            ++faults_.moved;
    });
    append_from_client({config_change{.set = initial_config(),
                                      .drop = json::object(),
                                      .operator_name = "ops",
                                      .token = "first"}});
    for (int i = 0; i < 6; ++i) {
        const data_centre_id centre{"c" + std::to_string(i / 3)};
        worker_host host;
        host.info = {
            .id = {"w" + std::to_string(i)},
            .data_centre = centre,
            .rack = "r" + std::to_string(i % 2),
            .address = std::to_string(i),
            .owned = {.milli_cores = 6 * MILLI_CORES, .memory_mib = 1'000}};
        // Clocks drift apart, within what leases allow for.
        const double rate = 0.99 + 0.01 * (i % 3);
        host.model = std::make_unique<standin::worker_model>(
            standin::worker_options{.owned = host.info.owned,
                                    .instance = 1 + i,
                                    .clock_rate = rate},
            audit_);
        workers_.push_back(std::move(host));
    }
    placers_.resize(4);
    for (size_t i = 0; i < placers_.size(); ++i) {
        placers_[i].centre = {"c" + std::to_string(i / 2)};
        placers_[i].host = {"h" + std::to_string(i)};
        start_process(placers_[i]);
    }
}

mono_time cell_world::now() const {
    return mono_time(millis(time_ms_));
}

host_list cell_world::hosts() const {
    host_list list;
    list.version = time_ms_;
    for (const worker_host& host : workers_)
        list.workers.push_back(
            {host.info, host.leaving ? host_state::leaving : host_state::live});
    return list;
}

void cell_world::start_process(placer_process& process) {
    process.process_id = next_process_id_++;
    process.incarnation =
        time_ms_ + static_cast<std::int64_t>(process.process_id);
    process.sequence = 0;
    process.paused = false;
    process.log_read_at = {};
    process.pings.clear();
    process.placer = std::make_unique<placer_base>(
        placer_options{.host = process.host,
                       .data_centre = process.centre,
                       .incarnation = process.incarnation,
                       .address = process.host.value,
                       .lease = LEASE,
                       .owner_timeout = OWNER_TIMEOUT,
                       .min_poll_period = millis(100),
                       .retry_backoff = millis(200)},
        packing_policies().at("best_fit"));
    process.fold.restore({});
    placer_base* placer = process.placer.get();
    const cell_fold* fold = &process.fold;
    process.fold.observe([this, placer, fold](const log_entry& entry,
                                              const entry_context&,
                                              fold_verdict verdict) {
        placer->on_entry(fold->state(), entry, verdict, now());
    });
}

void cell_world::append_text(const std::string& text) {
    log_.push_back(text);
    log_times_.push_back(time_ms_);
    reference_fold_.apply(static_cast<std::int64_t>(log_.size()) - 1, time_ms_,
                          text);
}

void cell_world::append_from_client(const std::vector<log_entry>& entries) {
    std::vector<std::string> texts;
    for (const log_entry& entry : entries)
        texts.push_back(encode_entry(entry));
    append_text(encode_group({"outside"}, 1, ++client_sequence_, texts));
}

void cell_world::append(placer_process& process,
                        const std::vector<log_entry>& records) {
    if (records.empty())
        return;
    std::vector<std::string> texts;
    for (const log_entry& record : records)
        texts.push_back(encode_entry(record));
    const std::string text = encode_group(process.host, process.incarnation,
                                          ++process.sequence, texts);
    if (outage_ || process.log_cut) {
        undelivered_groups_.push_back(text); // may be appended later, or never
        return;
    }
    append_text(text);
}

void cell_world::read_log(placer_process& process) {
    if (outage_ || process.log_cut)
        return;
    const auto first = static_cast<size_t>(process.fold.state().next_offset);
    for (size_t offset = first; offset < log_.size(); ++offset)
        process.fold.apply(static_cast<std::int64_t>(offset),
                           log_times_[offset], log_[offset]);
    process.log_read_at = now();
}

bool cell_world::is_cut(size_t placer, const worker_id& worker) const {
    return cuts_.contains({placer, worker});
}

void cell_world::deliver(const sent_order& sent) {
    const auto host = std::find_if(workers_.begin(), workers_.end(),
                                   [&](const worker_host& each) {
                                       return each.info.id == sent.out.worker;
                                   });
    const worker_order& order = sent.out.order;
    worker_answer answer = host->model->handle_order(order, time_ms_);
    if (answer.verdict == order_verdict::fenced)
        ++faults_.fenced;
    placer_process& process = placers_[sent.placer];
    if (process.process_id != sent.process_id)
        return; // the sender has been replaced by a new process
    const bool lost = lose_answers_ > 0;
    if (lost) {
        --lose_answers_;
        ++faults_.answers_lost;
    }
    if (lost || is_cut(sent.placer, sent.out.worker))
        process.placer->on_no_answer(sent.out.worker, order.owner,
                                     order.sequence);
    else
        process.placer->on_answer(sent.out.worker, order.owner, order.sequence,
                                  answer, now());
}

void cell_world::deliver_orders() {
    std::vector<sent_order> due;
    std::erase_if(orders_, [&](const sent_order& sent) {
        if (sent.arrives_ms > time_ms_)
            return false;
        due.push_back(sent);
        return true;
    });
    std::shuffle(due.begin(), due.end(), random_);
    for (const sent_order& sent : due) {
        // The sender of a late order has already given it up.
        ++faults_.orders_late;
        const auto host = std::find_if(
            workers_.begin(), workers_.end(), [&](const worker_host& each) {
                return each.info.id == sent.out.worker;
            });
        if (host->model->handle_order(sent.out.order, time_ms_).verdict ==
            order_verdict::fenced)
            ++faults_.fenced;
    }
}

void cell_world::ping(size_t index) {
    placer_process& process = placers_[index];
    const size_t other = index ^ 1U;
    placer_process& peer = placers_[other];
    if (peer_cuts_.contains(process.centre))
        return;
    const bool no_live_lease = process.placer->has_no_live_lease(now());
    if (no_live_lease)
        peer.pings.push_back(process.host.value);
    if (!peer.paused && peer.placer->owner() != epoch{})
        process.placer->on_owner_alive(peer.placer->owner(), now());
}

void cell_world::step_placer(size_t index) {
    placer_process& process = placers_[index];
    if (process.paused)
        return;
    for (const std::string& host : std::exchange(process.pings, {}))
        process.placer->on_peer_ping({host}, true, now());
    process.placer->on_hosts(hosts());
    const bool fresh = now() - process.log_read_at <= millis(3'000);
    const placer_output output = process.placer->tick(
        process.fold.state(),
        {.now = now(),
         .log_reachable = !outage_ && !process.log_cut && fresh,
         // A placer that is cut off continues; after a pause it must have read
         // the log first.
         .may_decide = fresh || outage_ || process.log_cut});
    append(process, output.records);
    for (const outgoing_order& out : output.orders) {
        const sent_order sent{out, time_ms_, index, process.process_id};
        if (is_cut(index, out.worker)) {
            process.placer->on_no_answer(out.worker, out.order.owner,
                                         out.order.sequence);
        } else if (delay_orders_ > 0) {
            --delay_orders_;
            orders_.push_back(sent);
            orders_.back().arrives_ms +=
                static_cast<std::int64_t>(random_() % 4'000);
            process.placer->on_no_answer(out.worker, out.order.owner,
                                         out.order.sequence);
        } else {
            deliver(sent);
        }
    }
    read_log(process);
    ping(index);
}

void cell_world::check_limits() {
    const std::int64_t used =
        audit_.in_use[ORGANISATION].milli_cores / MILLI_CORES;
    if (used > allowed_cores_ && violation_.empty())
        violation_ = "organisation runs " + std::to_string(used) +
                     " cores of " + std::to_string(allowed_cores_);
    // A lowered limit binds once every placer has read it. What runs above it
    // then may end, but must not be started again.
    if (limit_pending_) {
        allowed_cores_ = std::max(allowed_cores_, limit_cores_);
        return;
    }
    allowed_cores_ = std::max(limit_cores_, std::min(allowed_cores_, used));
}

void cell_world::step() {
    time_ms_ += STEP_MS;
    for (worker_host& host : workers_)
        host.model->advance_to(time_ms_);
    check_limits();
    deliver_orders();
    std::vector<size_t> order{0, 1, 2, 3};
    std::shuffle(order.begin(), order.end(), random_);
    for (const size_t index : order) {
        step_placer(index);
        check_limits();
    }
    const bool all_read = std::none_of(
        placers_.begin(), placers_.end(), [&](const placer_process& each) {
            return outage_ || each.log_cut || each.paused;
        });
    if (all_read)
        limit_pending_ = false;
    for (const data_centre_id& centre : std::exchange(drain_pending_, {})) {
        // The grace period begins when all placers of the data centre can
        // read the change.
        const bool could_read = std::none_of(
            placers_.begin(), placers_.end(), [&](const placer_process& each) {
                return each.centre == centre &&
                       (outage_ || each.log_cut || each.paused);
            });
        if (could_read)
            drained_since_ms_[centre] = time_ms_;
        else
            drain_pending_.insert(centre);
    }
    for (const auto& [centre, since] : drained_since_ms_) {
        std::uint64_t starts = 0;
        for (const worker_host& host : workers_)
            if (host.info.data_centre == centre)
                starts += host.model->starts;
        if (time_ms_ - since <= DRAIN_GRACE_MS)
            starts_when_drained_[centre] = starts;
        else if (starts > starts_when_drained_[centre] && violation_.empty())
            violation_ = "a task started in " + centre.value +
                         " after it went out of service";
    }
}

void cell_world::publish(const json& set) {
    append_from_client(
        {config_change{.base = reference_fold_.state().config.version,
                       .set = set,
                       .drop = json::object(),
                       .operator_name = "ops",
                       .token = std::to_string(time_ms_)}});
}

void cell_world::submit(int selector) {
    if (outage_)
        return;
    const request_id request{std::to_string(time_ms_) + "-" +
                             std::to_string(submitted_.size())};
    const job_id id = job_of_request(ORGANISATION, request);
    const int kind = selector % 4;
    const bool runs_once = kind < 2;
    job_spec spec{.organisation = ORGANISATION,
                  .key = {"key"},
                  .plan = {runs_once   ? "once"
                           : kind == 2 ? "again"
                                       : "watch"},
                  .request = request,
                  .kind = kind == 3 ? work_kind::watch : work_kind::batch,
                  .tasks = 1 + selector % 3,
                  .shape = {.milli_cores = (1 + selector % 4) * MILLI_CORES},
                  .run_ms = 300 + 400 * (selector % 7),
                  .restartable = !runs_once,
                  .drain =
                      runs_once ? drain_policy::finish : drain_policy::move,
                  .max_attempts = 100,
                  .data_centre = {"c" + std::to_string(selector % 2)}};
    append_from_client({job_accept{id, spec}});
    // The caller sends it twice: the same id must not run again.
    append_from_client({job_accept{id, spec}});
    submitted_.push_back({id, spec, runs_once});
}

void cell_world::apply(const event& next) {
    const auto selector = static_cast<size_t>(next.selector);
    placer_process& process = placers_[selector % placers_.size()];
    worker_host& host = workers_[selector % workers_.size()];
    switch (next.kind) {
    case event_kind::pass_time:
        for (int i = 0; i < next.amount; ++i)
            step();
        return;
    case event_kind::submit:
        return submit(next.selector);
    case event_kind::cancel:
        if (!submitted_.empty() && !outage_)
            append_from_client({job_cancel{
                submitted_[selector % submitted_.size()].id, ORGANISATION}});
        return;
    case event_kind::resubmit_job:
        if (!submitted_.empty() && !outage_) {
            const submitted_job& job = submitted_[selector % submitted_.size()];
            append_from_client({job_accept{job.id, job.spec}});
        }
        return;
    case event_kind::kill_placer:
        return start_process(process);
    case event_kind::pause_placer:
        process.paused = true;
        return;
    case event_kind::resume_placer:
        process.paused = false;
        return;
    case event_kind::toggle_log_access:
        process.log_cut = !process.log_cut;
        return;
    case event_kind::toggle_worker_link: {
        const std::pair<size_t, worker_id> cut{selector % placers_.size(),
                                               host.info.id};
        if (cuts_.erase(cut) == 0)
            cuts_.insert(cut);
        return;
    }
    case event_kind::toggle_peer_link:
        if (peer_cuts_.erase(process.centre) == 0)
            peer_cuts_.insert(process.centre);
        return;
    case event_kind::toggle_log_outage:
        outage_ = !outage_;
        return;
    case event_kind::duplicate_group:
        if (!outage_) {
            ++faults_.groups_repeated;
            append_text(std::string(log_[selector % log_.size()]));
        }
        return;
    case event_kind::late_group:
        if (!outage_ && !undelivered_groups_.empty()) {
            ++faults_.groups_repeated;
            append_text(
                undelivered_groups_[selector % undelivered_groups_.size()]);
        }
        return;
    case event_kind::restart_worker:
        return host.model->restart(time_ms_);
    case event_kind::toggle_worker_leaving:
        host.leaving = !host.leaving;
        return;
    case event_kind::lose_answers:
        lose_answers_ += next.amount;
        return;
    case event_kind::delay_orders:
        delay_orders_ += next.amount;
        return;
    case event_kind::change_limit: {
        if (outage_)
            return;
        limit_cores_ = 4 + 4 * (next.selector % 4);
        limit_pending_ = true;
        return publish(
            {{"teams",
              {{"team",
                {{"limits", {{"cores", limit_cores_}, {"checks", 1}}}}}}}});
    }
    case event_kind::toggle_data_centre: {
        if (outage_)
            return;
        const data_centre_id centre = process.centre;
        json entry = reference_fold_.state()
                         .config.document["data_centres"][centre.value];
        const bool out = entry.value("in_service", true);
        entry["in_service"] = !out;
        publish({{"data_centres", {{centre.value, entry}}}});
        drain_pending_.erase(centre);
        drained_since_ms_.erase(centre);
        if (out)
            drain_pending_.insert(centre);
        return;
    }
    case event_kind::race_config_changes: {
        if (outage_)
            return;
        const json document = reference_fold_.state().config.document;
        const config_change change{.base =
                                       reference_fold_.state().config.version,
                                   .set = {{"teams", document["teams"]}},
                                   .drop = json::object(),
                                   .operator_name = "racer",
                                   .token = "race"};
        return append_from_client({change, change});
    }
    }
}

std::string cell_world::violation() const {
    if (!violation_.empty())
        return violation_;
    if (audit_.two_places > 0)
        return "a task ran in two places";
    if (audit_.overcommitted > 0)
        return "a worker was overcommitted";
    for (const submitted_job& job : submitted_) {
        for (std::int32_t index = 0; index < 3; ++index) {
            const auto starts = audit_.starts.find({job.id, index});
            if (job.runs_once && starts != audit_.starts.end() &&
                starts->second > 1)
                return "a job that may run once was started " +
                       std::to_string(starts->second) + " times";
        }
        const auto ended = reference_fold_.state().ended.find(job.id);
        if (ended == reference_fold_.state().ended.end())
            continue;
        for (const auto& [task, count] : audit_.running)
            if (task.job == job.id &&
                ended->second.outcome == job_outcome::done)
                return "a job that is done still runs";
    }
    return "";
}

size_t cell_world::live_jobs() const {
    return reference_fold_.state().jobs.size();
}

bool cell_world::completes_all_jobs() {
    outage_ = false;
    lose_answers_ = 0;
    delay_orders_ = 0;
    cuts_.clear();
    peer_cuts_.clear();
    drained_since_ms_.clear();
    drain_pending_.clear();
    for (worker_host& host : workers_)
        host.leaving = false;
    for (placer_process& process : placers_) {
        process.paused = false;
        process.log_cut = false;
    }
    json centres = reference_fold_.state().config.document["data_centres"];
    for (auto& [name, entry] : centres.items())
        entry["in_service"] = true;
    limit_cores_ = 16;
    limit_pending_ = true;
    publish(
        {{"data_centres", centres},
         {"teams", {{"team", {{"limits", {{"cores", 16}, {"checks", 1}}}}}}}});
    for (const submitted_job& job : submitted_) {
        const auto live = reference_fold_.state().jobs.find(job.id);
        if (live != reference_fold_.state().jobs.end() &&
            live->second.spec.kind == work_kind::watch)
            append_from_client({job_cancel{job.id, ORGANISATION}});
    }
    for (int i = 0; i < 2'400 && live_jobs() > 0 && violation().empty(); ++i)
        step();
    return live_jobs() == 0;
}

void cell_world::print_state() const {
    std::printf("%lld owners", static_cast<long long>(time_ms_));
    for (const placer_process& process : placers_)
        std::printf(" %s=%lld", process.host.value.c_str(),
                    static_cast<long long>(process.placer->owner().value));
    for (const auto& [task, count] : audit_.running)
        std::printf(" %s/%d:%d", task.job.value.substr(0, 5).c_str(),
                    task.index, count);
    for (const worker_host& host : workers_)
        std::printf(" %s:%zu", host.info.id.value.c_str(),
                    host.model->running());
    for (const auto& [verdict, count] : reference_fold_.verdict_counts())
        std::printf(" %s=%llu", verdict.c_str(),
                    static_cast<unsigned long long>(count));
    std::printf("\n");
    for (const placer_process& process : placers_)
        if (process.placer->owner() != epoch{})
            std::printf("  %s %s\n", process.host.value.c_str(),
                        process.placer->dump(now())["jobs"].dump().c_str());
}

fault_counts cell_world::faults() const {
    fault_counts all = faults_;
    for (const placer_process& process : placers_) {
        const auto& counters = process.placer->counters();
        const auto count = [&](const char* name) {
            const auto found = counters.find(name);
            return found == counters.end() ? 0 : found->second;
        };
        all.takeovers += count("ownership_begun");
        all.adopted += count("tasks_adopted");
        all.shed += count("jobs_shed");
    }
    return all;
}

} // namespace rattan
