/** @file Memory and descriptors of rattan_front under uncontrolled clients. */
#include "process_endless_server.hpp"
#include "process_overload_fixture.hpp"

#include <memory>

namespace {

using nlohmann::json;
using namespace rattan::standin;

// Guards against the memory of bodies that stop short of their end growing
// with the number of connections.
TEST_F(overload_test, whole_bodies_that_stop_short) {
    expect_sound_under({.clients = CROWD,
                        .bytes = declared(LARGE_BODY) +
                                 std::string(LARGE_BODY - BYTES_LEFT, 'x'),
                        .end = std::string(BYTES_LEFT, 'x')});
}

TEST_F(overload_test, bodies_in_pieces_that_stop_short) {
    expect_sound_under({.clients = CROWD,
                        .bytes = declared(LARGE_BODY) +
                                 std::string(LARGE_BODY - BYTES_LEFT, 'x'),
                        .end = std::string(BYTES_LEFT, 'x'),
                        .piece_bytes = 4096});
}

TEST_F(overload_test, large_chunks_that_stop_short) {
    expect_sound_under(
        {.clients = CROWD,
         .bytes = chunked() + chunks(std::string(LARGE_BODY, 'x'), 32'768),
         .end = "0\r\n\r\n"});
}

TEST_F(overload_test, very_small_chunks_that_stop_short) {
    expect_sound_under(
        {.clients = CROWD,
         .bytes = chunked() + chunks(std::string(LARGE_BODY, 'x'), 2),
         .end = "0\r\n\r\n",
         .reconnects = 0});
}

// Guards against storing a body that is refused in the end.
TEST_F(overload_test, announced_bodies_far_over_the_limit) {
    expect_sound_under(
        {.clients = CROWD,
         .bytes = declared(50'000'000) + std::string(OVERSIZED_BODY, 'x')});
}

TEST_F(overload_test, unannounced_bodies_far_over_the_limit) {
    expect_sound_under(
        {.clients = CROWD,
         .bytes = chunked() + chunks(std::string(OVERSIZED_BODY, 'x'), 8192),
         .end = "0\r\n\r\n"});
}

// Guards against frames of other processes that never become complete.
TEST_F(overload_test, frames_of_peers_that_stop_short) {
    constexpr std::size_t FRAME = 1U << 20U;
    expect_sound_under({.clients = 100,
                        .bytes = std::string("\x00\x10\x00\x00", 4) +
                                 std::string(FRAME - BYTES_LEFT, 'x')},
                       RPC_PORT);
}

// Guards against answers of targets that never end.
TEST_F(overload_test, endless_answers_of_targets) {
    constexpr int TARGETS = 12;
    constexpr int FIRST_PORT = 22'000;
    start_front();
    std::vector<std::unique_ptr<endless_server>> servers;
    for (int i = 0; i < TARGETS; ++i) {
        servers.push_back(std::make_unique<endless_server>(
            network_prefix_ + "101", FIRST_PORT + i));
        ASSERT_TRUE(servers.back()->ready());
    }
    const auto reached = [&] {
        return std::all_of(
            servers.begin(), servers.end(),
            [](const auto& server) { return server->bytes_sent() > 0; });
    };
    const auto until = std::chrono::steady_clock::now() + WAIT_TIMEOUT;
    for (int round = 0;
         (round < 10 || !reached()) && std::chrono::steady_clock::now() < until;
         ++round) {
        for (int i = 0; i < TARGETS; ++i) {
            const json entry = {
                {"service", "pool"},
                {"address",
                 network_prefix_ + "101:" + std::to_string(FIRST_PORT + i)},
                {"zone", "dc1"},
                {"state", "ready"},
                {"born", 1},
                {"capacity", {{"cpu", 1000}, {"memMb", 1000}, {"gpu", 0}}},
                {"labels", {"a", "r1-1"}}};
            put_record("keyed.servers", "e" + std::to_string(i), entry.dump());
        }
        std::this_thread::sleep_for(std::chrono::seconds(1));
        sample_descriptors();
    }
    EXPECT_TRUE(reached()) << "a target was not asked";
    expect_sound();
}

// Guards against connections on several ports that together exceed the limit.
TEST_F(overload_test, connections_on_all_ports) {
    start_front(500);
    const crowd_plan plan{.clients = 700, .bytes = "POST /q/0000", .end = ""};
    overload_crowd clients(front_ip_, FRONT_PORT, plan);
    overload_crowd peers(
        front_ip_, RPC_PORT,
        {.clients = 600, .bytes = std::string("\x00\x00", 2), .end = ""});
    clients.run([&] { sample_descriptors(); });
    peers.run([&] { sample_descriptors(); });
    expect_sound();
}

// Guards against limits that ordinary clients reach in calm.
TEST_F(overload_test, largest_requests_are_served_in_calm) {
    start_front();
    const std::string job = largest_job();
    const std::string served = "HTTP/1.1 200 OK";
    EXPECT_EQ(raw_exchange(declared(job.size()) + job), served);
    for (const std::size_t chunk_bytes : {std::size_t{65'536}, std::size_t{1}})
        EXPECT_EQ(
            raw_exchange(chunked() + chunks(job, chunk_bytes) + "0\r\n\r\n"),
            served)
            << "chunks of " << chunk_bytes;
    const std::string request_head = declared(job.size());
    const std::string field = "X-Filler: ";
    const std::size_t filler =
        HEADER_LIMIT - request_head.size() - field.size() - 2;
    EXPECT_EQ(
        raw_exchange(head("Content-Length: " + std::to_string(job.size()) +
                          "\r\n" + field + std::string(filler, 'x')) +
                     job),
        served);
    expect_sound();
}

} // namespace
