#include "harness_load.hpp"

#include "harness_cluster.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>

namespace rattan::standin {

namespace {

constexpr std::int64_t MICROS_A_SECOND = 1'000'000;
constexpr millis LAST_ANSWERS{6'000};

} // namespace

double load_report::quantile_ms(double fraction) const {
    if (micros.empty())
        return 0;
    const auto at =
        static_cast<size_t>(fraction * static_cast<double>(micros.size() - 1));
    return static_cast<double>(micros[at]) / 1'000.0;
}

load_report run_load(const load_options& options) {
    load_report report;
    event_loop loop;
    http_client client(loop, {.connections_per_server = 400});
    const std::int64_t begin = event_loop::now_micros();
    const auto total = static_cast<std::uint64_t>(options.rate) *
                       static_cast<std::uint64_t>(options.duration_ms) / 1'000;
    std::uint64_t answered = 0;
    const auto send = [&](std::int64_t intended) {
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
             .timeout = LAST_ANSWERS},
            [&, intended](const http_call_result& answer) {
                ++answered;
                const bool whole = answer.outcome == http_outcome::answered;
                ++report.statuses[whole ? answer.status : 0];
                if (answer.ok())
                    report.micros.push_back(event_loop::now_micros() -
                                            intended);
                if (answered == total)
                    loop.stop();
            });
    };
    // Polled without a pause: a timer would be too coarse for latencies.
    const std::function<void()> send_due = [&] {
        while (report.sent < total) {
            const std::int64_t intended =
                begin + static_cast<std::int64_t>(report.sent) *
                            MICROS_A_SECOND / options.rate;
            if (intended > event_loop::now_micros())
                break;
            send(intended);
        }
        if (report.sent < total)
            loop.defer(send_due);
    };
    loop.defer(send_due);
    loop.after(millis(options.duration_ms) + LAST_ANSWERS,
               [&] { loop.stop(); });
    loop.run();
    std::sort(report.micros.begin(), report.micros.end());
    return report;
}

} // namespace rattan::standin
