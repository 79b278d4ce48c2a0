#include "pearhaven/coordination/peer_exchange.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::coordination;
using pearhaven::decision::endpoint_load;
using pearhaven::decision::instant;
using pearhaven::decision::load_fanout;
using pearhaven::decision::load_fanout_when_filling;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr instant start{seconds(100)};
const std::vector<endpoint_load> some_load = {{"e1", 2, 80.0}};

peer_exchange make_exchange(const std::string& self)
{
    peer_exchange_settings settings;
    settings.self = self;
    settings.zone = "osu";
    return peer_exchange(settings);
}

std::string name_of(int number)
{
    return "edge-" + std::to_string(100 + number);
}

void set_peers(peer_exchange& exchange, int count, const std::string& zone = "osu")
{
    for (int number = 0; number < count; ++number) {
        exchange.set_peer(name_of(number), {"10.0.0." + std::to_string(number), 7340, zone});
    }
}

} // namespace

TEST_GROUP(peer_exchange){};

TEST(peer_exchange, loads_are_reported_on_change_and_repeated_while_not_empty)
{
    auto exchange = make_exchange("edge-100");
    set_peers(exchange, 3);
    CHECK_EQUAL(2U, exchange.on_tick(some_load, {true, 5}, start).size());
    CHECK_EQUAL(0U, exchange.on_tick(some_load, {true, 5}, start + milliseconds(100)).size());
    CHECK_EQUAL(2U,
                exchange.on_tick({{"e1", 3, 90.0}}, {true, 5}, start + milliseconds(100)).size());
    CHECK_EQUAL(2U,
                exchange.on_tick({{"e1", 3, 90.0}}, {true, 5}, start + milliseconds(500)).size());
    CHECK_EQUAL(2U, exchange.on_tick({}, {true, 5}, start + milliseconds(600)).size());
    CHECK_EQUAL(0U, exchange.on_tick({}, {true, 5}, start + seconds(9)).size());
}

TEST(peer_exchange, loads_are_reported_at_most_once_a_period)
{
    auto exchange = make_exchange("edge-100");
    set_peers(exchange, 2);
    std::uint32_t requests = 1;
    std::size_t reports = 0;
    for (auto now = start; now < start + seconds(1); now += milliseconds(10)) {
        reports += exchange.on_tick({{"e1", requests++, 0.0}}, {true, 5}, now).size();
    }
    CHECK_EQUAL(10U, reports);
}

// In a fleet of 740 routers not every router can report to all others. Each must report to a
// bounded number, and receive reports from the same number.
TEST(peer_exchange, in_a_large_zone_each_router_sends_and_receives_a_bounded_number_of_reports)
{
    constexpr int count = 67;
    std::map<std::string, int> report_counts;
    for (int number = 0; number < count; ++number) {
        auto exchange = make_exchange(name_of(number));
        set_peers(exchange, count);
        for (const auto& send : exchange.on_tick(some_load, {true, 5}, start)) {
            ++report_counts[send.to.host];
        }
    }
    CHECK_EQUAL(static_cast<std::size_t>(count), report_counts.size());
    for (const auto& [host, received] : report_counts) {
        CHECK_EQUAL(16, received);
    }
}

// Guards against routers that fill one endpoint together and receive too few of each other's
// reports to stop in time.
TEST(peer_exchange, more_peers_receive_the_load_of_an_endpoint_being_filled)
{
    constexpr std::size_t others = load_fanout_when_filling - load_fanout;
    auto exchange = make_exchange("edge-100");
    set_peers(exchange, 200);
    const std::vector<endpoint_load> filling = {{"e2", 1, 60.0}};
    const std::vector<endpoint_load> all = {{"e1", 2, 90.0}, {"e2", 1, 60.0}};
    std::map<std::string, std::vector<endpoint_load>> reports;
    for (const auto& send : exchange.on_tick(all, {true, 5}, start, filling)) {
        reports[send.to.host] = std::get<load_push>(send.message).loads;
    }
    CHECK_EQUAL(load_fanout_when_filling, reports.size());
    const auto of_filling = [&filling](const auto& one) { return one.second == filling; };
    LONGS_EQUAL(others, std::count_if(reports.begin(), reports.end(), of_filling));
    const auto next = start + milliseconds(100);
    const std::vector<endpoint_load> other = {{"e1", 3, 99.0}, {"e2", 1, 60.0}};
    CHECK_EQUAL(load_fanout, exchange.on_tick(other, {true, 5}, next, filling).size());
    const auto last = next + milliseconds(100);
    CHECK_EQUAL(others, exchange.on_tick(other, {true, 5}, last, {}).size());
    CHECK_EQUAL(0U, exchange.on_tick(other, {true, 5}, last, {}).size());
}

TEST(peer_exchange, peers_of_the_same_zone_receive_reports_first)
{
    auto exchange = make_exchange("edge-100");
    set_peers(exchange, 20, "tema");
    for (int number = 0; number < 17; ++number) {
        exchange.set_peer("near-" + std::to_string(number), {"10.1.0.1", 7340, "osu"});
    }
    for (const auto& send : exchange.on_tick(some_load, {true, 5}, start)) {
        CHECK_EQUAL(std::string("osu"), send.to.zone);
    }
}

// The store does not answer this router. It must pull from one peer after the other, since the
// store may also refuse the first peer.
TEST(peer_exchange, without_the_store_peers_are_pulled_from_in_turn)
{
    auto exchange = make_exchange("edge-100");
    set_peers(exchange, 4);
    std::set<std::string> asked;
    for (int round = 0; round < 3; ++round) {
        const auto sends = exchange.on_tick({}, {false, 17}, start + milliseconds(300) * round);
        CHECK_EQUAL(1U, sends.size());
        const auto* pull = std::get_if<mirror_pull>(&sends[0].message);
        CHECK_TRUE(pull != nullptr);
        CHECK_EQUAL(17U, pull->after);
        asked.insert(sends[0].to.host);
    }
    CHECK_EQUAL(3U, asked.size());
    CHECK_EQUAL(0U, exchange.on_tick({}, {true, 17}, start + seconds(2)).size());
}

TEST(peer_exchange, only_the_answer_to_the_open_pull_is_accepted_and_only_once)
{
    auto exchange = make_exchange("edge-100");
    set_peers(exchange, 2);
    const auto sends = exchange.on_tick({}, {false, 17}, start);
    mirror_update update;
    update.nonce = std::get<mirror_pull>(sends[0].message).nonce + 1;
    CHECK_FALSE(exchange.accepts_answer(update));
    --update.nonce;
    CHECK_TRUE(exchange.accepts_answer(update));
    CHECK_FALSE(exchange.accepts_answer(update));
}

// Callers are refused on a route that was added many seconds ago, at a router that the store
// refuses. The large configuration arrives from a peer after the next pull was sent; its answer was
// discarded as outdated, and the next peer was asked for all of it again.
TEST(peer_exchange, a_large_value_may_arrive_after_the_next_pull)
{
    auto exchange = make_exchange("edge-100");
    set_peers(exchange, 4);
    std::vector<mirror_pull> large;
    std::vector<mirror_pull> small;
    for (int round = 0; round < 4; ++round) {
        const auto now = start + milliseconds(300) * round;
        for (const auto& send : exchange.on_tick({}, {false, 17, true}, now)) {
            const auto& pull = std::get<mirror_pull>(send.message);
            (pull.large ? large : small).push_back(pull);
        }
    }
    CHECK_EQUAL(4U, small.size());
    CHECK_EQUAL(1U, large.size());
    mirror_update update;
    update.nonce = large[0].nonce;
    CHECK_TRUE(exchange.accepts_answer(update));
    CHECK_FALSE(exchange.accepts_answer(update));
    update.nonce = small[3].nonce;
    CHECK_TRUE(exchange.accepts_answer(update));
}

// As above, with saturated links of the peers: the value takes longer than the pull period. Each
// peer in turn sends all of it, and each time the next pull has been sent when it arrives.
TEST(peer_exchange, a_large_value_that_takes_longer_than_the_period_is_accepted)
{
    auto exchange = make_exchange("edge-100");
    set_peers(exchange, 4);
    std::vector<mirror_pull> large;
    for (auto now = start; large.size() < 2; now += milliseconds(300)) {
        for (const auto& send : exchange.on_tick({}, {false, 17, true}, now)) {
            const auto& pull = std::get<mirror_pull>(send.message);
            if (pull.large) {
                large.push_back(pull);
            }
        }
    }
    mirror_update update;
    update.nonce = large[0].nonce;
    CHECK_TRUE(exchange.accepts_answer(update));
}

TEST(peer_exchange, a_router_without_peers_sends_nothing)
{
    auto exchange = make_exchange("edge-100");
    exchange.set_peer("edge-100", {"10.0.0.1", 7340, "osu"});
    CHECK_EQUAL(0U, exchange.size());
    CHECK_EQUAL(0U, exchange.on_tick(some_load, {false, 5}, start).size());
}

// Guards against crashes of one request that are reported to different routers and never add up.
// Guards against a router that judges by a part of the reports.
TEST(peer_exchange, a_router_to_which_all_others_report_knows_it)
{
    constexpr std::size_t routers = 20;
    for (std::uint64_t subject = 1; subject <= 50; ++subject) {
        std::map<std::string, std::size_t> reports;
        std::set<std::string> recipients;
        for (std::size_t self = 0; self < routers; ++self) {
            peer_exchange_settings settings;
            settings.self = std::to_string(self);
            peer_exchange exchange(settings);
            for (std::size_t peer = 0; peer < routers; ++peer) {
                exchange.set_peer(std::to_string(peer), {std::to_string(peer), 1, "osu"});
            }
            for (const auto& recipient : exchange.run_report_recipients(subject)) {
                ++reports[recipient.host];
            }
            if (exchange.is_run_report_recipient(subject)) {
                recipients.insert(settings.self);
            }
        }
        CHECK_EQUAL(3U, recipients.size());
        for (const auto& name : recipients) {
            CHECK_EQUAL(routers - 1, reports[name]);
        }
    }
}

TEST(peer_exchange, lost_runs_of_a_request_are_reported_to_the_same_peers_by_all_routers)
{
    constexpr int routers = 90;
    std::map<std::string, int> load;
    for (std::uint64_t fingerprint = 1; fingerprint <= 300; ++fingerprint) {
        std::map<std::string, int> heard;
        for (int router = 0; router < routers; router += 10) {
            auto exchange = make_exchange(name_of(router));
            set_peers(exchange, routers);
            const auto recipients = exchange.run_report_recipients(fingerprint);
            CHECK_EQUAL(3U, recipients.size());
            for (const auto& peer : recipients) {
                ++heard[peer.host];
            }
        }
        const auto by_all = std::count_if(heard.begin(), heard.end(),
                                          [](const auto& one) { return one.second >= 8; });
        CHECK_TRUE(by_all >= 2);
        for (const auto& [host, count] : heard) {
            ++load[host];
        }
    }
    for (const auto& [host, requests] : load) {
        CHECK_TEXT(requests < 40, (host + ": " + std::to_string(requests)).c_str());
    }
}
