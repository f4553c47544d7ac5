/** @file Memory of gate, relay and placer under uncontrolled clients. */
#include "process_fixture.hpp"
#include "process_overload_crowd.hpp"

#include <fstream>

namespace rattan::standin {

/** The programs with their default limits, one host. */
class program_overload_test : public process_test {
protected:
    static constexpr std::size_t MAX_PEAK_KB = 64U << 10U;
    static constexpr std::size_t BYTES_LEFT = 10;

    void start_host() {
        cluster_options options = small_options();
        options.hosts_per_centre = 1;
        start(options);
    }

    std::size_t peak_kb(program kind) const {
        std::ifstream status(
            "/proc/" + std::to_string(deployment->pid(0, kind)) + "/status");
        for (std::string line; std::getline(status, line);)
            if (line.starts_with("VmHWM:"))
                return std::stoul(line.substr(6));
        return 0;
    }

    /**
     * Lets clients stop shortly before the end of their bodies, then expects
     * that the program is alive, within the bound, and answers.
     */
    void expect_sound(program kind, const std::string& url,
                      const std::string& path, int clients, std::size_t bytes) {
        const std::string address = url.substr(url.find("//") + 2);
        const auto colon = address.find(':');
        const std::string head =
            "POST " + path +
            " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer x\r\n";
        const std::string declared =
            head + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n" +
            std::string(bytes - BYTES_LEFT, 'x');
        overload_crowd crowd(address.substr(0, colon),
                             std::stoi(address.substr(colon + 1)),
                             {.clients = clients, .bytes = declared});
        crowd.run([] {});
        EXPECT_TRUE(wait_until([&] {
            return send_http_request({.url = url + "/healthz"}).status == 200;
        })) << "no answer";
        const std::size_t peak = peak_kb(kind);
        EXPECT_GT(peak, 0U);
        EXPECT_LE(peak, MAX_PEAK_KB);
        std::printf("peak memory %zu kB of %zu\n", peak, MAX_PEAK_KB);
    }
};

// Guards against bodies that stop short of their end and stay.
TEST_F(program_overload_test, gate_bodies_that_stop_short) {
    start_host();
    expect_sound(program::gate, deployment->gate_url(0), "/v1/jobs", 150,
                 1U << 20U);
}

TEST_F(program_overload_test, relay_bodies_that_stop_short) {
    start_host();
    expect_sound(program::relay, deployment->relay_url(0), "/v1/config", 60,
                 4U << 20U);
}

TEST_F(program_overload_test, placer_bodies_that_stop_short) {
    start_host();
    expect_sound(program::placer, deployment->placer_url(0), "/v1/state", 80,
                 1U << 20U);
}

} // namespace rattan::standin
