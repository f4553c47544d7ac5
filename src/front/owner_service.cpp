#include "front/owner_service.hpp"

#include "base/log_func.hpp"
#include "net/program_runtime.hpp"
#include "net/thrift_codec.hpp"
#include "platform/wire_codec.hpp"
#include "rattan/error_type.hpp"

#include <algorithm>
#include <ctime>
#include <utility>

namespace rattan::front {

using namespace dispatch;
using platform::append_answer;
using platform::keyed_record;
using platform::newest_answer;
using platform::store_result;

namespace {

constexpr millis LOAD_TIME{1500}; ///< Of a page of records.
constexpr millis JOBS_WAIT{2000}; ///< A read of jobs waits so long.
/** Hosts tell of jobs directly: the log only shows what they could not. */
constexpr millis JOBS_PAUSE{500};
constexpr millis EAGER_TIME{5000}; ///< Without pauses, after such a record.
constexpr millis DROP_TIME{1500};
constexpr millis DROP_RETRY{1000};
constexpr millis RETRY_TIME{100}; ///< After a call without success.
/** Of an order that starts a run: it may be carried out seconds later. */
constexpr millis SHORTEST_START{350};
constexpr millis LONGEST_START{900};
constexpr millis STOP_TIME{700};    ///< Of one that stops or slows it.
constexpr millis LIST_PAUSE{300};   ///< Between reads of the target list.
constexpr millis SHORTEST_SLEEP{5}; ///< Between rounds without an event.
constexpr millis LONGEST_SLEEP{100};
constexpr millis STANDSTILL{200};     ///< A shorter one needs no care.
constexpr size_t PROGRESS_PREFIX = 2; ///< Of `p/` and the like.

/** Time that this host stood still since it booted. */
millis time_suspended() {
    timespec boot{};
    timespec steady{};
    clock_gettime(CLOCK_BOOTTIME, &boot);
    clock_gettime(CLOCK_MONOTONIC, &steady);
    constexpr std::int64_t NANOS = 1'000'000;
    return millis((boot.tv_sec - steady.tv_sec) * 1000 +
                  (boot.tv_nsec - steady.tv_nsec) / NANOS);
}

owner_settings decide_settings(const platform::platform_settings& settings,
                               std::int64_t epoch) {
    owner_settings out{.epoch = epoch};
    out.lease = std::min(out.lease, settings.longest_lease);
    out.stop_duration = settings.stop_time;
    out.state_retention = settings.state_kept;
    out.tail_violation_limit = settings.harm_time;
    return out;
}

} // namespace

template <typename Call>
auto owner_service::guarded(Call call) {
    return [this, call = std::move(call),
            alive = std::weak_ptr(alive_)](const auto&... values) {
        if (!alive.expired())
            call(values...);
    };
}

owner_service::owner_service(const owner_context& context, std::int64_t epoch)
    : context_(context),
      targets_([&delegates = context.delegates](const http_call& call,
                                                http_client::callback done) {
          delegates.call(call, std::move(done));
      }),
      owner_(decide_settings(context.settings, epoch), *this), epoch_(epoch),
      progress_(context.loop, context.store, epoch,
                std::min(context.settings.store_parts, MOST_PROGRESS_PARTS),
                {.fenced = [this] { context_.members.deposed(); },
                 .answered =
                     [this](mono_time sent_at) {
                         context_.members.store_answered();
                         owner_.ownership_confirmed(sent_at);
                     }}),
      progress_to_load_(progress_.parts()),
      start_pace_(SHORTEST_START, LONGEST_START),
      suspended_before_(time_suspended()) {
    follow_jobs();
    listed_ = std::make_unique<topic_follower>(
        context_.loop, context_.store,
        follow_options{.topic = platform::TARGETS_TOPIC,
                       .wait = millis(1000),
                       .pause = LIST_PAUSE},
        [this](const keyed_record& record) { take_target_record(record); },
        [this](const std::set<std::string>& keys) {
            for (const std::string& key : target_keys_)
                if (!keys.contains(key))
                    owner_.target_delisted({key});
            target_keys_ = keys;
            load_done();
        });
    progress_.fence([this] { fenced(); });
}

void owner_service::follow_jobs() {
    const int parts = std::min(context_.settings.store_parts, MOST_JOB_PARTS);
    eager_until_.resize(static_cast<std::size_t>(parts));
    for (int part = 0; part < parts; ++part)
        jobs_.push_back(std::make_unique<topic_follower>(
            context_.loop, context_.store,
            follow_options{
                .topic = JOBS_TOPIC, .part = part, .wait = JOBS_WAIT},
            [this, part](const keyed_record& record) {
                take_followed_record(static_cast<std::size_t>(part), record);
            },
            [this](const std::set<std::string>&) { load_done(); }));
}

owner_service::~owner_service() {
    alive_.reset();
    context_.loop.cancel(timer_);
}

owner_clock owner_service::clock() {
    const millis suspended = time_suspended();
    if (suspended - suspended_before_ > STANDSTILL) {
        log_event(
            log_level::warning, "stood_still",
            {{"ms", std::to_string((suspended - suspended_before_).count())}});
        owner_.process_suspended();
    }
    suspended_before_ = suspended;
    return {.now = event_loop::now(), .wall_ms = wall_millis()};
}

void owner_service::fenced() {
    for (const auto& part : jobs_)
        part->start();
    listed_->start();
    for (int part = 0; part < progress_.parts(); ++part)
        load_progress(part, "");
}

void owner_service::load_progress(int part, const std::string& after) {
    context_.store.newest(
        PROGRESS_TOPIC, part, after, LOAD_TIME,
        guarded([this, part, after](const newest_answer& page) {
            if (page.result != store_result::ok) {
                context_.loop.after(RETRY_TIME, guarded([this, part, after] {
                                        load_progress(part, after);
                                    }));
                return;
            }
            if (!page.records.empty())
                progress_.note_keys(part);
            for (const keyed_record& record : page.records)
                take_progress(record);
            if (page.more && !page.records.empty())
                return load_progress(part, page.records.back().key);
            --progress_to_load_;
            load_done();
        }));
}

void owner_service::take_progress(const keyed_record& record) {
    try {
        auto [stamp, value] = split_progress(record.value);
        loaded_progress& known =
            loaded_progress_[{record.key.substr(PROGRESS_PREFIX)}];
        if (stamp > known.stamp)
            known = {stamp, std::move(value)};
    } catch (const decode_error& failure) {
        log_event(log_level::error, "progress_unreadable",
                  {{"key", record.key}, {"cause", failure.what()}});
    }
}

void owner_service::load_done() {
    const bool jobs_loaded =
        std::all_of(jobs_.begin(), jobs_.end(),
                    [](const auto& part) { return part->loaded(); });
    if (serving_ || progress_to_load_ > 0 || !jobs_loaded || !listed_->loaded())
        return;
    const owner_clock at = clock();
    for (const auto& [id, record] : std::exchange(loaded_jobs_, {}))
        restore_job(id, record, at);
    std::vector<std::string> orphans;
    for (const auto& [id, progress] : std::exchange(loaded_progress_, {}))
        if (owner_.jobs().find(id) == nullptr)
            orphans.push_back(progress_key(id));
    progress_.drop(orphans);
    owner_.take_over(at);
    serving_ = true;
    for (const job_id& id : std::exchange(loaded_cancels_, {}))
        owner_.job_cancelled(id, at);
    for (const auto& part : jobs_)
        part->set_pause(JOBS_PAUSE);
    log_event(log_level::info, "owner_serving",
              {{"epoch", std::to_string(epoch_)},
               {"jobs", std::to_string(owner_.jobs().all().size())},
               {"targets", std::to_string(owner_.targets().all().size())}});
    wake();
}

void owner_service::restore_job(const job_id& id, const std::string& record,
                                const owner_clock& at) {
    const auto progress = loaded_progress_.find(id);
    try {
        // Most jobs have ended: their records need not be read.
        if (progress != loaded_progress_.end())
            if (auto ended =
                    decode_ended_job(id, progress->second.value, at.wall_ms))
                return owner_.restore_job(std::move(*ended), at);
        job_entry job{.record = decode_job_record(record)};
        if (progress != loaded_progress_.end())
            apply_progress(job, progress->second.value);
        owner_.restore_job(std::move(job), at);
    } catch (const decode_error& failure) {
        log_event(log_level::error, "job_unreadable",
                  {{"job", id.value}, {"cause", failure.what()}});
    }
}

void owner_service::take_stored(const keyed_record& record) {
    take_job_record(record);
}

void owner_service::take_followed_record(std::size_t part,
                                         const keyed_record& record) {
    const job_id id{
        record.key.substr(std::min(PROGRESS_PREFIX, record.key.size()))};
    const mono_time now = event_loop::now();
    if (serving_ && record.key == job_key(id) && !record.value.empty() &&
        owner_.jobs().find(id) == nullptr) {
        // Its host can't tell this one: the log is read eagerly for a while.
        eager_until_[part] = now + EAGER_TIME;
        jobs_[part]->set_pause(millis(0));
    } else if (serving_ && now > eager_until_[part]) {
        jobs_[part]->set_pause(JOBS_PAUSE);
    }
    take_job_record(record);
}

void owner_service::take_job_record(const keyed_record& record) {
    if (record.value.empty() || record.key.size() < PROGRESS_PREFIX)
        return;
    const job_id id{record.key.substr(PROGRESS_PREFIX)};
    try {
        if (record.key == cancel_key(id)) {
            if (serving_)
                owner_.job_cancelled(id, clock());
            else
                loaded_cancels_.insert(id);
        } else if (record.key == job_key(id)) {
            if (!serving_)
                loaded_jobs_.try_emplace(id, record.value);
            else if (owner_.jobs().find(id) == nullptr)
                owner_.job_accepted(decode_job_record(record.value), clock());
        }
    } catch (const decode_error& failure) {
        log_event(log_level::error, "job_unreadable",
                  {{"key", record.key}, {"cause", failure.what()}});
    }
    wake();
}

void owner_service::take_target_record(const keyed_record& record) {
    if (record.value.empty()) {
        owner_.target_delisted({record.key});
        target_keys_.erase(record.key);
    } else {
        try {
            owner_.target_listed(
                platform::decode_target(record.key, record.value), clock());
            target_keys_.insert(record.key);
        } catch (const decode_error& failure) {
            log_event(log_level::warning, "target_entry_skipped",
                      {{"target", record.key}, {"cause", failure.what()}});
        }
    }
    wake();
}

void owner_service::set_config(const cell_config& config) {
    owner_.set_config(config);
    wake();
}

void owner_service::set_evacuated(const std::set<data_centre_id>& centres) {
    owner_.set_evacuated(centres);
    wake();
}

void owner_service::set_hosts() {
    std::vector<host_id> hosts{context_.settings.host};
    for (const auto& [host, member] : context_.members.members())
        if (host != context_.settings.host)
            hosts.push_back(host);
    owner_.set_hosts(hosts);
    wake();
}

void owner_service::confirmed(mono_time at) {
    owner_.ownership_confirmed(at);
}

void owner_service::wake() {
    if (!serving_ || std::exchange(tick_scheduled_, true))
        return;
    context_.loop.defer(guarded([this] { tick(); }));
}

void owner_service::tick() {
    tick_scheduled_ = false;
    context_.delegates.set_targets(owner_.targets().all().size());
    const mono_time begun = event_loop::now();
    owner_.tick(clock());
    owner_.tick_took(event_loop::now() - begun);
    if (owner_.superseded())
        return context_.members.deposed();
    arm();
}

void owner_service::arm() {
    const owner_clock at = clock();
    const mono_time due = std::clamp(
        owner_.next_due(at), at.now + SHORTEST_SLEEP, at.now + LONGEST_SLEEP);
    if (timer_ != 0 && timer_due_ <= due && timer_due_ > at.now)
        return;
    context_.loop.cancel(timer_);
    timer_due_ = due;
    timer_ = context_.loop.after(due - at.now, guarded([this] {
                                     timer_ = 0;
                                     wake();
                                 }));
}

void owner_service::start(const target_address& target,
                          const start_order& order) {
    ++context_.metrics.counter("rattan_starts_sent_total");
    targets_.start(
        target, order, start_pace_.timeout(),
        guarded([this, id = target.id, task = order.task, run = order.run,
                 sent_at = event_loop::now()](const order_answer& answer) {
            // Under load answers are late at this end.
            if (answer.answered)
                start_pace_.answered(event_loop::now() - sent_at);
            owner_.start_answered(id, task, run, answer, clock());
            wake();
        }));
}

void owner_service::stop(const target_address& target, const task_id& task,
                         std::int32_t run, std::int64_t fence) {
    ++context_.metrics.counter("rattan_stops_sent_total");
    log_event(log_level::info, "stop_sent",
              {{"job", task.step.job.value},
               {"task", platform::task_name(task)},
               {"run", std::to_string(run)},
               {"target", target.id.value}});
    targets_.stop(
        target, task, run, fence, STOP_TIME,
        guarded([this, id = target.id, task, run](const order_answer& answer) {
            owner_.stop_answered(id, task, run, answer, clock());
            wake();
        }));
}

void owner_service::throttle(const target_address& target, const task_id& task,
                             std::int32_t run, int percent,
                             std::int64_t fence) {
    ++context_.metrics.counter("rattan_paces_sent_total");
    targets_.pace(target, task, run, percent, fence, STOP_TIME,
                  [id = target.id](const order_answer& answer) {
                      if (!answer.done)
                          log_event(log_level::warning, "pace_failed",
                                    {{"target", id.value}});
                  });
}

void owner_service::poll(const target_address& target,
                         const poll_order& order) {
    ++context_.metrics.counter("rattan_looks_sent_total");
    targets_.look(
        target, order,
        guarded([this, id = target.id, besides = order.concurrent,
                 sent_at = event_loop::now()](const poll_answer& answer) {
            poll_answer told = answer;
            told.concurrent = besides;
            owner_.poll_answered(id, told, sent_at, clock());
            wake();
        }));
}

void owner_service::advise(http_client& http, const std::string& address,
                           const std::string& step,
                           const std::vector<std::string>& targets,
                           millis timeout,
                           std::function<void(const advice_answer&)> done) {
    platform::ask_advice(http, address, step, targets, timeout,
                         std::move(done));
}

void owner_service::ask_advice(const host_id& host, const step_ref& step,
                               const std::vector<std::string>& targets,
                               millis timeout) {
    ++context_.metrics.counter("rattan_advice_asked_total");
    const bool slow =
        timeout >= millis(1500) + advice_table::SLOW_CALL_THRESHOLD;
    auto done = guarded([this, host, step, slow](const advice_answer& answer) {
        owner_.advice_answered(host, step, slow, answer, clock());
        wake();
    });
    const std::string name = platform::step_name(step);
    const auto member = context_.members.members().find(host);
    if (host == context_.settings.host ||
        member == context_.members.members().end())
        return advise(context_.http, context_.settings.advice_address, name,
                      targets, timeout, std::move(done));
    wire::advise_request request;
    request.step = name;
    request.targets = targets;
    request.timeout_ms = static_cast<std::int32_t>(timeout.count());
    context_.members.peer(member->second.address)
        .call(wire::method::ADVISE, wire_encode(request), timeout,
              [done = std::move(done)](const rpc_call_result& answer) {
                  advice_answer out{.ok = answer.ok()};
                  if (out.ok) {
                      const auto reply =
                          wire_decode<wire::advise_reply>(answer.body);
                      for (const auto& row : reply.targets)
                          out.eligible.push_back({{row.target}, row.ticket});
                      out.ticket_lifetime = millis(reply.valid_ms);
                  }
                  done(out);
              });
}

void owner_service::store(const std::vector<store_record>& records) {
    std::vector<keyed_record> out;
    for (const store_record& record : records)
        out.push_back({.key = record.key, .value = record.value});
    ++context_.metrics.counter("rattan_owner_appends_total");
    progress_.write(out, guarded([this] {
                        owner_.records_stored(clock());
                        wake();
                    }));
}

void owner_service::remove_jobs(const std::vector<job_id>& jobs) {
    std::vector<std::string> progress;
    for (const job_id& id : jobs)
        progress.push_back(progress_key(id));
    const auto left = std::make_shared<int>(1);
    const auto part_done = [this, left, progress] {
        if (--*left == 0)
            progress_.drop(progress);
    };
    for (std::size_t part = 0; part < jobs_.size(); ++part) {
        std::vector<keyed_record> drops;
        for (const job_id& id : jobs)
            for (const std::string& key : {job_key(id), cancel_key(id)})
                if (jobs_[part]->holds(key))
                    drops.push_back({.key = key});
        if (drops.empty())
            continue;
        ++*left;
        append_drops(static_cast<int>(part), drops, part_done);
    }
    part_done();
}

void owner_service::append_drops(int part,
                                 const std::vector<keyed_record>& records,
                                 std::function<void()> done) {
    context_.store.append(
        {.topic = JOBS_TOPIC,
         .part = part,
         .records = records,
         .timeout = DROP_TIME},
        guarded([this, part, records, done](const append_answer& answer) {
            if (answer.result == store_result::ok)
                return done();
            log_event(log_level::warning, "drop_failed",
                      {{"partition", std::to_string(part)},
                       {"records", std::to_string(records.size())}});
            context_.loop.after(DROP_RETRY,
                                guarded([this, part, records, done] {
                                    append_drops(part, records, done);
                                }));
        }));
}

void owner_service::log(std::string_view event, const job_id& job,
                        const std::string& detail) {
    log_event(log_level::info, event, {{"job", job.value}, {"detail", detail}});
}

} // namespace rattan::front
