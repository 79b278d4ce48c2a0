#include "pearhaven/coordination/rollout_progress.hpp"

#include "property.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::coordination;
using namespace pearhaven::decision;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr instant start{seconds(100)};
constexpr std::uint64_t attempt = 28;

model_rollout_order make_order()
{
    return {"model@v1", "model@v2", attempt, seconds(24), 64};
}

// What each router of these fleets serves: nine of them fill an endpoint of 64 slots in 4.4 s.
constexpr request_rates usual_rates{6.0, 2.0};

// Runs that were sent while that many eighths of the endpoint's slots were writing answers.
load_counts runs_at(std::size_t level, std::uint64_t good, std::uint64_t bad = 0)
{
    load_counts seen{};
    seen.at(level) = {good, bad};
    return seen;
}

// The store's one record, and the routers that follow it.
class course_fleet {
public:
    explicit course_fleet(std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i) {
            this->courses.push_back(std::make_unique<rollout_progress>(rollout_progress_settings{},
                                                                       make_order(), start));
        }
    }

    // Each router acts once, in the order of rank; `alive` tells which ones do.
    void tick(instant now, const std::vector<bool>& alive)
    {
        for (std::size_t rank = 0; rank < this->courses.size(); ++rank) {
            if (!alive[rank]) {
                continue;
            }
            auto& course = *this->courses[rank];
            this->load(course);
            const auto wanted = course.on_tick(rank, this->courses.size(), this->rates, now);
            this->trips += wanted.trip ? 1 : 0;
            if (wanted.write_record) {
                ++this->writes;
                course.on_written(now);
                this->write(*wanted.write_record, wanted.record_revision, now);
            }
            if (wanted.report) {
                ++this->reports;
                for (std::size_t other = 0; other < this->courses.size(); ++other) {
                    if (other != rank) {
                        this->courses[other]->on_evidence(std::to_string(rank), *wanted.report);
                    }
                }
            }
        }
    }

    void write(const progress_record& record, store_revision expected, instant now)
    {
        if (expected != this->revision) {
            return;
        }
        ++this->revision;
        this->history.push_back(record);
        for (auto& course : this->courses) {
            course->on_record(record, this->revision, now);
        }
    }

    // Each router's part of the filled endpoint's runs, good ones at half of its slots.
    void load(rollout_progress& course) const
    {
        const bool is_filling =
            course.record() && course.record()->state == progress_state::load_trial;
        if (is_filling && this->loaded_runs > 0) {
            const auto& own = course.own_evidence();
            const bool is_new_part = own.state != progress_state::load_trial;
            course.on_own_evidence(is_new_part ? run_counts() : own.seen,
                                   is_new_part ? run_counts() : own.speed, false,
                                   runs_at(4, this->loaded_runs));
        }
    }

    std::vector<std::unique_ptr<rollout_progress>> courses;
    std::vector<progress_record> history;
    store_revision revision = 0;
    request_rates rates = usual_rates;
    std::uint64_t loaded_runs = 12; // of each router
    int writes = 0;
    int reports = 0;
    int trips = 0;
};

void play(course_fleet& fleet, duration length, const std::vector<bool>& alive)
{
    for (auto now = start; now < start + length; now += milliseconds(50)) {
        fleet.tick(now, alive);
    }
}

} // namespace

TEST_GROUP(rollout_progress){};

TEST(rollout_progress, a_good_version_is_finished_in_time_with_few_writes)
{
    course_fleet fleet(9);
    play(fleet, seconds(24), std::vector<bool>(9, true));
    CHECK_TRUE(progress_state::finished == fleet.history.back().state);
    CHECK_EQUAL(8, fleet.writes);
    CHECK_EQUAL(0, fleet.trips);
}

TEST(rollout_progress, sessions_change_their_version_only_in_the_second_half)
{
    course_fleet fleet(3);
    fleet.rates = {6.0, 0.0};
    play(fleet, seconds(12), std::vector<bool>(3, true));
    CHECK_TRUE(progress_state::staged == fleet.history.back().state);
    play(fleet, seconds(16), std::vector<bool>(3, true));
    CHECK_TRUE(progress_state::full_traffic == fleet.history.back().state);
}

// The router that wrote the first record had started two seconds before, and took the few requests
// that it had seen for its rate: 3.6 in 100 sessions of eighty routers moved in the first half of
// the order, and four of them changed their version in their midst.
TEST(rollout_progress, no_session_moves_in_the_first_half_whatever_rate_its_writer_sees)
{
    course_fleet fleet(80);
    fleet.rates = {0.004, 0.0};
    play(fleet, seconds(12), std::vector<bool>(80, true));
    CHECK_EQUAL(4U, fleet.history.size());
    for (const auto& record : fleet.history) {
        CHECK_EQUAL(0U, record.session_ppm);
    }
    play(fleet, milliseconds(12'500), std::vector<bool>(80, true));
    CHECK_TRUE(progress_state::staged == fleet.history.back().state);
    CHECK_EQUAL(100'000U, fleet.history.back().session_ppm);
}

TEST(rollout_progress, the_sample_is_small_however_much_sessions_send)
{
    rollout_progress course({}, make_order(), start);
    course.on_record(progress_record{attempt, 3, 740, 0, progress_state::staged}, 17, start);
    const auto wanted = course.on_tick(0, 740, {96.0, 0.0}, start + seconds(13));
    CHECK_EQUAL(281U, wanted.write_record->session_ppm); // 20 of 71,040 requests a second
}

// A third of the answers of the new version fail. The routers together have seen three of them,
// none has seen more than one itself. The first that hears of the third stops sending there at once
// and writes the record, by which the others stop.
TEST(rollout_progress, the_fleets_evidence_trips_what_no_router_could_alone)
{
    course_fleet fleet(9);
    const std::vector<bool> all(9, true);
    fleet.tick(start, all);
    for (int router = 0; router < 3; ++router) {
        fleet.courses[router]->on_own_evidence({0, 1}, {}, false);
    }
    fleet.tick(start + milliseconds(50), all);
    fleet.tick(start + milliseconds(100), all);
    CHECK_EQUAL(1, fleet.trips);
    CHECK_TRUE(progress_state::bad == fleet.history.back().state);
    for (const auto& course : fleet.courses) {
        CHECK_TRUE(rollout_state::rolled_back == course->plan("model").state);
    }
}

// The version answers rightly, and half of its answers take several times as long. Errors alone
// would never find it out.
TEST(rollout_progress, a_slow_version_is_found_out_while_it_is_staged)
{
    course_fleet fleet(3);
    const std::vector<bool> all(3, true);
    fleet.tick(start, all);
    for (auto& course : fleet.courses) {
        course->on_own_evidence({10, 0}, {3, 6}, false);
    }
    play(fleet, seconds(2), all);
    CHECK_TRUE(progress_state::bad == fleet.history.back().state);
}

// One answer in five of any version is slower than four of five of the old one's.
TEST(rollout_progress, a_version_as_quick_as_the_old_one_is_not_called_slow)
{
    course_fleet fleet(3);
    const std::vector<bool> all(3, true);
    fleet.tick(start, all);
    for (auto& course : fleet.courses) {
        course->on_own_evidence({50, 0}, {40, 10}, false);
    }
    play(fleet, seconds(2), all);
    CHECK_TRUE(progress_state::staged == fleet.history.back().state);
    CHECK_EQUAL(0, fleet.reports);
}

TEST(rollout_progress, good_ends_alone_are_not_reported)
{
    course_fleet fleet(2);
    fleet.courses[0]->on_own_evidence({50, 0}, {}, false);
    fleet.tick(start, {true, true});
    CHECK_EQUAL(0, fleet.reports);
    fleet.courses[0]->on_own_evidence({50, 1}, {}, false);
    fleet.tick(start + seconds(1), {true, true});
    CHECK_EQUAL(1, fleet.reports);
}

// The version bears an ordinary hour and fails where an endpoint is full. Its staged callers are
// content, and the first crowd after the roll-out would meet it. So one endpoint is filled while
// the old version still has the rest, and the version is bad before it has all traffic.
TEST(rollout_progress, a_version_that_fails_when_its_endpoint_is_full_never_gets_all_traffic)
{
    course_fleet fleet(9);
    const std::vector<bool> all(9, true);
    play(fleet, milliseconds(14'500), all);
    CHECK_TRUE(progress_state::load_trial == fleet.history.back().state);
    CHECK_TRUE(fleet.courses[0]->plan("model").fills_endpoint);
    for (int router = 0; router < 4; ++router) {
        fleet.courses[router]->on_own_evidence({1, 1}, {}, false);
    }
    fleet.tick(start + milliseconds(14'600), all);
    fleet.tick(start + milliseconds(14'700), all);
    CHECK_TRUE(progress_state::bad == fleet.history.back().state);
    for (const auto& record : fleet.history) {
        CHECK_TRUE(record.state != progress_state::full_traffic);
    }
}

TEST(rollout_progress, good_answers_of_a_quiet_part_do_not_hide_bad_ones_of_the_next)
{
    course_fleet fleet(2);
    fleet.rates = {20.0, 10.0};
    const std::vector<bool> all(2, true);
    fleet.tick(start, all);
    fleet.courses[0]->on_own_evidence({200, 1}, {}, false);
    fleet.tick(start + milliseconds(50), all);
    play(fleet, milliseconds(13'000), all);
    CHECK_TRUE(progress_state::load_trial == fleet.history.back().state);
    fleet.courses[1]->on_own_evidence({0, 3}, {}, false);
    fleet.tick(start + milliseconds(13'100), all);
    CHECK_TRUE(progress_state::bad == fleet.history.back().state);
}

// One kind of request in three fails. The staged callers bring two failures of seven, the trial
// three of seventeen: neither is enough alone, and together they are.
TEST(rollout_progress, bad_answers_of_all_parts_add_up)
{
    course_fleet fleet(2);
    fleet.rates = {20.0, 10.0};
    const std::vector<bool> all(2, true);
    fleet.tick(start, all);
    fleet.courses[0]->on_own_evidence({3, 1}, {}, false);
    fleet.courses[1]->on_own_evidence({2, 1}, {}, false);
    play(fleet, milliseconds(13'000), all);
    CHECK_TRUE(progress_state::load_trial == fleet.history.back().state);
    fleet.courses[0]->on_own_evidence({10, 2}, {}, false);
    fleet.courses[1]->on_own_evidence({4, 0}, {}, false);
    fleet.tick(start + milliseconds(13'100), all);
    CHECK_TRUE(progress_state::load_trial == fleet.history.back().state);
    fleet.courses[1]->on_own_evidence({4, 1}, {}, false);
    fleet.tick(start + milliseconds(13'900), all);
    fleet.tick(start + milliseconds(14'700), all);
    CHECK_TRUE(progress_state::bad == fleet.history.back().state);
}

// Two bad answers of six are too few for a verdict and too many for comfort: the trial goes on for
// a while, and ends all the same. Once all traffic has brought good answers, the version is
// finished in time.
TEST(rollout_progress, a_doubtful_trial_lasts_longer_but_not_for_ever)
{
    course_fleet sound(9);
    course_fleet doubtful(9);
    const std::vector<bool> all(9, true);
    const auto until_loaded = milliseconds(12'600);
    play(sound, until_loaded, all);
    play(doubtful, until_loaded, all);
    CHECK_TRUE(progress_state::load_trial == doubtful.history.back().state);
    doubtful.courses[0]->on_own_evidence({4, 1}, {}, false);
    doubtful.courses[1]->on_own_evidence({0, 1}, {}, false);
    play(sound, milliseconds(17'700), all);
    play(doubtful, milliseconds(17'700), all);
    CHECK_TRUE(progress_state::full_traffic == sound.history.back().state);
    CHECK_TRUE(progress_state::load_trial == doubtful.history.back().state);
    play(doubtful, milliseconds(21'500), all);
    CHECK_TRUE(progress_state::full_traffic == doubtful.history.back().state);
    doubtful.courses[1]->on_own_evidence({40, 0}, {}, false);
    play(doubtful, milliseconds(22'800), all);
    CHECK_TRUE(progress_state::finished == doubtful.history.back().state);
}

// Half of the answers of a version are slow. Few have told so by the end of the order, and the
// version was finished while it had more bad answers than a good one has: everybody met it.
TEST(rollout_progress, a_version_still_in_doubt_at_the_end_is_given_up)
{
    course_fleet fleet(9);
    const std::vector<bool> all(9, true);
    play(fleet, milliseconds(12'600), all);
    fleet.courses[0]->on_own_evidence({4, 1}, {}, false);
    fleet.courses[1]->on_own_evidence({0, 1}, {}, false);
    play(fleet, milliseconds(24'000), all);
    CHECK_TRUE(progress_state::bad == fleet.history.back().state);
}

TEST(rollout_progress, a_version_that_seems_slow_at_the_end_is_given_up)
{
    course_fleet fleet(9);
    const std::vector<bool> all(9, true);
    play(fleet, milliseconds(17'000), all);
    CHECK_TRUE(progress_state::full_traffic == fleet.history.back().state);
    fleet.courses[0]->on_own_evidence({5, 0}, {2, 3}, false);
    play(fleet, milliseconds(22'000), all);
    CHECK_TRUE(progress_state::full_traffic == fleet.history.back().state);
    play(fleet, milliseconds(24'000), all);
    CHECK_TRUE(progress_state::bad == fleet.history.back().state);
}

// Guards against a trial that ends by the clock before its endpoint was under load.
TEST(rollout_progress, a_trial_that_has_not_loaded_its_endpoint_goes_on)
{
    course_fleet fleet(9);
    const std::vector<bool> all(9, true);
    fleet.loaded_runs = 0;
    play(fleet, milliseconds(23'900), all);
    CHECK_TRUE(progress_state::load_trial == fleet.history.back().state);
    fleet.loaded_runs = 1;
    for (auto now = start + seconds(24); now < start + seconds(25); now += milliseconds(50)) {
        fleet.tick(now, all);
    }
    CHECK_TRUE(progress_state::full_traffic == fleet.history.back().state);
}

// Guards against an order that never ends where no trial comes to its end.
TEST(rollout_progress, a_trial_without_load_holds_the_version_up_for_half_of_the_orders_time)
{
    const std::vector<bool> all(9, true);
    course_fleet before(9);
    before.loaded_runs = 0;
    play(before, milliseconds(35'900), all);
    CHECK_TRUE(progress_state::load_trial == before.history.back().state);
    course_fleet after(9);
    after.loaded_runs = 0;
    play(after, milliseconds(36'200), all);
    CHECK_TRUE(progress_state::full_traffic == after.history.back().state);
}

// Guards against a trial that is called loaded by requests at half empty endpoints.
TEST(rollout_progress, runs_at_a_light_load_show_nothing)
{
    course_fleet fleet(9);
    const std::vector<bool> all(9, true);
    fleet.loaded_runs = 0;
    play(fleet, milliseconds(12'600), all);
    for (auto& course : fleet.courses) {
        course->on_own_evidence({10, 0}, {}, false, runs_at(2, 10));
    }
    play(fleet, milliseconds(23'900), all);
    CHECK_TRUE(progress_state::load_trial == fleet.history.back().state);
}

// Guards against a version that fails under load and passes by its answers before that load.
TEST(rollout_progress, good_answers_at_a_light_load_do_not_hide_bad_ones_at_a_heavy_one)
{
    course_fleet fleet(2);
    fleet.rates = {20.0, 10.0};
    fleet.loaded_runs = 0;
    const std::vector<bool> all(2, true);
    play(fleet, milliseconds(12'600), all);
    auto seen = runs_at(1, 20);
    seen.at(4) = {1, 2};
    fleet.courses[0]->on_own_evidence({21, 2}, {}, false, seen);
    fleet.courses[1]->on_own_evidence({21, 2}, {}, false, seen);
    fleet.tick(start + milliseconds(12'600), all);
    fleet.tick(start + milliseconds(12'650), all);
    CHECK_TRUE(progress_state::bad == fleet.history.back().state);
}

// Guards against all traffic for a version of which some answers have failed under load.
TEST(rollout_progress, a_version_in_doubt_under_load_never_gets_all_traffic)
{
    course_fleet fleet(2);
    fleet.rates = {20.0, 10.0};
    fleet.loaded_runs = 0;
    const std::vector<bool> all(2, true);
    play(fleet, milliseconds(12'600), all);
    fleet.courses[0]->on_own_evidence({10, 2}, {}, false, runs_at(5, 10, 2));
    play(fleet, milliseconds(22'700), all);
    CHECK_TRUE(progress_state::load_trial == fleet.history.back().state);
    play(fleet, milliseconds(23'000), all);
    CHECK_TRUE(progress_state::bad == fleet.history.back().state);
}

// Guards against a good version that is given up for one failure of its endpoint.
TEST(rollout_progress, one_failure_under_load_does_not_hold_a_version_up)
{
    course_fleet fleet(2);
    fleet.rates = {20.0, 10.0};
    fleet.loaded_runs = 0;
    const std::vector<bool> all(2, true);
    play(fleet, milliseconds(12'600), all);
    fleet.courses[0]->on_own_evidence({8, 1}, {}, false, runs_at(5, 8, 1));
    play(fleet, milliseconds(21'500), all);
    CHECK_TRUE(progress_state::full_traffic == fleet.history.back().state);
}

// Guards against callers that meet a version until the end of its order though runs that were
// begun in its trial have failed.
TEST(rollout_progress, failures_under_load_that_come_after_the_trial_give_the_version_up_at_once)
{
    course_fleet fleet(9);
    const std::vector<bool> all(9, true);
    play(fleet, milliseconds(18'000), all);
    CHECK_TRUE(progress_state::full_traffic == fleet.history.back().state);
    auto seen = runs_at(4, 12);
    seen.at(6) = {1, 2};
    fleet.courses[0]->on_own_evidence({20, 2}, {}, false, seen);
    fleet.tick(start + milliseconds(18'000), all);
    fleet.tick(start + milliseconds(18'100), all);
    CHECK_TRUE(progress_state::bad == fleet.history.back().state);
}

TEST(rollout_progress, no_endpoint_is_filled_where_callers_are_too_few_for_it)
{
    course_fleet fleet(3);
    fleet.rates = {6.0, 0.5};
    play(fleet, seconds(24), std::vector<bool>(3, true));
    CHECK_TRUE(progress_state::finished == fleet.history.back().state);
    for (const auto& record : fleet.history) {
        CHECK_TRUE(record.state != progress_state::load_trial);
    }
}

// Traffic ebbs in the middle of the trial, to less than what could have filled an endpoint. The
// trial takes the longest time that it may, and does not end at once.
TEST(rollout_progress, an_ebb_does_not_end_a_trial_early)
{
    course_fleet fleet(9);
    const std::vector<bool> all(9, true);
    fleet.loaded_runs = 0;
    play(fleet, milliseconds(12'600), all);
    CHECK_TRUE(progress_state::load_trial == fleet.history.back().state);
    fleet.rates.long_answers = 0.1;
    play(fleet, milliseconds(19'500), all);
    CHECK_TRUE(progress_state::load_trial == fleet.history.back().state);
    play(fleet, milliseconds(24'000), all);
    CHECK_TRUE(progress_state::finished == fleet.history.back().state);
}

// One router has most of the long answers. What the others tell of theirs counts as well, or the
// trial would end before its endpoint is full.
TEST(rollout_progress, the_length_of_a_trial_follows_the_rates_of_all_routers)
{
    course_fleet fleet(2);
    const std::vector<bool> all(2, true);
    fleet.rates = {40.0, 40.0};
    fleet.courses[1]->on_evidence("0", {attempt, progress_state::staged, {}, {}, {}, 40.0});
    fleet.courses[0]->on_evidence("1", {attempt, progress_state::staged, {}, {}, {}, 40.0});
    play(fleet, milliseconds(12'600), all);
    CHECK_TRUE(progress_state::load_trial == fleet.history.back().state);
    play(fleet, milliseconds(13'100), all); // 80 callers at 80 a second
    CHECK_TRUE(progress_state::load_trial == fleet.history.back().state);
    play(fleet, milliseconds(13'400), all);
    CHECK_TRUE(progress_state::full_traffic == fleet.history.back().state);
}

// Guards against three hundred writes at one moment, each of which wakes all who watch the store.
TEST(rollout_progress, of_a_large_fleet_some_routers_tell_their_rates_for_all)
{
    constexpr std::size_t size = 295;
    course_fleet fleet(size);
    const std::vector<bool> all(size, true);
    fleet.rates = {4.0, 0.5};
    fleet.loaded_runs = 0;
    play(fleet, milliseconds(12'600), all);
    CHECK_TRUE(progress_state::load_trial == fleet.history.back().state);
    LONGS_EQUAL(rollout_progress_settings().most_rates_told, fleet.reports);
    // 80 of the 147.5 that come each second.
    CHECK_EQUAL(542'372U, fleet.history.back().fill_ppm);
}

// Guards against hundreds of writes, of which one counts, when the last evidence has come to all.
TEST(rollout_progress, of_a_large_fleet_few_routers_write_the_step_that_all_see_due)
{
    constexpr std::size_t size = 295;
    std::vector<std::unique_ptr<rollout_progress>> courses;
    const progress_record loaded{attempt, 3, size, 100'000, progress_state::load_trial};
    for (std::size_t rank = 0; rank < size; ++rank) {
        courses.push_back(
            std::make_unique<rollout_progress>(rollout_progress_settings{}, make_order(), start));
        courses.back()->on_record(loaded, 5, start + milliseconds(12'200));
    }
    const auto last = start + milliseconds(17'000);
    router_evidence evidence{attempt, progress_state::load_trial, {20, 0}, {20, 0}, {}, 40.0};
    evidence.under_load = runs_at(5, 20);
    for (const auto& course : courses) {
        course->on_evidence("other", evidence);
    }
    // Until the record that one of them writes has come to all.
    int writes = 0;
    for (auto now = last; now < last + milliseconds(200); now += milliseconds(50)) {
        for (std::size_t rank = 0; rank < size; ++rank) {
            const auto wanted = courses[rank]->on_tick(rank, size, {6.0, 2.0}, now);
            writes += wanted.write_record ? 1 : 0;
        }
    }
    CHECK_COMPARE(writes, >, 0);
    CHECK_COMPARE(writes, <=, 16);
}

TEST(rollout_progress, in_a_fleet_that_only_just_fills_an_endpoint_all_long_answers_do)
{
    course_fleet fleet(9);
    const std::vector<bool> all(9, true);
    play(fleet, milliseconds(12'600), all);
    CHECK_TRUE(progress_state::load_trial == fleet.history.back().state);
    CHECK_EQUAL(1'000'000U, fleet.history.back().fill_ppm);
}

// The router that writes the steps dies in the middle. Nobody has to notice: the next one by rank
// writes the next step a turn later, and the roll-out ends in time.
TEST(rollout_progress, the_death_of_any_router_holds_nothing_up)
{
    for (std::size_t dead = 0; dead < 4; ++dead) {
        course_fleet fleet(4);
        std::vector<bool> alive(4, true);
        play(fleet, seconds(5), alive);
        alive[dead] = false;
        play(fleet, seconds(24), alive);
        CHECK_TRUE(progress_state::finished == fleet.history.back().state);
    }
}

TEST(rollout_progress, a_bad_version_never_comes_back)
{
    course_fleet fleet(2);
    const std::vector<bool> all(2, true);
    fleet.tick(start, all);
    fleet.courses[0]->on_own_evidence({0, 9}, {}, true);
    play(fleet, seconds(40), all);
    CHECK_TRUE(progress_state::bad == fleet.history.back().state);
    CHECK_TRUE(rollout_state::rolled_back == fleet.courses[1]->plan("model").state);
}

TEST(rollout_progress, an_earlier_attempts_record_is_written_over)
{
    rollout_progress course({}, make_order(), start);
    course.on_record(progress_record{attempt - 1, 3, 9, 0, progress_state::bad}, 17, start);
    const auto wanted = course.on_tick(0, 9, usual_rates, start);
    CHECK_EQUAL(17U, wanted.record_revision);
    CHECK_EQUAL(attempt, wanted.write_record->run);
    CHECK_TRUE(progress_state::staged == wanted.write_record->state);
}

// A router starts while the record of a roll-out that it does not know holds nonsense. Taken for no
// record, it would begin the roll-out anew: a version that was given up as bad would meet callers
// once more. It waits, sends nothing to the new version and writes nothing, until the record can be
// read, and then goes on from there.
TEST(rollout_progress, nothing_begins_beside_a_record_that_cannot_be_read)
{
    rollout_progress course({}, make_order(), start);
    course.on_unreadable_record(attempt + 3, start);
    for (auto now = start; now < start + seconds(60); now += milliseconds(50)) {
        CHECK_FALSE(course.on_tick(0, 1, usual_rates, now).write_record.has_value());
    }
    CHECK_EQUAL(0U, course.plan("model").run);
    course.on_record(progress_record{attempt, 2, 9, 0, progress_state::bad}, attempt + 4,
                     start + seconds(60));
    CHECK_TRUE(rollout_state::rolled_back == course.plan("model").state);
}

// The order is younger than the value that cannot be read, so that value is no record of it: the
// one who waited for it would hold up every later order.
TEST(rollout_progress, what_could_not_be_read_before_the_order_is_written_over)
{
    rollout_progress course({}, make_order(), start);
    course.on_unreadable_record(attempt - 1, start);
    const auto wanted = course.on_tick(0, 9, usual_rates, start);
    CHECK_EQUAL(attempt - 1, wanted.record_revision);
    const progress_record first{attempt, 0, 9, 0, progress_state::staged};
    CHECK_TRUE(wanted.write_record == first);
}

// The operator takes the nonsense away, or the store's history tells of it: there is no record, and
// the roll-out begins.
TEST(rollout_progress, a_course_begins_once_the_unreadable_record_is_gone)
{
    rollout_progress course({}, make_order(), start);
    course.on_unreadable_record(attempt + 3, start);
    course.on_record(std::nullopt, 0, start + seconds(1));
    const auto wanted = course.on_tick(0, 9, usual_rates, start + seconds(1));
    CHECK_TRUE(wanted.write_record.has_value());
    CHECK_EQUAL(0U, wanted.record_revision);
}

// Routers that wait are helped by any that knows what the record said: it writes it again, in turn,
// also where the roll-out has ended and no step follows.
TEST(rollout_progress, who_knows_what_the_record_said_writes_it_again)
{
    for (const auto state :
         {progress_state::staged, progress_state::finished, progress_state::bad}) {
        const progress_record said{attempt, 1, 9, 0, state};
        rollout_progress course({}, make_order(), start);
        course.on_record(said, attempt + 2, start);
        course.on_unreadable_record(attempt + 3, start);
        CHECK_FALSE(
            course.on_tick(2, 9, usual_rates, start + milliseconds(750)).write_record.has_value());
        const auto wanted = course.on_tick(2, 9, usual_rates, start + milliseconds(850));
        CHECK_TRUE(wanted.write_record == said);
        CHECK_EQUAL(attempt + 3, wanted.record_revision);
        course.on_written(start + milliseconds(900));
        course.on_record(said, attempt + 4, start + milliseconds(900));
        CHECK_FALSE(
            course.on_tick(2, 9, usual_rates, start + milliseconds(950)).write_record.has_value());
    }
}

// Routers die and wake at random while evidence comes in at random places. Whatever happens, the
// record's states follow each other in order and a bad one is the last.
TEST(rollout_progress, states_follow_each_other_under_random_faults)
{
    CHECK_TRUE(holds_for_seeds("order of states", [](std::uint64_t seed) {
        course_fleet fleet(5);
        std::vector<bool> alive(5, true);
        auto random = static_cast<std::uint32_t>(seed);
        for (auto now = start; now < start + seconds(40); now += milliseconds(100)) {
            random = random * 1664525U + 1013904223U;
            const auto router = (random >> 8U) % 5;
            if (random >> 28U == 0) {
                alive[router] = !alive[router];
            }
            if (random >> 26U == 1) {
                fleet.courses[router]->on_own_evidence({20, (random >> 4U) % 4}, {}, false);
            }
            fleet.tick(now, alive);
        }
        for (std::size_t i = 1; i < fleet.history.size(); ++i) {
            const auto& before = fleet.history[i - 1];
            const auto& after = fleet.history[i];
            RC_ASSERT(before.state != progress_state::bad);
            RC_ASSERT(before.state != progress_state::finished);
            RC_ASSERT(after.state >= before.state);
            RC_ASSERT(after.step >= before.step);
        }
    }));
}
