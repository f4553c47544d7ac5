/** @file Calls to targets that another host makes for the owner. */
#include "front/delegate_service.hpp"
#include "net/http_server.hpp"
#include "net/program_runtime.hpp"
#include "net/thrift_codec.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <vector>

using namespace rattan;
using namespace rattan::front;

namespace {

const std::string TARGET = "127.0.83.1:21900";
const std::string HOST = "127.0.83.2:21900";
constexpr std::int32_t TIMEOUT_MS = 500;

/** A host that makes calls for others, and a target. */
class delegate_service_test : public ::testing::Test {
protected:
    /**
     * Has calls made, which the owner sent some time ago.
     * @param ages Nothing: the owner does not tell, as in earlier versions.
     */
    std::vector<rpc_call_result>
    forward(const std::vector<std::optional<millis>>& ages) {
        std::vector<rpc_call_result> out;
        for (const std::optional<millis> age : ages) {
            wire::call_request request;
            request.url = "http://" + TARGET + "/start";
            request.timeout_ms = TIMEOUT_MS;
            if (age)
                request.__set_sent_ms(wall_millis() - age->count());
            client_.call(wire::method::CALL, wire_encode(request), millis(5000),
                         [&](const rpc_call_result& answer) {
                             out.push_back(answer);
                             if (out.size() == ages.size())
                                 loop_.stop();
                         });
        }
        loop_.run();
        return out;
    }

    event_loop loop_{1000};
    int calls_ = 0; ///< That the target has received.
    http_server target_{
        loop_,
        TARGET,
        {},
        [this](const http_request&, const http_server::responder& answer) {
            ++calls_;
            answer({.body = "{}"});
        }};
    http_client http_{loop_};
    rpc_server server_{loop_, HOST};
    rpc_client client_{loop_, HOST};
};

} // namespace

// Guards against an order that a host sends seconds later, since it stood still
// when the order came, though the owner counts it as lost.
TEST_F(delegate_service_test, late_call_is_not_made) {
    delegate_service::register_call_method(server_, http_);
    const auto answers = forward({millis(TIMEOUT_MS + 2000)});
    EXPECT_EQ(answers[0].outcome, rpc_outcome::answered);
    EXPECT_EQ(answers[0].code, wire::status::UNAVAILABLE);
    EXPECT_EQ(calls_, 0);
}

// Guards against calls that are refused while clocks differ little, and against
// owners of an earlier version whose calls are not made.
TEST_F(delegate_service_test, call_in_time_is_made) {
    delegate_service::register_call_method(server_, http_);
    const auto answers = forward(
        {millis(0), millis(-5000), millis(TIMEOUT_MS + 500), std::nullopt});
    for (const rpc_call_result& answer : answers)
        EXPECT_TRUE(answer.ok());
    EXPECT_EQ(calls_, 4);
}
