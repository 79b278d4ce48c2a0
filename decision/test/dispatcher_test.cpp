#include "pearhaven/decision/dispatcher.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::decision;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct test_setup {
    std::vector<std::string> withdrawn;
    int hosts = 3;
    std::uint32_t slots = 4;
    std::uint64_t revision = 1;
};

version make_version(const std::string& name, const test_setup& from)
{
    version made;
    made.name = name;
    made.model = "adjudicator";
    made.withdrawn =
        std::find(from.withdrawn.begin(), from.withdrawn.end(), name) != from.withdrawn.end();
    return made;
}

configuration_ptr make_configuration(const test_setup& from)
{
    team deposits;
    deposits.name = "deposits";
    deposits.versions = selector().require("model", {"adjudicator"});
    deposits.max_in_flight = 100;
    pool engines;
    engines.name = "engines";
    engines.hosts = selector().require("role", {"engine"});
    engines.versions = selector().require("model", {"adjudicator"});
    engines.slots_per_host = from.slots;
    service booking;
    booking.name = "booking";
    booking.hosts = selector().require("role", {"booking"});
    return configuration_builder()
        .revision(from.revision)
        .add(deposits)
        .add(make_version("adjudicator-1", from))
        .add(make_version("adjudicator-2", from))
        .add(engines)
        .add(booking)
        .build();
}

std::vector<endpoint_host> make_hosts(const test_setup& from)
{
    std::vector<endpoint_host> hosts;
    for (int i = 1; i <= from.hosts; ++i) {
        const auto address = "10.0.0." + std::to_string(i) + ":1";
        hosts.push_back(
            {address, "engine-" + std::to_string(i), "osu", 1, false, {{"role", "engine"}}});
    }
    hosts.push_back({"10.0.1.1:1", "booking-1", "osu", 1, false, {{"role", "booking"}}});
    hosts.push_back({"10.0.1.2:1", "booking-2", "osu", 1, false, {{"role", "booking"}}});
    return hosts;
}

// All actions of one type, in order.
template <class Action>
std::vector<Action> pick(const std::vector<dispatch_action>& actions)
{
    std::vector<Action> picked;
    for (const auto& one : actions) {
        if (const auto* found = std::get_if<Action>(&one)) {
            picked.push_back(*found);
        }
    }
    return picked;
}

} // namespace

TEST_GROUP(dispatcher_test)
{
    test_setup current;
    instant now{seconds(100)};

    std::unique_ptr<dispatcher> make()
    {
        auto made = std::make_unique<dispatcher>(dispatcher_settings{});
        made->on_configuration(make_configuration(current), now);
        made->on_hosts(make_hosts(current), now);
        made->on_config_confirmed(now + std::chrono::hours(1), now);
        static_cast<void>(made->take_actions());
        return made;
    }

    // The hosts, with the first one replaced by a process of the given incarnation.
    std::vector<endpoint_host> restarted(std::uint64_t incarnation) const
    {
        auto hosts = make_hosts(current);
        hosts[0].incarnation = incarnation;
        return hosts;
    }

    arrival request(ticket_number ticket) const
    {
        arrival made;
        made.ticket = ticket;
        made.team = "deposits";
        made.asked = "adjudicator-1";
        made.work = {work_class::lookup, 100.0};
        made.deadline = now + seconds(30);
        made.fingerprint = 1000 + ticket;
        return made;
    }

    arrival booking(ticket_number ticket) const
    {
        auto made = this->request(ticket);
        made.asked = "booking";
        made.is_service = true;
        made.idempotent = false;
        return made;
    }

    static attempt_end ended(const start_attempt& of, attempt_result result)
    {
        attempt_end end;
        end.ticket = of.ticket;
        end.attempt = of.attempt;
        end.result = result;
        return end;
    }

    static start_attempt only_start(dispatcher & router)
    {
        const auto starts = pick<start_attempt>(router.take_actions());
        LONGS_EQUAL(1, starts.size());
        return starts.at(0);
    }

    static failure only_failure(dispatcher & router)
    {
        const auto failures = pick<give_up_request>(router.take_actions());
        LONGS_EQUAL(1, failures.size());
        return failures.at(0).why;
    }
};

TEST(dispatcher_test, an_allowed_request_starts_at_once_and_is_completed)
{
    const auto router = this->make();
    router->on_arrival(this->request(1), now);
    const auto start = only_start(*router);
    CHECK_EQUAL(std::string("adjudicator-1"), start.version);
    router->on_attempt_end(ended(start, attempt_result::finished), now);
    LONGS_EQUAL(1, pick<complete_request>(router->take_actions()).size());
    LONGS_EQUAL(0, router->in_flight());
}

// The operator withdraws the version of a queued request. The request was allowed when it arrived,
// but starting it now would be new work on a withdrawn version.
TEST(dispatcher_test, a_version_withdrawn_while_a_request_is_queued_does_not_get_it)
{
    current.hosts = 1;
    current.slots = 1;
    const auto router = this->make();
    router->on_arrival(this->request(1), now);
    const auto running = only_start(*router);
    router->on_arrival(this->request(2), now);
    LONGS_EQUAL(0, router->take_actions().size());
    current.withdrawn = {"adjudicator-1"};
    router->on_configuration(make_configuration(current), now);
    router->on_attempt_end(ended(running, attempt_result::finished), now);
    const auto actions = router->take_actions();
    LONGS_EQUAL(0, pick<start_attempt>(actions).size());
    LONGS_EQUAL(1, pick<give_up_request>(actions).size());
    CHECK_TRUE(pick<give_up_request>(actions)[0].why.code == failure_code::version_withdrawn);
}

// As above, but the withdrawal comes between a failed attempt and its retry.
TEST(dispatcher_test, a_version_withdrawn_during_an_attempt_does_not_get_its_retry)
{
    const auto router = this->make();
    router->on_arrival(this->request(1), now);
    const auto start = only_start(*router);
    current.withdrawn = {"adjudicator-1"};
    router->on_configuration(make_configuration(current), now);
    auto end = ended(start, attempt_result::failed);
    end.answered_error = true;
    router->on_attempt_end(end, now);
    const auto why = only_failure(*router);
    CHECK_TRUE(why.code == failure_code::version_withdrawn);
    CHECK_TRUE(why.run == run_state::unknown);
}

// The connection breaks after a booking was sent. Whether it ran is unknown, and sending it to
// another replica could book a second seat.
TEST(dispatcher_test, a_non_idempotent_request_is_never_started_twice)
{
    const auto router = this->make();
    router->on_arrival(this->booking(1), now);
    router->on_attempt_end(ended(only_start(*router), attempt_result::failed), now);
    const auto actions = router->take_actions();
    LONGS_EQUAL(0, pick<start_attempt>(actions).size());
    const auto failures = pick<give_up_request>(actions);
    LONGS_EQUAL(1, failures.size());
    CHECK_TRUE(failures[0].why.run == run_state::unknown);
    CHECK_FALSE(failures[0].why.resend);
}

TEST(dispatcher_test, a_refused_booking_goes_to_another_replica_since_nothing_ran)
{
    const auto router = this->make();
    router->on_arrival(this->booking(1), now);
    const auto first = only_start(*router);
    router->on_attempt_end(ended(first, attempt_result::refused), now);
    const auto second = only_start(*router);
    CHECK_TRUE(second.address != first.address);
}

// Both engines are full for a moment and refuse. The request must not stay queued until its
// deadline because every endpoint has refused it once, but start as soon as there is capacity.
TEST(dispatcher_test, a_request_that_every_endpoint_refused_is_retried_shortly_after)
{
    current.hosts = 2;
    const auto router = this->make();
    router->on_arrival(this->request(1), now);
    router->on_attempt_end(ended(only_start(*router), attempt_result::refused), now);
    router->on_attempt_end(ended(only_start(*router), attempt_result::refused), now);
    LONGS_EQUAL(0, router->take_actions().size());
    router->on_tick(now + milliseconds(250));
    only_start(*router);
}

// Two of three engines are gone, and this router does not know it yet. Nothing ran on them, so
// requests are moved on however often that happens, and are not refused as overloaded.
TEST(dispatcher_test, unreachable_endpoints_do_not_use_up_a_requests_retries)
{
    const auto router = this->make();
    auto patient = this->request(1);
    patient.deadline = now + std::chrono::hours(1);
    router->on_arrival(patient, now);
    int tries = 0;
    for (int step = 0; step < 400 && tries < 6; ++step) {
        for (const auto& start : pick<start_attempt>(router->take_actions())) {
            ++tries;
            router->on_attempt_end(ended(start, attempt_result::unreachable), now);
        }
        now += milliseconds(250);
        router->on_tick(now);
    }
    LONGS_EQUAL(6, tries);
    LONGS_EQUAL(1, router->in_flight());
}

// The connection goes silent in the middle of the answer while new connections work. The run is
// resumed over a new one after the last token received: a second run would give the caller a mix of
// two answers.
TEST(dispatcher_test, a_silent_stream_is_resumed_at_its_offset_on_the_same_endpoint)
{
    const auto router = this->make();
    auto streamed = this->request(1);
    streamed.streamed = true;
    router->on_arrival(streamed, now);
    const auto start = only_start(*router);
    auto end = ended(start, attempt_result::went_silent);
    end.tokens = 7;
    end.answer_began = true;
    router->on_attempt_end(end, now);
    const auto resumes = pick<resume_attempt>(router->take_actions());
    LONGS_EQUAL(1, resumes.size());
    CHECK_EQUAL(start.address, resumes[0].address);
    LONGS_EQUAL(7, resumes[0].offset);
}

// An endpoint answers in time, but the router is busy and has not read the answer when the clock
// reaches the deadline. The caller must not be told that the deadline passed.
TEST(dispatcher_test, a_run_with_a_possibly_unread_answer_is_not_past_its_deadline)
{
    const auto router = this->make();
    auto asked = this->request(1);
    asked.deadline = now + seconds(2);
    router->on_arrival(asked, now);
    static_cast<void>(router->take_actions());
    router->on_tick(now + seconds(3), now + seconds(1));
    CHECK_TRUE(router->take_actions().empty());
    router->on_tick(now + seconds(4), now + seconds(2));
    CHECK_EQUAL(1, pick<cancel_attempt>(router->take_actions()).size());
}

// The endpoint crashes in the middle of the answer. The caller holds part of one run, which the
// rest of another run cannot complete.
TEST(dispatcher_test, a_stream_that_has_begun_is_not_continued_by_another_run)
{
    const auto router = this->make();
    auto streamed = this->request(1);
    streamed.streamed = true;
    router->on_arrival(streamed, now);
    auto end = ended(only_start(*router), attempt_result::failed);
    end.tokens = 7;
    end.run_lost = true;
    router->on_attempt_end(end, now);
    CHECK_TRUE(only_failure(*router).code == failure_code::answer_broken);
}

// A late event of the first attempt arrives while the second one runs. If it ended the second one,
// the caller would get an incomplete answer.
TEST(dispatcher_test, a_late_end_of_an_earlier_attempt_is_ignored)
{
    const auto router = this->make();
    router->on_arrival(this->request(1), now);
    const auto first = only_start(*router);
    router->on_attempt_end(ended(first, attempt_result::refused), now);
    only_start(*router);
    router->on_attempt_end(ended(first, attempt_result::finished), now);
    LONGS_EQUAL(0, router->take_actions().size());
    LONGS_EQUAL(1, router->in_flight());
}

TEST(dispatcher_test,
     without_a_confirmed_configuration_nothing_starts_and_queued_requests_are_given_up)
{
    const auto router = this->make();
    router->on_config_confirmed(now, now);
    router->on_arrival(this->request(1), now);
    LONGS_EQUAL(0, pick<start_attempt>(router->take_actions()).size());
    router->on_tick(now + milliseconds(1100));
    const auto why = only_failure(*router);
    CHECK_TRUE(why.code == failure_code::config_unconfirmed);
    CHECK_TRUE(why.run == run_state::not_run);
}

// The process is paused for longer than its configuration is valid, and requests wait in its
// sockets. When it resumes, an arrival is processed before any event from other threads, so the
// expiry time alone must prevent starts.
TEST(dispatcher_test, a_configuration_that_expired_during_a_pause_starts_nothing)
{
    const auto router = this->make();
    router->on_config_confirmed(now + seconds(3), now);
    now += seconds(4);
    router->on_arrival(this->request(1), now);
    LONGS_EQUAL(0, pick<start_attempt>(router->take_actions()).size());
}

TEST(dispatcher_test, a_leaving_endpoint_gets_no_more_requests_and_is_announced)
{
    current.hosts = 2;
    const auto router = this->make();
    router->on_arrival(this->request(1), now);
    const auto first = only_start(*router);
    auto end = ended(first, attempt_result::refused);
    end.endpoint_leaving = true;
    router->on_attempt_end(end, now);
    const auto actions = router->take_actions();
    LONGS_EQUAL(1, pick<announce_leaving>(actions).size());
    router->on_hosts(make_hosts(current), now); // the list is stale and still shows it as live
    for (ticket_number ticket = 2; ticket < 6; ++ticket) {
        router->on_arrival(this->request(ticket), now);
    }
    for (const auto& start : pick<start_attempt>(router->take_actions())) {
        CHECK_TRUE(start.address != first.address);
    }
}

// An endpoint crashes with a request and restarts at the same address before that request's
// connection breaks. The new process has not lost the request and may get it at once. With a single
// endpoint the request would otherwise wait two seconds for nothing.
TEST(dispatcher_test, a_request_lost_by_an_earlier_incarnation_may_go_to_the_new_one)
{
    current.hosts = 1;
    const auto router = this->make();
    router->on_arrival(this->request(1), now);
    const auto first = only_start(*router);
    router->on_hosts(this->restarted(2), now);
    auto end = ended(first, attempt_result::failed);
    end.run_lost = true;
    router->on_attempt_end(end, now);
    CHECK_EQUAL(first.address, only_start(*router).address);
}

// A request is queued because the only endpoint is full. It is sent as soon as another one joins.
TEST(dispatcher_test, a_queued_request_is_sent_to_a_new_host)
{
    current.hosts = 2;
    const auto hosts = make_hosts(current);
    current.hosts = 1;
    current.slots = 1;
    const auto router = this->make();
    router->on_arrival(this->request(1), now);
    CHECK_EQUAL(hosts[0].address, only_start(*router).address);
    router->on_arrival(this->request(2), now);
    LONGS_EQUAL(0, pick<start_attempt>(router->take_actions()).size());
    CHECK_TRUE(router->on_host_changes({{hosts[1]}, {}}, now).empty());
    CHECK_EQUAL(hosts[1].address, only_start(*router).address);
}

TEST(dispatcher_test, removed_and_replaced_hosts_end_their_incarnations_and_others_stay)
{
    current.hosts = 3;
    const auto hosts = this->restarted(7);
    const auto router = this->make();
    const auto ended = router->on_host_changes({{hosts[0]}, {hosts[1].address}}, now);
    LONGS_EQUAL(2, ended.size());
    CHECK_EQUAL(hosts[0].address, ended[0].address);
    CHECK_EQUAL(7U, *ended[0].next);
    CHECK_EQUAL(hosts[1].address, ended[1].address);
    CHECK_FALSE(ended[1].next.has_value());
    LONGS_EQUAL(4,
                router->endpoints().addresses().size()); // two engines and the two plain services
    for (ticket_number ticket = 1; ticket < 9; ++ticket) {
        router->on_arrival(this->request(ticket), now);
    }
    const auto starts = pick<start_attempt>(router->take_actions());
    LONGS_EQUAL(8, starts.size());
    for (const auto& start : starts) {
        CHECK_TRUE(start.address != hosts[1].address);
    }
}

// A leaving endpoint's refusal arrives late, when a new process already has its address.
TEST(dispatcher_test, a_late_leaving_refusal_of_an_earlier_incarnation_does_not_affect_the_new_one)
{
    current.hosts = 1;
    const auto router = this->make();
    router->on_arrival(this->request(1), now);
    const auto first = only_start(*router);
    router->on_hosts(this->restarted(2), now);
    auto end = ended(first, attempt_result::refused);
    end.endpoint_leaving = true;
    router->on_attempt_end(end, now);
    const auto actions = router->take_actions();
    LONGS_EQUAL(1, pick<start_attempt>(actions).size());
    CHECK_EQUAL(1U, pick<announce_leaving>(actions).at(0).incarnation);
}

// An endpoint reports that it is draining, stops, and restarts before that report is read. Applied
// to the new process, the report would exclude it until its end, since leaving is never revoked.
TEST(dispatcher_test, a_draining_report_of_an_earlier_incarnation_does_not_affect_the_new_one)
{
    current.hosts = 1;
    const auto router = this->make();
    router->on_hosts(this->restarted(2), now);
    const auto address = this->restarted(2).at(0).address;
    CHECK_FALSE(router->on_load_report(address, {16, 0, 16, {}, true, 1}, now));
    router->on_arrival(this->request(1), now);
    CHECK_EQUAL(address, only_start(*router).address);
    CHECK_TRUE(router->on_load_report(address, {16, 0, 16, {}, true, 2}, now));
    router->on_arrival(this->request(2), now);
    CHECK_TRUE(pick<start_attempt>(router->take_actions()).empty());
}

// Subtracting it would hide a request that the new process holds, and that process would be
// overloaded.
TEST(dispatcher_test,
     the_end_of_a_request_at_an_earlier_incarnation_is_not_subtracted_from_the_new_one)
{
    current.hosts = 1;
    const auto router = this->make();
    router->on_arrival(this->request(1), now);
    router->on_hosts(this->restarted(2), now);
    router->on_arrival(this->request(2), now);
    router->on_caller_gone(1, now);
    const auto held = router->endpoints().own_loads();
    LONGS_EQUAL(1, held.size());
    CHECK_EQUAL(1U, held[0].requests);
    CHECK_EQUAL(2U, held[0].incarnation);
}

// A request in flight at a crash becomes a suspect. Requests sent to the new process had no part in
// the crash; as suspects, one more accidental loss would have them refused everywhere.
TEST(dispatcher_test,
     requests_at_the_new_incarnation_are_not_suspected_for_the_crash_of_the_earlier_one)
{
    current.hosts = 1;
    const auto router = this->make();
    router->on_arrival(this->request(1), now);
    const auto first = only_start(*router);
    router->on_hosts(this->restarted(2), now);
    router->on_arrival(this->request(2), now);
    static_cast<void>(only_start(*router));
    auto end = ended(first, attempt_result::failed);
    end.run_lost = true;
    router->on_attempt_end(end, now);
    const auto announced = pick<announce_suspect_status>(router->take_actions());
    LONGS_EQUAL(1, announced.size());
    CHECK_EQUAL(this->request(1).fingerprint, announced[0].fingerprint);
}

// One request crashes every endpoint that runs it, and its caller keeps resending it. It may crash
// one endpoint while unknown and one while suspect; after that it is refused wherever it comes
// from. The other requests of the first batch are retried apart from the other suspects and
// complete.
TEST(dispatcher_test, a_crashing_request_crashes_two_endpoints_and_innocent_requests_complete)
{
    current.hosts = 8;
    current.slots = 4;
    const auto router = this->make();
    constexpr std::uint64_t crashing_fingerprint = 13;
    std::map<ticket_number, start_attempt> running;
    std::set<std::string> crashed;
    std::set<ticket_number> completed;
    std::set<ticket_number> crashing_tickets;
    std::size_t refused_crashing = 0;
    const auto process_actions = [&] {
        for (const auto& one : router->take_actions()) {
            if (const auto* start = std::get_if<start_attempt>(&one)) {
                running[start->ticket] = *start;
            } else if (const auto* done = std::get_if<complete_request>(&one)) {
                completed.insert(done->ticket);
            } else if (const auto* given_up = std::get_if<give_up_request>(&one)) {
                refused_crashing += crashing_tickets.count(given_up->ticket);
            }
        }
    };
    const auto crash_endpoint_of_crashing_request = [&] {
        std::string address;
        for (const auto& [ticket, start] : running) {
            address = crashing_tickets.count(ticket) > 0 ? start.address : address;
        }
        if (address.empty()) {
            return;
        }
        crashed.insert(address);
        std::vector<start_attempt> lost;
        for (auto next = running.begin(); next != running.end();) {
            const bool there = next->second.address == address;
            if (there) {
                lost.push_back(next->second);
            }
            next = there ? running.erase(next) : std::next(next);
        }
        for (const auto& one : lost) {
            auto end = ended(one, attempt_result::failed);
            end.run_lost = true;
            router->on_attempt_end(end, now);
        }
        process_actions();
    };
    for (ticket_number ticket = 1; ticket <= 20; ++ticket) {
        auto made = this->request(ticket);
        if (ticket == 10) {
            made.fingerprint = crashing_fingerprint;
            crashing_tickets.insert(ticket);
        }
        router->on_arrival(made, now);
    }
    process_actions();
    for (ticket_number resend = 101; resend < 110; ++resend) {
        crash_endpoint_of_crashing_request();
        crash_endpoint_of_crashing_request();
        auto made = this->request(resend);
        made.fingerprint = crashing_fingerprint;
        crashing_tickets.insert(resend);
        router->on_arrival(made, now);
        process_actions();
    }
    while (!running.empty()) {
        const auto start = running.begin()->second;
        running.erase(running.begin());
        router->on_attempt_end(ended(start, attempt_result::finished), now);
        process_actions();
    }
    LONGS_EQUAL(2, crashed.size());
    LONGS_EQUAL(19, completed.size());
    LONGS_EQUAL(10, refused_crashing);
}

// Two routers had requests on the engine that crashed. Each retries its suspects on endpoints that
// the other does not use: otherwise a second crash would hit suspects of both and quarantine an
// innocent one.
TEST(dispatcher_test, suspects_of_two_routers_are_tried_on_different_endpoints)
{
    current.hosts = 6;
    std::set<std::string> used[2];
    for (std::size_t rank = 0; rank < 2; ++rank) {
        const auto router = this->make();
        router->on_fleet(rank, 2);
        for (ticket_number ticket = 1; ticket <= 3; ++ticket) {
            router->on_peer_suspect_status(1000 + ticket, suspect_table::suspect_status::suspect,
                                           now);
            router->on_arrival(this->request(ticket), now);
        }
        for (const auto& start : pick<start_attempt>(router->take_actions())) {
            CHECK_TRUE(used[rank].insert(start.address).second);
        }
        CHECK_FALSE(used[rank].empty());
    }
    for (const auto& address : used[0]) {
        LONGS_EQUAL(0, used[1].count(address));
    }
}

// Random schedules of arrivals, ends, withdrawals and expired configurations: each ticket gets
// exactly one final action, no start uses a withdrawn version, and no non-idempotent request starts
// again after it may have run.
TEST(dispatcher_test, dispatch_invariants_hold_under_random_schedules)
{
    const bool holds = rc::check("rules of dispatch", [this] {
        test_setup here;
        here.slots = 2;
        instant clock{seconds(100)};
        dispatcher router{dispatcher_settings{}};
        router.on_configuration(make_configuration(here), clock);
        router.on_hosts(make_hosts(here), clock);
        router.on_config_confirmed(clock + std::chrono::hours(1), clock);
        bool in_touch = true;
        std::map<ticket_number, start_attempt> running;
        std::map<ticket_number, int> finals;
        std::set<ticket_number> may_have_run;
        std::set<ticket_number> non_idempotent;
        ticket_number next = 1;
        const auto process_actions = [&] {
            for (const auto& one : router.take_actions()) {
                if (const auto* start = std::get_if<start_attempt>(&one)) {
                    const bool withdrawn =
                        !here.withdrawn.empty() && start->version == here.withdrawn[0];
                    RC_ASSERT(!withdrawn);
                    RC_ASSERT(in_touch);
                    RC_ASSERT(non_idempotent.count(start->ticket) == 0 ||
                              may_have_run.count(start->ticket) == 0);
                    running[start->ticket] = *start;
                } else if (const auto* done = std::get_if<complete_request>(&one)) {
                    RC_ASSERT(++finals[done->ticket] == 1);
                } else if (const auto* given_up = std::get_if<give_up_request>(&one)) {
                    RC_ASSERT(++finals[given_up->ticket] == 1);
                    RC_ASSERT(given_up->why.run != run_state::not_run ||
                              may_have_run.count(given_up->ticket) == 0);
                } else if (const auto* cancelled = std::get_if<cancel_attempt>(&one)) {
                    may_have_run.insert(cancelled->ticket);
                    running.erase(cancelled->ticket);
                }
            }
        };
        const auto steps = *rc::gen::container<std::vector<int>>(120, rc::gen::inRange(0, 12));
        for (const int step : steps) {
            clock += milliseconds(100);
            if (step < 5) {
                auto made = step == 0 ? this->booking(next) : this->request(next);
                made.asked = step == 1 ? "adjudicator" : made.asked;
                made.deadline = clock + seconds(step == 2 ? 1 : 30);
                if (!made.idempotent) {
                    non_idempotent.insert(next);
                }
                ++next;
                router.on_arrival(made, clock);
            } else if (step < 9 && !running.empty()) {
                const auto start = running.begin()->second;
                running.erase(running.begin());
                const attempt_result results[] = {attempt_result::finished, attempt_result::refused,
                                                  attempt_result::failed,
                                                  attempt_result::unreachable};
                auto end = ended(start, results[step - 5]);
                end.run_lost = end.result == attempt_result::failed;
                if (end.run_lost) {
                    may_have_run.insert(start.ticket);
                }
                router.on_attempt_end(end, clock);
            } else if (step == 9) {
                here.withdrawn = here.withdrawn.empty() ? std::vector<std::string>{"adjudicator-1"}
                                                        : std::vector<std::string>{};
                ++here.revision;
                router.on_configuration(make_configuration(here), clock);
            } else if (step == 10) {
                in_touch = !in_touch;
                router.on_config_confirmed(in_touch ? clock + std::chrono::hours(1) : clock, clock);
            }
            router.on_tick(clock);
            process_actions();
        }
        in_touch = true;
        router.on_config_confirmed(clock + std::chrono::hours(1), clock);
        router.on_tick(clock + std::chrono::minutes(5));
        process_actions();
        for (ticket_number ticket = 1; ticket < next; ++ticket) {
            RC_ASSERT(finals[ticket] == 1);
        }
    });
    CHECK_TRUE(holds);
}
