#include "dispatch_world.hpp"

#include "dispatch/record_codec.hpp"

#include <algorithm>
#include <cmath>

namespace rattan::dispatch::testing {

namespace {

/** Unix time at time 0. */
constexpr std::int64_t WALL_OFFSET = 1'700'000'000'000;
/** Difference between the clocks of successive targets. */
constexpr std::int64_t CLOCK_OFFSET_STEP = 77'777;
constexpr int TARGETS_PER_RACK = 8;
constexpr std::int64_t MEMORY_MIB = 1 << 20;
constexpr millis START_TIMEOUT{350}; ///< For the answer to a start order.
/** After which a delayed start order is carried out. */
constexpr millis START_DELAY{3000};
const std::string SERVICE = "pool";

} // namespace

simulated_cell::simulated_cell(const simulation_options& options)
    : options_(options), random_(options.seed) {
    static constexpr double SIZE_FACTORS[] = {1.0, 1.0, 0.5, 2.0};
    for (int i = 0; i < options.targets; ++i) {
        fake_target target;
        target.entry = {
            .id = target_name(i),
            .address = "10.0.0." + std::to_string(i),
            .data_centre = {"dc" + std::to_string(i % 3)},
            .service = {SERVICE},
            .capacity = {static_cast<std::int64_t>(
                             SIZE_FACTORS[i % 4] *
                             static_cast<double>(options.target_cores)),
                         MEMORY_MIB, 0},
            .labels = {"a", "r1-" + std::to_string(i / TARGETS_PER_RACK)},
            .rack = "r1-" + std::to_string(i / TARGETS_PER_RACK),
            .incarnation = 1};
        targets_.push_back(std::move(target));
    }
    config_.version = 1;
    config_.services.push_back({.name = {SERVICE}});
    restart_owner();
}

target_id simulated_cell::target_name(int target) {
    return {"t" + std::to_string(100 + target)};
}

owner_clock simulated_cell::clock() const {
    return {.now = mono_time(millis(now_)), .wall_ms = WALL_OFFSET + now_};
}

void simulated_cell::at(millis when, std::function<void()> call) {
    events_.push({when.count(), next_event_++, std::move(call)});
}

void simulated_cell::after(millis delay, std::function<void()> call) {
    at(millis(now_) + delay, std::move(call));
}

void simulated_cell::deliver_answer(std::function<void()> call) {
    // Answers to an earlier owner are dropped.
    after(options_.order_latency,
          [this, call = std::move(call), epoch = epoch_] {
              if (epoch != epoch_)
                  return;
              call();
              schedule_tick();
          });
}

void simulated_cell::schedule_tick() {
    if (std::exchange(tick_pending_, true))
        return;
    after(millis(1), [this] {
        tick_pending_ = false;
        ++ticks_;
        owner_->ownership_confirmed(clock().now);
        owner_->tick(clock());
        const std::int64_t due = std::clamp<std::int64_t>(
            owner_->next_due(clock()).time_since_epoch().count(), now_ + 5,
            now_ + 100);
        if (tick_at_ > now_ && tick_at_ <= due)
            return;
        tick_at_ = due;
        at(millis(due), [this, due] {
            if (tick_at_ == due)
                schedule_tick();
        });
    });
}

void simulated_cell::run_until(millis when) {
    while (!events_.empty() && events_.top().at <= when.count()) {
        const event next = events_.top();
        events_.pop();
        now_ = std::max(now_, next.at);
        next.call();
    }
    now_ = std::max(now_, when.count());
}

void simulated_cell::add_queue(const request_kind& kind) {
    kinds_[kind.queue] = kind;
    config_.queues.push_back({.name = {kind.queue},
                              .host = "h",
                              .path_prefix = "/" + kind.queue + "/",
                              .service = {SERVICE},
                              .priority = kind.priority,
                              .max_attempts = 4,
                              .stretch = kind.stretch,
                              .objective = kind.objective,
                              .advice = kind.advice});
    owner_->set_config(config_);
}

void simulated_cell::add_organisation(const std::string& name, double weight) {
    config_.organisations.push_back({.name = {name}, .weight = weight});
    owner_->set_config(config_);
}

void simulated_cell::submit_from(const request_kind& kind,
                                 const std::string& organisation, millis from,
                                 millis to, double rate_factor) {
    std::exponential_distribution<double> interval(kind.per_second *
                                                   rate_factor / 1000.0);
    std::int64_t when = from.count();
    while ((when += 1 + static_cast<std::int64_t>(interval(random_))) <
           to.count())
        at(millis(when), [this, kind, organisation] {
            const auto draw = [this](double mean, double spread, double max) {
                std::lognormal_distribution<double> deviation(
                    -spread * spread / 2, spread);
                return std::clamp(mean * deviation(random_), 1.0, max);
            };
            job_spec spec{.payload = "p"};
            const int steps =
                static_cast<int>(std::lround(draw(kind.steps, 0.4, 4)));
            for (int s = 0; s < steps; ++s) {
                step_spec step{
                    .count = static_cast<std::int32_t>(std::lround(draw(
                        kind.tasks_per_step, 0.8, 6 * kind.tasks_per_step))),
                    .demand = {static_cast<std::int64_t>(
                                   draw(kind.milli_cores, 0.45,
                                        3 * kind.milli_cores)),
                               100, 0},
                    .estimate = millis(static_cast<std::int64_t>(
                        draw(kind.task_ms, 0.5, 2.5 * kind.task_ms)))};
                if (s > 0)
                    step.after = {s - 1};
                spec.steps.push_back(step);
            }
            submit(kind.queue, organisation, spec);
        });
}

job_id simulated_cell::submit(const std::string& queue,
                              const std::string& organisation, job_spec spec) {
    const job_id id{"job" + std::to_string(100000 + next_job_++)};
    const request_kind& kind = kinds_.at(queue);
    actual_specs_[id] = actual_spec(spec, id);
    jobs_[id] = {queue, organisation, now_,
                 static_cast<std::int64_t>(
                     kind.stretch *
                     static_cast<double>(
                         critical_path_length(actual_specs_[id]).count())) +
                     kind.objective.count(),
                 0};
    job_record record{.id = id,
                      .queue = {queue},
                      .organisation = {organisation},
                      .spec = std::move(spec),
                      .accepted_ms = WALL_OFFSET + now_};
    accepted_[id] = record;
    owner_->job_accepted(std::move(record), clock());
    schedule_tick();
    return id;
}

int simulated_cell::index_of(const target_id& id) const {
    return std::stoi(id.value.substr(1)) - 100;
}

millis simulated_cell::actual_duration(const task_id& task) {
    const millis step = actual_specs_.at(task.step.job)
                            .steps[static_cast<size_t>(task.step.step)]
                            .estimate;
    const auto slowdown = task_slowdowns_.find(task);
    return slowdown == task_slowdowns_.end()
               ? step
               : millis(static_cast<std::int64_t>(
                     static_cast<double>(step.count()) * slowdown->second));
}

job_spec simulated_cell::actual_spec(const job_spec& spec, const job_id& job) {
    job_spec out = spec;
    if (options_.estimate_error <= 0)
        return out;
    std::minstd_rand draw(static_cast<std::uint32_t>(
        std::hash<std::string>()(job.value) + options_.seed));
    std::lognormal_distribution<double> error(0, options_.estimate_error);
    for (step_spec& step : out.steps)
        step.estimate = millis(static_cast<std::int64_t>(
            static_cast<double>(step.estimate.count()) * error(draw)));
    return out;
}

void simulated_cell::start(const target_address& address,
                           const start_order& order) {
    ++starts_;
    const auto unanswered = [this, address, order, epoch = epoch_] {
        if (epoch != epoch_)
            return;
        owner_->start_answered(address.id, order.task, order.run,
                               {.sent = true}, clock());
        schedule_tick();
    };
    if (std::bernoulli_distribution(delayed_start_share_)(random_)) {
        after(START_TIMEOUT, unanswered);
        after(START_DELAY, [this, address, order] {
            if (!targets_[static_cast<size_t>(index_of(address.id))].silent)
                deliver_start(address, order, false);
        });
        return;
    }
    after(options_.order_latency / 2, [this, address, order, unanswered,
                                       answer_arrives = !drop_start_answers_] {
        if (targets_[static_cast<size_t>(index_of(address.id))].silent)
            after(START_TIMEOUT, unanswered);
        else
            deliver_start(address, order, answer_arrives);
    });
}

void simulated_cell::deliver_start(const target_address& address,
                                   const start_order& order,
                                   bool answer_arrives) {
    const int index = index_of(address.id);
    fake_target& target = targets_[static_cast<size_t>(index)];
    order_answer answer{
        .answered = true, .sent = true, .clock_ms = target_clock_ms(index)};
    const step_spec& spec =
        accepted_.at(order.task.step.job)
            .spec.steps[static_cast<size_t>(order.task.step.step)];
    if (order.fencing_token < target.fencing_token) {
        answer.refusal = order_refusal::stale_token;
    } else if (order.lease_end_ms <= answer.clock_ms) {
        answer.refusal = order_refusal::lease_expired;
    } else if (target.stopped_runs[order.task] >= order.run) {
        answer.refusal = order_refusal::stale_run;
    } else {
        target.fencing_token = order.fencing_token;
        target.lease_end_ms = std::max(target.lease_end_ms, order.lease_end_ms);
        resources used = spec.demand;
        for (const auto& [task, run] : target.runs)
            used += run.demand;
        if (!used.fits_in(target.entry.capacity))
            ++overcommitted_starts_;
        for (fake_target& other : targets_) {
            expire_leases(other);
            if (other.runs.contains(order.task))
                ++overlapping_runs_;
        }
        const millis takes =
            target.failing
                ? millis(20)
                : millis(static_cast<std::int64_t>(
                      static_cast<double>(actual_duration(order.task).count()) *
                      target.slowdown));
        target.runs[order.task] = {
            order.run, now_,
            spec.long_lived ? std::numeric_limits<std::int64_t>::max()
                            : now_ + takes.count(),
            spec.demand};
        answer.done = true;
        if (!spec.long_lived || target.failing)
            after(takes, [this, index, task = order.task, run = order.run] {
                fake_target& executor = targets_[static_cast<size_t>(index)];
                const auto found = executor.runs.find(task);
                if (found != executor.runs.end() && found->second.run == run)
                    end_run(executor, task,
                            executor.failing ? run_end::failed : run_end::done);
            });
    }
    if (!answer_arrives && delayed_start_share_ > 0)
        return; // The owner has already seen a timeout.
    if (!answer_arrives)
        answer = {.sent = true};
    deliver_answer([this, address, order, answer] {
        owner_->start_answered(address.id, order.task, order.run, answer,
                               clock());
    });
}

void simulated_cell::end_run(fake_target& target, task_id task, run_end how) {
    const std::int32_t run = target.runs.at(task).run;
    target.runs.erase(task);
    target.stopped_runs[task] = std::max(target.stopped_runs[task], run);
    target.ended.push_back(
        {.sequence = ++target.last_end, .task = task, .run = run, .end = how});
    if (target.pending_poll)
        std::exchange(target.pending_poll, nullptr)();
}

void simulated_cell::stop(const target_address& address, const task_id& task,
                          std::int32_t run, std::int64_t fencing_token) {
    after(options_.order_latency / 2,
          [this, address, task, run, fencing_token] {
              fake_target& target =
                  targets_[static_cast<size_t>(index_of(address.id))];
              order_answer answer{.sent = true};
              if (!target.silent && fencing_token >= target.fencing_token &&
                  !ignore_stops_) {
                  answer.answered = true;
                  answer.done = true;
                  target.stopped_runs[task] =
                      std::max(target.stopped_runs[task], run);
                  const auto found = target.runs.find(task);
                  if (found != target.runs.end() && found->second.run <= run)
                      end_run(target, task, run_end::stopped);
              }
              deliver_answer([this, address, task, run, answer] {
                  owner_->stop_answered(address.id, task, run, answer, clock());
              });
          });
}

void simulated_cell::expire_leases(fake_target& target) {
    const int index = index_of(target.entry.id);
    if (target_clock_ms(index) <= target.lease_end_ms)
        return;
    while (!target.runs.empty())
        end_run(target, target.runs.begin()->first, run_end::lease_expired);
}

void simulated_cell::poll(const target_address& address,
                          const poll_order& order) {
    const int index = index_of(address.id);
    const mono_time sent_at = clock().now;
    after(options_.order_latency / 2, [this, index, order, sent_at] {
        fake_target& target = targets_[static_cast<size_t>(index)];
        expire_leases(target);
        if (target.silent)
            return time_out_poll(index, order, sent_at);
        if (order.fencing_token < target.fencing_token) {
            deliver_answer([this, index, sent_at] {
                owner_->poll_answered(
                    target_name(index),
                    {.order = {.answered = true,
                               .sent = true,
                               .refusal = order_refusal::stale_token}},
                    sent_at, clock());
            });
            return;
        }
        target.fencing_token = order.fencing_token;
        target.lease_end_ms = std::max(target.lease_end_ms, order.lease_end_ms);
        std::erase_if(target.ended, [&](const listed_end& end) {
            return end.sequence <= order.last_seen;
        });
        if (!target.ended.empty() || order.wait.count() == 0)
            return send_poll_answer(index, order, sent_at);
        auto answered = std::make_shared<bool>(false);
        const auto answer = [this, index, order, sent_at, answered] {
            if (!std::exchange(*answered, true))
                send_poll_answer(index, order, sent_at);
        };
        target.pending_poll = answer;
        after(order.wait, answer);
    });
}

void simulated_cell::time_out_poll(int index, const poll_order& order,
                                   mono_time sent_at) {
    const millis due = sent_at.time_since_epoch() + order.timeout;
    at(std::max(due, millis(now_)),
       [this, index, sent_at, order, epoch = epoch_] {
           if (epoch != epoch_)
               return;
           owner_->poll_answered(
               target_name(index),
               {.order = {.sent = true}, .concurrent = order.concurrent},
               sent_at, clock());
           schedule_tick();
       });
}

void simulated_cell::send_poll_answer(int index, const poll_order& order,
                                      mono_time sent_at) {
    const fake_target& target = targets_[static_cast<size_t>(index)];
    if (target.silent)
        return time_out_poll(index, order, sent_at);
    poll_answer answer{.order = {.answered = true,
                                 .sent = true,
                                 .done = true,
                                 .clock_ms = target_clock_ms(index)},
                       .concurrent = order.concurrent,
                       .incarnation = target.entry.incarnation};
    for (const auto& [task, run] : target.runs)
        answer.running.push_back(
            {.task = task,
             .run = run.run,
             .percent = static_cast<std::int32_t>(
                 100 * (now_ - run.started_at) /
                 std::max<std::int64_t>(1, run.ends_at - run.started_at))});
    for (const listed_end& end : target.ended)
        if (end.sequence > order.last_seen)
            answer.ended.push_back(end);
    deliver_answer([this, index, answer, sent_at] {
        owner_->poll_answered(target_name(index), answer, sent_at, clock());
    });
}

void simulated_cell::ask_advice(const host_id& host, const step_ref& step,
                                const std::vector<std::string>& names, millis) {
    const std::string& queue = accepted_.at(step.job).queue.value;
    const request_kind& kind = kinds_.at(queue);
    const millis duration = advice_call_duration(kind.advice, names.size());
    std::int64_t& free_at = advice_free_at_[host];
    free_at = std::max(free_at, now_ + 1) + duration.count();
    advice_answer answer{.ok = true,
                         .ticket_lifetime = kind.advice.ticket_lifetime};
    for (const std::string& name : names) {
        const size_t draw =
            std::hash<std::string>()(name + step.job.value +
                                     std::to_string(step.step)) %
            1000;
        if (static_cast<double>(draw) < kind.eligible_share * 1000)
            answer.eligible.push_back({{name}, "ticket"});
    }
    at(millis(free_at), [this, host, step, answer, epoch = epoch_,
                         slow = duration >= advice_table::SLOW_CALL_THRESHOLD] {
        if (epoch != epoch_)
            return;
        owner_->advice_answered(host, step, slow, answer, clock());
        schedule_tick();
    });
}

void simulated_cell::store(const std::vector<store_record>& records) {
    pending_appends_.push_back(records);
    after(options_.append_latency, [this, epoch = epoch_] {
        if (epoch == epoch_)
            flush_store();
    });
}

void simulated_cell::flush_store() {
    if (store_down_ || pending_appends_.empty())
        return;
    for (const auto& batch : std::exchange(pending_appends_, {}))
        for (const store_record& record : batch) {
            stored_[record.key] = record.value;
            if (!record.key.starts_with("p/"))
                continue;
            const job_id id{record.key.substr(2)};
            const job_entry* job = owner_->jobs().find(id);
            if (job != nullptr && job->state == job_state::completed &&
                jobs_[id].ended_at == 0)
                jobs_[id].ended_at = now_;
        }
    owner_->records_stored(clock());
    schedule_tick();
}

void simulated_cell::set_store_down(bool down) {
    store_down_ = down;
    if (!down)
        flush_store();
}

std::int64_t simulated_cell::target_clock_ms(int target) const {
    return CLOCK_OFFSET_STEP * (target + 1) +
           static_cast<std::int64_t>(static_cast<double>(now_) *
                                     options_.target_clock_rate);
}

void simulated_cell::restart_owner() {
    begin_ownership(std::nullopt);
}

void simulated_cell::hand_over() {
    begin_ownership(owner_->resign(clock()));
}

void simulated_cell::begin_ownership(std::optional<lease_handover> handover) {
    ++epoch_;
    pending_appends_.clear();
    owner_settings settings;
    settings.epoch = epoch_;
    owner_ = std::make_unique<owner>(settings, *this);
    owner_->set_config(config_);
    std::vector<host_id> hosts;
    for (int i = 0; i < options_.hosts; ++i)
        hosts.push_back({"h" + std::to_string(i)});
    owner_->set_hosts(hosts);
    owner_->ownership_confirmed(clock().now);
    for (const fake_target& target : targets_)
        if (target.listed)
            owner_->target_listed(target.entry, clock());
    for (const auto& [id, record] : accepted_) {
        job_entry job{.record = record};
        const auto progress = stored_.find(progress_key(id));
        if (progress != stored_.end()) {
            if (auto ended =
                    decode_ended_job(id, progress->second, clock().wall_ms)) {
                owner_->restore_job(std::move(*ended), clock());
                continue;
            }
            apply_progress(job, progress->second);
        }
        owner_->restore_job(std::move(job), clock());
    }
    if (handover) {
        const std::string record =
            encode_owner({.epoch = epoch_ - 1, .leases = std::move(handover)});
        owner_->inherit_leases(*decode_owner(record).leases, clock().now);
    }
    owner_->take_over(clock());
    schedule_tick();
}

void simulated_cell::set_silent(int target, bool silent) {
    targets_[static_cast<size_t>(target)].silent = silent;
}

void simulated_cell::restart_target(int target) {
    fake_target& restarted = targets_[static_cast<size_t>(target)];
    restarted.runs.clear();
    restarted.ended.clear();
    restarted.last_end = 0;
    restarted.fencing_token = 0;
    restarted.lease_end_ms = 0;
    restarted.stopped_runs.clear();
    ++restarted.entry.incarnation;
}

void simulated_cell::lose_target(int target) {
    restart_target(target);
    targets_[static_cast<size_t>(target)].pending_poll = nullptr;
    set_silent(target, true);
}

void simulated_cell::set_listed(int target, bool listed) {
    fake_target& changed = targets_[static_cast<size_t>(target)];
    changed.listed = listed;
    if (listed)
        owner_->target_listed(changed.entry, clock());
    else
        owner_->target_delisted(changed.entry.id);
    schedule_tick();
}

void simulated_cell::break_gangs(const job_id& job) {
    for (fake_target& target : targets_) {
        std::vector<task_id> members;
        for (const auto& [task, run] : target.runs)
            if (task.step.job == job &&
                accepted_.at(job)
                    .spec.steps[static_cast<size_t>(task.step.step)]
                    .gang)
                members.push_back(task);
        for (const task_id& task : members)
            end_run(target, task, run_end::gang_broken);
    }
}

void simulated_cell::set_failing(int target, bool failing) {
    targets_[static_cast<size_t>(target)].failing = failing;
}

void simulated_cell::set_slow(int target, double factor) {
    targets_[static_cast<size_t>(target)].slowdown = factor;
}

job_outcome simulated_cell::count(
    const std::function<bool(const submitted&)>& selects) const {
    job_outcome out;
    for (const auto& [id, job] : jobs_) {
        if (!selects(job))
            continue;
        ++out.jobs;
        out.ended += job.ended_at > 0 ? 1 : 0;
        out.in_time +=
            job.ended_at > 0 && job.ended_at - job.at <= job.objective ? 1 : 0;
    }
    return out;
}

job_outcome simulated_cell::queue_result(const std::string& queue) const {
    return count([&](const submitted& job) { return job.queue == queue; });
}

job_outcome
simulated_cell::organisation_result(const std::string& organisation) const {
    return count(
        [&](const submitted& job) { return job.organisation == organisation; });
}

std::size_t simulated_cell::runs_of(const job_id& job) const {
    std::size_t count = 0;
    for (const fake_target& target : targets_)
        count += static_cast<std::size_t>(std::count_if(
            target.runs.begin(), target.runs.end(),
            [&](const auto& item) { return item.first.step.job == job; }));
    return count;
}

bool simulated_cell::has_run(const target_id& target, const task_id& task,
                             std::int32_t run) const {
    const auto& runs = targets_[static_cast<size_t>(index_of(target))].runs;
    const auto found = runs.find(task);
    return found != runs.end() && found->second.run == run;
}

bool simulated_cell::usable(const target_id& target) const {
    const fake_target& found = targets_[static_cast<size_t>(index_of(target))];
    return found.listed && !found.silent;
}

resources simulated_cell::free_capacity(const target_id& target) const {
    const fake_target& found = targets_[static_cast<size_t>(index_of(target))];
    resources out = found.entry.capacity;
    for (const auto& [task, run] : found.runs)
        out -= run.demand;
    return out;
}

} // namespace rattan::dispatch::testing
