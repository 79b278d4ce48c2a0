#include "pearhaven/decision/suspects.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;
using suspect_status = suspect_table::suspect_status;

namespace {

constexpr instant now{std::chrono::hours(1)};

} // namespace

TEST_GROUP(suspects_test){};

TEST(suspects_test, a_fingerprint_depends_on_each_part_and_on_its_length)
{
    const auto base = fingerprint("deposits", "reader", "body");
    CHECK_TRUE(base == fingerprint("deposits", "reader", "body"));
    CHECK_TRUE(base != fingerprint("bookings", "reader", "body"));
    CHECK_TRUE(base != fingerprint("depositsr", "eader", "body"));
    CHECK_TRUE(base != fingerprint("deposits", "reader", "body "));
}

TEST(suspects_test, the_second_crash_of_a_suspect_quarantines_it_alone)
{
    // A request crashes its endpoint, is retried and crashes the next one. A request that ran
    // alongside the first crash finishes elsewhere; one that ran alongside the second is only
    // suspect. No third endpoint is lost.
    suspect_table table;
    CHECK_TRUE(table.on_crash({1, 2}, now).empty());
    CHECK_TRUE(suspect_status::suspect == table.status_of(1, now));
    table.on_finished(2, now);
    CHECK_TRUE(std::vector<std::uint64_t>{1} == table.on_crash({1, 3}, now));
    CHECK_TRUE(suspect_status::quarantined == table.status_of(1, now));
    CHECK_TRUE(suspect_status::clear == table.status_of(2, now));
    CHECK_TRUE(suspect_status::suspect == table.status_of(3, now));
}

TEST(suspects_test, a_request_sent_twice_counts_once_per_crash)
{
    suspect_table table;
    table.on_crash({1, 1}, now);
    CHECK_TRUE(suspect_status::suspect == table.status_of(1, now));
}

TEST(suspects_test, two_suspects_on_a_crashed_endpoint_are_not_quarantined)
{
    // An innocent request became suspect after one crash, and ran together with the crashing one
    // again because another router had not yet received either status. Quarantining both would
    // refuse its caller permanently.
    suspect_table table;
    table.on_crash({1, 2}, now);
    CHECK_TRUE(table.on_crash({1, 2}, now).empty());
    CHECK_TRUE(std::vector<std::uint64_t>{1} == table.on_crash({1}, now));
}

TEST(suspects_test, suspect_statuses_expire)
{
    suspect_table table({10, std::chrono::minutes(1), std::chrono::minutes(5)});
    table.on_crash({1}, now);
    CHECK_TRUE(suspect_status::clear == table.status_of(1, now + std::chrono::minutes(1)));
    table.apply_peer_status(1, suspect_status::quarantined, now);
    CHECK_TRUE(suspect_status::quarantined == table.status_of(1, now + std::chrono::minutes(4)));
    table.apply_peer_status(2, suspect_status::suspect, now + std::chrono::minutes(6));
    CHECK_EQUAL(1U, table.size());
}

TEST(suspects_test, suspects_are_evicted_before_quarantined_requests)
{
    suspect_table table({2, std::chrono::minutes(10), std::chrono::hours(1)});
    table.apply_peer_status(1, suspect_status::quarantined, now);
    table.on_crash({2, 3}, now);
    CHECK_EQUAL(2U, table.size());
    CHECK_TRUE(suspect_status::quarantined == table.status_of(1, now));
}

TEST(suspects_test, each_local_change_is_returned_once)
{
    suspect_table table;
    table.apply_peer_status(9, suspect_status::suspect, now);
    table.on_crash({1, 9}, now);
    table.on_finished(1, now);
    const std::vector<std::pair<std::uint64_t, suspect_status>> expected = {
        {1, suspect_status::suspect}, {9, suspect_status::quarantined}, {1, suspect_status::clear}};
    CHECK_TRUE(expected == table.take_changes());
    CHECK_TRUE(table.take_changes().empty());
}

TEST(suspects_test, a_late_update_does_not_lift_a_quarantine)
{
    suspect_table table;
    table.apply_peer_status(1, suspect_status::quarantined, now);
    table.apply_peer_status(1, suspect_status::suspect, now);
    table.apply_peer_status(1, suspect_status::clear, now);
    table.on_finished(1, now);
    CHECK_TRUE(suspect_status::quarantined == table.status_of(1, now));
}

namespace {

// Simulates endpoints that run requests. The crashing request eventually crashes its endpoint,
// suspects are kept apart as the table requires, and callers resend everything.
class simulated_fleet {
public:
    void simulate_one_event()
    {
        const auto request = *rc::gen::inRange<std::uint64_t>(guilty, guilty + 12);
        const auto endpoint = *rc::gen::inRange(0, 4);
        if (*rc::gen::inRange(0, 3) > 0) {
            this->start(request, endpoint);
        } else {
            this->end_one(endpoint);
        }
        RC_ASSERT(this->crashes <= 2);
        for (std::uint64_t innocent = guilty + 1; innocent < guilty + 12; ++innocent) {
            RC_ASSERT(this->table.status_of(innocent, now) != suspect_status::quarantined);
        }
    }

    void end_all()
    {
        for (int endpoint = 0; endpoint < 4; ++endpoint) {
            while (!this->running[endpoint].empty()) {
                this->end_one(endpoint);
            }
        }
    }

    static constexpr std::uint64_t guilty = 1;
    suspect_table table;
    int crashes = 0;

private:
    [[nodiscard]] bool is_suspect(std::uint64_t request) const
    {
        return this->table.status_of(request, now) == suspect_status::suspect;
    }

    // One copy of a request at a time: a router joins a resend with the first send.
    void start(std::uint64_t request, int endpoint)
    {
        bool runs = false;
        for (const auto& [where, requests] : this->running) {
            runs = runs || std::count(requests.begin(), requests.end(), request) > 0;
        }
        auto& here = this->running[endpoint];
        const bool shares = std::any_of(here.begin(), here.end(),
                                        [this](auto other) { return this->is_suspect(other); });
        const bool quarantined = this->table.status_of(request, now) == suspect_status::quarantined;
        if (!runs && !quarantined && !(this->is_suspect(request) && shares)) {
            here.push_back(request);
        }
    }

    void end_one(int endpoint)
    {
        auto& here = this->running[endpoint];
        if (here.empty()) {
            return;
        }
        if (std::count(here.begin(), here.end(), guilty) > 0) {
            ++this->crashes;
            this->table.on_crash(here, now);
            here.clear();
            return;
        }
        this->table.on_finished(here.back(), now);
        here.pop_back();
    }

    std::map<int, std::vector<std::uint64_t>> running;
};

} // namespace

TEST(suspects_test, at_most_two_crashes_and_no_innocent_quarantined_under_random_schedules)
{
    CHECK_TRUE(rc::check("crashes", [] {
        simulated_fleet fleet;
        for (int event = 0; event < 150; ++event) {
            fleet.simulate_one_event();
        }
        fleet.end_all();
        RC_ASSERT(fleet.crashes <= 2);
    }));
}
