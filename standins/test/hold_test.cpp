#include "hold.hpp"

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::standins;

TEST_GROUP(hold){};

// A silenced stand-in keeps receiving calls. If the held calls occupied every thread of the server,
// the call that ends the silence could not be served and the stand-in would stay silent forever.
TEST(hold, keeps_threads_free_for_the_controls)
{
    constexpr unsigned threads = 33; // room for one held call
    call_holder holder(threads);
    std::atomic<bool> silent{true};
    std::atomic<bool> looked{false};
    std::thread first([&] {
        holder.hold_while([&] {
            looked = true;
            return silent.load();
        });
    });
    while (!looked) {
        std::this_thread::yield();
    }
    bool second_checked = false;
    holder.hold_while([&] {
        second_checked = true;
        return false;
    });
    silent = false;
    first.join();
    CHECK_FALSE(second_checked); // abandoned immediately
}
