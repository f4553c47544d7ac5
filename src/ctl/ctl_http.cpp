#include "ctl/ctl_type.hpp"

#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "rattan/error_type.hpp"

#include <iostream>

namespace rattan {

using nlohmann::json;

http_call_result ctl_call(const ctl_context& context, const http_call& call) {
    event_loop loop;
    http_client client(loop);
    http_call authorized = call;
    if (!context.operator_key.empty())
        authorized.authorization = "Bearer " + context.operator_key;
    http_call_result result;
    client.call(authorized, [&](const http_call_result& answer) {
        result = answer;
        loop.stop();
    });
    loop.run();
    return result;
}

json fetch_config(const ctl_context& context) {
    const http_call_result answer =
        ctl_call(context, {.url = context.relay + "/v1/config"});
    if (answer.outcome != http_outcome::answered)
        throw unreachable_error("no answer from " + context.relay);
    if (!answer.ok())
        throw command_error("refused: " + answer.body);
    return json::parse(answer.body);
}

exit_code publish_delta(const ctl_context& context, std::int64_t base,
                        const json& set, const json& drop) {
    const http_call_result answer = ctl_call(
        context,
        {.method = "POST",
         .url = context.relay + "/v1/config",
         .body = json({{"base", base}, {"set", set}, {"drop", drop}}).dump(),
         .timeout = millis(10'000)});
    if (answer.outcome != http_outcome::answered || answer.status == 504)
        throw unreachable_error(context.relay +
                                " did not confirm the change; it may be in "
                                "force, check with `status`");
    const json body = json::parse(answer.body, nullptr, false);
    if (context.json)
        std::cout << body.dump() << "\n";
    if (answer.ok()) {
        if (!context.json)
            std::cout << "accepted as version " << body["version"] << "\n";
        return exit_code::ok;
    }
    if (answer.status == 409 && !context.json)
        std::cerr << "refused (" << body["verdict"].get<std::string>()
                  << "): version " << body["version"] << " by "
                  << body["operator"].get<std::string>()
                  << " is in force; base the change on that version\n";
    else if (!context.json)
        std::cerr << "refused: " << answer.body;
    return exit_code::refused;
}

} // namespace rattan
