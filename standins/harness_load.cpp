#include "harness_load.hpp"

#include "harness_cluster.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>

namespace rattan::standin {

namespace {

constexpr std::int64_t MICROS_PER_SECOND = 1'000'000;
constexpr millis RESPONSE_TIMEOUT{6'000};

} // namespace

double load_report::quantile_ms(double fraction) const {
    if (latencies_us.empty())
        return 0;
    const auto index = static_cast<size_t>(
        fraction * static_cast<double>(latencies_us.size() - 1));
    return static_cast<double>(latencies_us[index]) / 1'000.0;
}

load_report run_load(const load_options& options) {
    load_report report;
    event_loop loop;
    http_client client(loop, {.connections_per_server = 400});
    const std::int64_t begin = event_loop::now_micros();
    const auto total = static_cast<std::uint64_t>(options.checks_per_s) *
                       static_cast<std::uint64_t>(options.duration_ms) / 1'000;
    std::uint64_t answered = 0;
    const auto send = [&](std::int64_t scheduled_us) {
        const std::uint64_t number = report.sent++;
        const std::string request = new_request_id();
        const nlohmann::json body = {
            {"plan", options.plan},
            {"deadline_ms", options.deadline_ms},
            {"idempotent", options.idempotent},
            {"input", {{"name", request}, {"work_ms", options.work_ms}}}};
        client.call(
            {.method = "POST",
             .url = options.gates[number % options.gates.size()] + "/v1/checks",
             .body = body.dump(),
             .request_id = request,
             .authorization =
                 "Bearer " + options.keys[number % options.keys.size()],
             .timeout = RESPONSE_TIMEOUT},
            [&, scheduled_us](const http_call_result& answer) {
                ++answered;
                const bool has_response =
                    answer.outcome == http_outcome::answered;
                ++report.statuses[has_response ? answer.status : 0];
                if (answer.ok())
                    report.latencies_us.push_back(event_loop::now_micros() -
                                                  scheduled_us);
                if (answered == total)
                    loop.stop();
            });
    };
    // Busy polling: timers of the event loop are too coarse for latencies.
    const std::function<void()> send_due = [&] {
        while (report.sent < total) {
            const std::int64_t scheduled_us =
                begin + static_cast<std::int64_t>(report.sent) *
                            MICROS_PER_SECOND / options.checks_per_s;
            if (scheduled_us > event_loop::now_micros())
                break;
            send(scheduled_us);
        }
        if (report.sent < total)
            loop.defer(send_due);
    };
    loop.defer(send_due);
    loop.after(millis(options.duration_ms) + RESPONSE_TIMEOUT,
               [&] { loop.stop(); });
    loop.run();
    std::sort(report.latencies_us.begin(), report.latencies_us.end());
    return report;
}

} // namespace rattan::standin
