/** @file Tests of the RPC client. */
#include "net/rpc_client.hpp"

#include <gtest/gtest.h>

#include <vector>

using namespace rattan;

// Records of hosts held such addresses before they were checked. Names are left
// out: they would ask a name server.
TEST(rpc_client_test, calls_to_odd_addresses_have_no_effect) {
    event_loop loop(1000);
    const std::vector<std::string> addresses{"127.0.0.1:99999",
                                             "127.0.0.1:-1",
                                             "127.0.0.1:0",
                                             "127.0.0.1",
                                             "",
                                             "127.0.0.1:1\r\nX: 1",
                                             std::string(200'000, '8'),
                                             std::string("\xff\xfe:80")};
    std::vector<std::unique_ptr<rpc_client>> clients;
    std::size_t answers = 0;
    for (const std::string& address : addresses) {
        clients.push_back(std::make_unique<rpc_client>(
            loop, address, timeout_policy::reconnect));
        clients.back()->call(wire::method::BEAT, "", millis(500),
                             [&](const rpc_call_result& answer) {
                                 EXPECT_FALSE(answer.ok());
                                 if (++answers == addresses.size())
                                     loop.stop();
                             });
    }
    loop.after(millis(10'000), [&] { loop.stop(); });
    loop.run();
    EXPECT_EQ(answers, addresses.size());
}
