#include "pearhaven/adapters/event_loop.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace pearhaven;
using std::chrono::milliseconds;

namespace {

// Reads its socket, notes the loop's time, and then keeps the loop busy.
class slow_reader final : public adapters::socket_listener {
public:
    slow_reader(adapters::event_loop& runs_on, int from, milliseconds works)
        : loop(runs_on), socket(from), work(works)
    {}

    void on_ready(bool /*readable*/, bool /*writable*/, bool /*failed*/) override
    {
        std::array<char, 16> bytes{};
        [[maybe_unused]] const auto count = ::read(this->socket, bytes.data(), bytes.size());
        this->at = this->loop.now();
        std::this_thread::sleep_for(this->work);
    }

    decision::instant at;

private:
    adapters::event_loop& loop;
    int socket;
    milliseconds work;
};

} // namespace

TEST_GROUP(event_loop)
{
    std::array<int, 2> first{};
    std::array<int, 2> second{};

    void setup() override
    {
        CHECK_EQUAL(0, socketpair(AF_UNIX, SOCK_STREAM, 0, this->first.data()));
        CHECK_EQUAL(0, socketpair(AF_UNIX, SOCK_STREAM, 0, this->second.data()));
    }
    void teardown() override
    {
        for (const int one : {this->first[0], this->first[1], this->second[0], this->second[1]}) {
            close(one);
        }
    }
};

// A request that came after a stop's last moment was taken as if it had come before. Many sockets
// were ready at once on a host short of processor time; the work for the first took a while, and
// the later ones were judged by the time at which the batch began.
TEST(event_loop, the_clock_is_never_older_than_the_event)
{
    constexpr milliseconds work{30};
    adapters::event_loop loop;
    slow_reader one(loop, this->first[0], work);
    slow_reader other(loop, this->second[0], work);
    loop.watch(this->first[0], one, true, false);
    loop.watch(this->second[0], other, true, false);
    CHECK_EQUAL(1, write(this->first[1], "x", 1));
    CHECK_EQUAL(1, write(this->second[1], "x", 1));
    loop.after(work, [&loop] { loop.stop(); });
    loop.run();
    loop.forget(this->first[0]);
    loop.forget(this->second[0]);
    const auto between = one.at < other.at ? other.at - one.at : one.at - other.at;
    CHECK_TRUE(between >= work);
}
