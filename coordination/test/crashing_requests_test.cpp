#include "crash_fleet.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace pearhaven::coordination::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t crashing = 7;

// Crashes that the platform allows later than three seconds after the third one.
constexpr std::size_t allowed_late_crashes = 3;
constexpr std::size_t first_crashes = 3;

// Short requests at any router, and one, again and again, that crashes each endpoint that runs it.
class repeated_request {
public:
    repeated_request(crash_fleet& sent_to, milliseconds between_crashes)
        : fleet(sent_to), period(between_crashes), next_crashing(sent_to.now)
    {}

    void simulate(seconds time)
    {
        this->fleet.simulate(time, [this] {
            fleet_request innocent;
            innocent.fingerprint = ++this->last_request + crashing;
            this->fleet.send(innocent);
            if (this->fleet.now >= this->next_crashing) {
                this->next_crashing += this->period;
                fleet_request request;
                request.fingerprint = crashing;
                request.crash_cause = crashing;
                this->fleet.send(request);
            }
        });
    }

private:
    crash_fleet& fleet;
    milliseconds period;
    pearhaven::decision::instant next_crashing;
    std::uint64_t last_request = 0;
};

// Crashes later than three seconds after the third one.
std::size_t late_crashes(crash_fleet& fleet)
{
    return fleet.count_later_than(fleet.crashes(crashing), crashing, first_crashes, seconds(3));
}

} // namespace

// CppUTest searches all allocated blocks whenever one is freed, which is too slow with many
// routers.
TEST_GROUP(crashing_requests){
    void setup() override{MemoryLeakWarningPlugin::saveAndDisableNewDeleteOverloads();
}

void teardown() override
{
    MemoryLeakWarningPlugin::restoreNewDeleteOverloads();
}
}
;

// Guards against crashes that do not add up because the request reaches another router each time.
TEST(crashing_requests, few_endpoints_crash_whichever_routers_the_request_reaches)
{
    for (std::size_t seed = 1; seed <= 4; ++seed) {
        crash_fleet_options options;
        options.first_seed = seed * 1000;
        crash_fleet fleet(options);
        repeated_request(fleet, milliseconds(400)).simulate(seconds(12));
        const auto text = "seed " + std::to_string(options.first_seed);
        CHECK_TEXT(fleet.crashes(crashing).size() >= first_crashes, text.c_str());
        CHECK_COMPARE_TEXT(late_crashes(fleet), <=, allowed_late_crashes, text.c_str());
        LONGS_EQUAL_TEXT(0, fleet.refused_innocents, text.c_str());
    }
}

// Guards against crashes that do not add up because reports of lost runs get lost themselves.
TEST(crashing_requests, few_endpoints_crash_when_a_third_of_the_reports_is_lost)
{
    for (std::size_t seed = 1; seed <= 4; ++seed) {
        crash_fleet_options options;
        options.first_seed = seed * 1000;
        options.lost_messages = 0.33;
        crash_fleet fleet(options);
        repeated_request(fleet, milliseconds(400)).simulate(seconds(12));
        const auto text = "seed " + std::to_string(options.first_seed);
        CHECK_COMPARE_TEXT(late_crashes(fleet), <=, allowed_late_crashes, text.c_str());
        LONGS_EQUAL_TEXT(0, fleet.refused_innocents, text.c_str());
    }
}

// Guards against a service whose few endpoints all crash again each time they are back.
TEST(crashing_requests, a_small_service_is_back_after_the_first_crashes)
{
    crash_fleet_options options;
    options.endpoints = 4;
    crash_fleet fleet(options);
    repeated_request(fleet, milliseconds(200)).simulate(seconds(20));
    CHECK_COMPARE(late_crashes(fleet), <=, allowed_late_crashes);
    LONGS_EQUAL(0, fleet.refused_innocents);
}
