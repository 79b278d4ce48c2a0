#include "pace_meter.hpp"

#include <CppUTest/TestHarness.h>

using namespace pearhaven::router;
using pearhaven::decision::instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(pace_meter)
{
    pace_meter meter;
    instant now{seconds(100)};

    bool piece_after(int pause_ms)
    {
        this->now += milliseconds(pause_ms);
        return this->meter.on_piece(this->now).has_value();
    }
};

// One piece was delayed by another caller's prompt, and one arrived together with its predecessor.
TEST(pace_meter, outliers_do_not_change_the_pace)
{
    for (const int pause : {0, 20, 900, 20, 0, 21, 22, 20}) {
        CHECK_FALSE(piece_after(pause));
    }
    now += milliseconds(20);
    CHECK_TRUE(milliseconds(20) == *meter.on_piece(now));
}

TEST(pace_meter, the_pace_is_reported_once)
{
    for (int piece = 0; piece < 8; ++piece) {
        CHECK_FALSE(piece_after(20));
    }
    CHECK_TRUE(piece_after(20));
    CHECK_FALSE(piece_after(20));
    CHECK_FALSE(meter.at_end().has_value());
}

TEST(pace_meter, a_short_stream_reports_its_pace_at_its_end_if_it_has_enough_gaps)
{
    piece_after(0);
    piece_after(20);
    piece_after(30);
    CHECK_FALSE(meter.at_end().has_value());
    piece_after(25);
    CHECK_TRUE(milliseconds(25) == *meter.at_end());
}
