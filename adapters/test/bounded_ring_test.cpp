#include "pearhaven/adapters/bounded_ring.hpp"

#include <memory>
#include <thread>

#include <CppUTest/TestHarness.h>

using pearhaven::adapters::bounded_ring;
using std::chrono::milliseconds;

TEST_GROUP(bounded_ring)
{
    bounded_ring<std::unique_ptr<int>> ring{2};

    bool push(int value)
    {
        auto item = std::make_unique<int>(value);
        return this->ring.try_push(item);
    }
};

TEST(bounded_ring, items_come_out_in_the_order_they_went_in)
{
    CHECK_TRUE(push(1) && push(2));
    LONGS_EQUAL(1, **ring.pop_for(milliseconds(0)));
    LONGS_EQUAL(2, **ring.pop_for(milliseconds(0)));
    CHECK_FALSE(ring.pop_for(milliseconds(0)).has_value());
}

TEST(bounded_ring, a_full_ring_refuses_the_item_and_leaves_it_unchanged)
{
    CHECK_TRUE(push(1) && push(2));
    auto item = std::make_unique<int>(3);
    CHECK_FALSE(ring.try_push(item));
    LONGS_EQUAL(3, *item);
}

TEST(bounded_ring, a_push_waits_for_room)
{
    CHECK_TRUE(push(1) && push(2));
    std::thread consumer([this] { static_cast<void>(ring.pop_for(milliseconds(0))); });
    CHECK_TRUE(ring.push(std::make_unique<int>(3)));
    consumer.join();
    LONGS_EQUAL(2, ring.size());
}

TEST(bounded_ring, a_closed_ring_accepts_nothing_and_returns_the_remaining_items)
{
    CHECK_TRUE(push(1));
    ring.close();
    CHECK_FALSE(push(2));
    CHECK_FALSE(ring.is_closed_and_empty());
    LONGS_EQUAL(1, **ring.pop_for(milliseconds(0)));
    CHECK_TRUE(ring.is_closed_and_empty());
}

TEST(bounded_ring, closing_wakes_a_waiting_push)
{
    CHECK_TRUE(push(1) && push(2));
    std::thread closer([this] { ring.close(); });
    CHECK_FALSE(ring.push(std::make_unique<int>(3)));
    closer.join();
}
