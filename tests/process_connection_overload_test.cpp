/** @file Ordinary requests while other clients use all connections. */
#include "process_client_crowd.hpp"
#include "process_overload_fixture.hpp"

namespace {

using namespace rattan::standin;

/** More than there are connections for clients. */
constexpr int CROWD_CLIENTS = 600;
constexpr std::chrono::milliseconds PIECE_PERIOD{250};
constexpr std::size_t PIECE_BYTES = 650;
constexpr int SLOW_BODY = 12'000;
const std::string QUESTION = "GET /q/ HTTP/1.1\r\nHost: shop.example\r\n"
                             "Authorization: Token key-1\r\n\r\n";

/** Time for the crowd to take all connections. */
constexpr std::chrono::seconds CROWD_START{3};
/** Ordinary clients, one after the other. */
constexpr int ORDINARY_CLIENTS = 10;

} // namespace

namespace rattan::standin {

/** Adds a check that ordinary clients are served beside the crowd. */
class connection_overload_test : public overload_test {
protected:
    void expect_served_beside(const client_plan& plan) {
        start_front();
        client_crowd crowd(front_ip_, FRONT_PORT, plan);
        std::this_thread::sleep_for(CROWD_START);
        int answered = 0;
        wait_for("answers while the crowd is connected", [&] {
            sample_descriptors();
            answered += ordinary_request().status == 200 ? 1 : 0;
            return answered == ORDINARY_CLIENTS;
        });
        expect_sound();
    }
};

} // namespace rattan::standin

// Guards against requests that arrive too slowly but never stop.
TEST_F(connection_overload_test, slow_headers) {
    expect_served_beside(
        {.clients = CROWD_CLIENTS,
         .request =
             [](int, int) {
                 std::string text =
                     "GET /q/ HTTP/1.1\r\nHost: shop.example\r\n";
                 for (int i = 0; text.size() < 12'000; ++i)
                     text += "X-" + std::to_string(i) + ": " +
                             std::string(100, 'x') + "\r\n";
                 return text;
             },
         .piece_bytes = PIECE_BYTES,
         .piece_period = PIECE_PERIOD,
         .reconnects = true});
}

TEST_F(connection_overload_test, slow_bodies) {
    expect_served_beside(
        {.clients = CROWD_CLIENTS,
         .request =
             [](int, int) {
                 return "POST /q/0000000000000001 HTTP/1.1\r\n"
                        "Host: shop.example\r\nAuthorization: Token key-1\r\n"
                        "Content-Length: " +
                        std::to_string(SLOW_BODY) + "\r\n\r\n" +
                        std::string(SLOW_BODY, 'x');
             },
         .piece_bytes = PIECE_BYTES,
         .piece_period = PIECE_PERIOD,
         .reconnects = true});
}

// Guards against connections that are kept after one question.
TEST_F(connection_overload_test, idle_connections) {
    expect_served_beside({.clients = CROWD_CLIENTS,
                          .request =
                              [](int, int number) {
                                  return number == 0 ? QUESTION : std::string();
                              },
                          .reconnects = true});
}

// Guards against clients that ask all the time and read no answer.
TEST_F(connection_overload_test, unread_answers) {
    expect_served_beside({.clients = CROWD_CLIENTS,
                          .request = [](int, int) { return QUESTION; },
                          .reads_answers = false,
                          .reconnects = true});
}

// Guards against slow bodies that keep the memory for bodies for long.
TEST_F(connection_overload_test, large_jobs_beside_slow_large_bodies) {
    start_front();
    client_crowd crowd(front_ip_, FRONT_PORT,
                       {.clients = 30,
                        .request =
                            [](int, int) {
                                return declared(LARGE_BODY) +
                                       std::string(LARGE_BODY, 'x');
                            },
                        .piece_bytes = PIECE_BYTES,
                        .piece_period = PIECE_PERIOD,
                        .reconnects = true});
    std::this_thread::sleep_for(CROWD_START);
    const std::string job = largest_job();
    wait_for("the largest job to be accepted beside the crowd", [&] {
        sample_descriptors();
        return raw_exchange(declared(job.size()) + job) == "HTTP/1.1 200 OK";
    });
    expect_sound();
}
