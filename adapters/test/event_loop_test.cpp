#include "pearhaven/adapters/event_loop.hpp"

#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven;
using std::chrono::milliseconds;

namespace {

// Reads its socket, records the loop's time, and then blocks the loop.
class slow_reader final : public adapters::socket_listener {
public:
    slow_reader(adapters::event_loop& target_loop, int from, milliseconds works)
        : loop(target_loop), socket(from), work(works)
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

// Reads its socket and calls a function of the test.
class callback_reader final : public adapters::socket_listener {
public:
    callback_reader(int from, std::function<void()> callback)
        : socket(from), action(std::move(callback))
    {}

    void on_ready(bool /*readable*/, bool /*writable*/, bool /*failed*/) override
    {
        std::array<char, 16> bytes{};
        [[maybe_unused]] const auto count = ::read(this->socket, bytes.data(), bytes.size());
        this->action();
    }

private:
    int socket;
    std::function<void()> action;
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

// Guards against a request being accepted after a stop deadline. Many sockets were ready at once on
// a host short of processor time, and later ones were processed with the time at which the batch
// began.
TEST(event_loop, now_is_not_earlier_than_the_start_of_the_callback)
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

// Soon tasks run before any other callback, also when two sockets are ready at once.
TEST(event_loop, a_soon_task_runs_after_its_callback_and_before_the_next_one)
{
    adapters::event_loop loop;
    std::string order;
    const auto action = [&loop, &order] {
        loop.soon([&loop, &order] {
            order += "s";
            loop.soon([&order] { order += "t"; });
        });
        order += "c";
    };
    callback_reader one(this->first[0], action);
    callback_reader other(this->second[0], action);
    loop.watch(this->first[0], one, true, false);
    loop.watch(this->second[0], other, true, false);
    CHECK_EQUAL(1, write(this->first[1], "x", 1));
    CHECK_EQUAL(1, write(this->second[1], "x", 1));
    loop.post([&loop, &order] {
        loop.soon([&order] { order += "p"; });
        order += "q";
    });
    loop.after(milliseconds(5), [&loop, &order] {
        loop.soon([&order] { order += "l"; });
        loop.stop();
    });
    loop.run();
    loop.forget(this->first[0]);
    loop.forget(this->second[0]);
    STRCMP_EQUAL("cstcstqpl", order.c_str());
}

TEST(event_loop, a_soon_task_added_outside_of_callbacks_waits_for_run)
{
    adapters::event_loop loop;
    bool ran = false;
    loop.soon([&loop, &ran] {
        ran = true;
        loop.stop();
    });
    CHECK_FALSE(ran);
    loop.run();
    CHECK_TRUE(ran);
}

TEST(event_loop, a_cancelled_soon_task_does_not_run)
{
    adapters::event_loop loop;
    std::string order;
    adapters::timer_number later = 0;
    loop.soon([&loop, &order, &later] {
        order += "a";
        loop.cancel(later);
    });
    later = loop.soon([&order] { order += "b"; });
    const auto third = loop.soon([&loop, &order] {
        order += "c";
        loop.stop();
    });
    loop.run();
    loop.cancel(third); // has run already, so nothing happens
    STRCMP_EQUAL("ac", order.c_str());
}

// Two sockets are ready at once, and the one that is served first destroys the other one's
// listener.
TEST(event_loop, a_listener_destroyed_by_an_earlier_callback_is_not_called)
{
    adapters::event_loop loop;
    int calls = 0;
    std::unique_ptr<callback_reader> one;
    std::unique_ptr<callback_reader> other;
    one = std::make_unique<callback_reader>(this->first[0], [this, &loop, &calls, &other] {
        ++calls;
        loop.forget(this->second[0]);
        other.reset();
    });
    other = std::make_unique<callback_reader>(this->second[0], [this, &loop, &calls, &one] {
        ++calls;
        loop.forget(this->first[0]);
        one.reset();
    });
    loop.watch(this->first[0], *one, true, false);
    loop.watch(this->second[0], *other, true, false);
    CHECK_EQUAL(1, write(this->first[1], "x", 1));
    CHECK_EQUAL(1, write(this->second[1], "x", 1));
    loop.post([&loop] { loop.stop(); });
    loop.run();
    CHECK_EQUAL(1, calls);
}

// A connection is closed and a new one gets its descriptor while an event of the old one is already
// fetched.
TEST(event_loop, an_event_does_not_reach_a_new_socket_with_the_same_descriptor)
{
    adapters::event_loop loop;
    std::array<int, 2> fresh{};
    CHECK_EQUAL(0, socketpair(AF_UNIX, SOCK_STREAM, 0, fresh.data()));
    int calls = 0;
    callback_reader new_reader(this->second[0], [&calls] { ++calls; });
    callback_reader replaced(this->second[0], [] {});
    callback_reader replacing(this->first[0], [this, &loop, &fresh, &new_reader] {
        loop.forget(this->second[0]);
        dup2(fresh[0], this->second[0]);
        loop.watch(this->second[0], new_reader, true, false);
    });
    loop.watch(this->first[0], replacing, true, false);
    loop.watch(this->second[0], replaced, true, false);
    CHECK_EQUAL(1, write(this->first[1], "x", 1));
    CHECK_EQUAL(1, write(this->second[1], "x", 1));
    loop.post([&loop] { loop.stop(); });
    loop.run();
    loop.forget(this->first[0]);
    loop.forget(this->second[0]);
    close(fresh[0]);
    close(fresh[1]);
    CHECK_EQUAL(0, calls);
}

TEST(event_loop, a_timer_cancelled_by_another_due_timer_does_not_run)
{
    adapters::event_loop loop;
    std::string order;
    adapters::timer_number later = 0;
    loop.after(milliseconds(0), [&loop, &order, &later] {
        order += "a";
        loop.cancel(later);
    });
    later = loop.after(milliseconds(0), [&order] { order += "b"; });
    loop.after(milliseconds(0), [&loop] { loop.stop(); });
    loop.run();
    STRCMP_EQUAL("a", order.c_str());
}

// Guards against closing a connection as idle although a request had arrived in time. Another
// callback blocked the loop, the timer became due meanwhile, and it ran before the socket was
// polled.
TEST(event_loop, data_that_arrived_before_a_timer_was_due_is_read_before_it_runs)
{
    constexpr milliseconds due{20};
    adapters::event_loop loop;
    std::string order;
    decision::instant polled_when_busy;
    callback_reader busy(this->first[0], [&] {
        CHECK_EQUAL(1, write(this->second[1], "x", 1));
        std::this_thread::sleep_for(2 * due);
        polled_when_busy = loop.polled_until();
    });
    callback_reader caller(this->second[0], [&order] { order += "caller "; });
    loop.watch(this->first[0], busy, true, false);
    loop.watch(this->second[0], caller, true, false);
    CHECK_EQUAL(1, write(this->first[1], "x", 1));
    const auto began = adapters::event_loop::read_clock();
    loop.after(due, [&] {
        order += "timer";
        CHECK_TRUE(loop.polled_until() >= began + 2 * due);
        loop.stop();
    });
    loop.run();
    loop.forget(this->first[0]);
    loop.forget(this->second[0]);
    STRCMP_EQUAL("caller timer", order.c_str());
    CHECK_TRUE(polled_when_busy < began + 2 * due);
}

// Guards against counting an answer that arrived in time as silence after the process was stopped
// and continued. The stop ended the poll with no ready sockets, so timers ran before data that
// arrived during the stop was read.
TEST(event_loop, data_that_arrived_while_the_process_was_stopped_is_read_before_a_timer_runs)
{
    constexpr milliseconds due{300};
    const auto halted = fork();
    if (halted == 0) {
        adapters::event_loop loop;
        bool was_read = false;
        callback_reader caller(this->first[0], [&was_read] { was_read = true; });
        loop.watch(this->first[0], caller, true, false);
        loop.after(due, [&loop] { loop.stop(); });
        const auto is_in_time = [&was_read] { return was_read ? 0 : 1; };
        loop.run();
        _exit(is_in_time());
    }
    std::this_thread::sleep_for(due / 3);
    CHECK_EQUAL(0, kill(halted, SIGSTOP));
    int status = 0;
    CHECK_EQUAL(halted, waitpid(halted, &status, WUNTRACED));
    CHECK_TRUE(WIFSTOPPED(status));
    CHECK_EQUAL(1, write(this->first[1], "x", 1));
    std::this_thread::sleep_for(2 * due);
    CHECK_EQUAL(0, kill(halted, SIGCONT));
    CHECK_EQUAL(halted, waitpid(halted, &status, 0));
    CHECK_TRUE(WIFEXITED(status));
    CHECK_EQUAL(0, WEXITSTATUS(status));
}

// As above, with many connections. A poll returns a bounded number of events; the wakeup for a
// posted task was one of them, so that a full poll was not recognized as full.
TEST(event_loop, a_full_poll_that_includes_a_posted_task_counts_as_full)
{
    constexpr std::size_t besides_the_task = 255;
    std::vector<std::array<int, 2>> others(besides_the_task);
    std::vector<std::unique_ptr<callback_reader>> readers;
    adapters::event_loop loop;
    std::string order;
    for (auto& pair : others) {
        CHECK_EQUAL(0, socketpair(AF_UNIX, SOCK_STREAM, 0, pair.data()));
        readers.push_back(std::make_unique<callback_reader>(pair[0], [] {}));
        loop.watch(pair[0], *readers.back(), true, false);
    }
    callback_reader caller(this->first[0], [&order] { order += "caller "; });
    loop.watch(this->first[0], caller, true, false);
    loop.post([] {});
    for (const auto& pair : others) {
        CHECK_EQUAL(1, write(pair[1], "x", 1));
    }
    CHECK_EQUAL(1, write(this->first[1], "x", 1));
    loop.after(decision::duration::zero(), [&] {
        order += "timer";
        loop.stop();
    });
    loop.run();
    loop.forget(this->first[0]);
    for (const auto& pair : others) {
        loop.forget(pair[0]);
        close(pair[0]);
        close(pair[1]);
    }
    STRCMP_EQUAL("caller timer", order.c_str());
}

// A long callback blocks all others; pause reports contain its duration and work.
TEST(event_loop, a_long_callback_is_reported_with_its_work_name)
{
    constexpr milliseconds work{30};
    adapters::event_loop loop;
    std::vector<std::string> reported;
    decision::duration longest{};
    loop.watch_pauses(work, [&reported, &longest](const adapters::loop_pause& pause) {
        reported.emplace_back(pause.work);
        longest = std::max(longest, pause.took);
    });
    slow_reader unnamed(loop, this->first[0], work);
    loop.watch(this->first[0], unnamed, true, false);
    CHECK_EQUAL(1, write(this->first[1], "x", 1));
    loop.after(2 * work, [&loop, work] {
        loop.set_work_name("sums");
        std::this_thread::sleep_for(work);
    });
    loop.after(4 * work, [&loop] { loop.stop(); });
    loop.run();
    loop.forget(this->first[0]);
    CHECK_TRUE(std::count(reported.begin(), reported.end(), "socket") == 1);
    CHECK_TRUE(std::count(reported.begin(), reported.end(), "sums") == 1);
    CHECK_TRUE(longest >= work);
}

// Guards against a loop that has more to do than it has time for and does not notice it.
TEST(event_loop, the_lag_grows_to_the_length_of_the_turns_while_the_loop_never_rests)
{
    constexpr milliseconds work{40};
    constexpr int turns = 25;
    adapters::event_loop loop;
    decision::duration lag_at_rest{};
    int done = 0;
    const std::function<void()> next = [&] {
        if (done == 0) {
            lag_at_rest = loop.lag();
        }
        std::this_thread::sleep_for(work);
        ++done < turns ? static_cast<void>(loop.after({}, next)) : loop.stop();
    };
    loop.after(milliseconds(1), next);
    loop.run();
    CHECK_TRUE(lag_at_rest < loop.lag());
    CHECK_TRUE(loop.lag() >= work / 2);
}
