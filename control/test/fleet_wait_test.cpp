#include "fakes.hpp"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::control;
using namespace pearhaven::control::test;

namespace {

router_status at_revision(std::uint64_t revision)
{
    router_status status;
    status.revision = revision;
    return status;
}

router_status unanswered()
{
    router_status status;
    status.problem = "no answer";
    return status;
}

} // namespace

TEST_GROUP(fleet_wait_test)
{
    fake_store store;
    fake_operator ama{store, "ama"};

    void setup() override
    {
        register_router(this->store, "i1");
        register_router(this->store, "i2");
        this->ama.settings.wait = true;
        this->ama.settings.timeout = std::chrono::seconds{5};
    }

    exit_code apply()
    {
        return this->ama.apply("kind: team\nname: a\n");
    }
};

TEST(fleet_wait_test, the_wait_ends_when_every_router_has_applied_the_change)
{
    ama.routers.statuses = {{"i1", at_revision(1)}, {"i2", at_revision(0)}};
    ama.clock.on_sleep = [this] { this->ama.routers.statuses["i2"] = at_revision(1); };
    CHECK_TRUE(apply() == exit_code::ok);
    CHECK_TRUE(ama.results().find("in force on every live router, of which there are 2") !=
               std::string::npos);
}

TEST(fleet_wait_test, lagging_routers_are_listed_after_the_timeout)
{
    ama.routers.statuses = {{"i1", unanswered()}, {"i2", at_revision(0)}};
    CHECK_TRUE(apply() == exit_code::not_applied_everywhere);
    CHECK_EQUAL(std::string("not known to be in force everywhere after 5000 ms:\n"
                            "  router i1 (10.0.0.1:2, osu): no answer\n"
                            "  router i2 (10.0.0.1:2, osu): at revision 0 still\n"),
                ama.diagnostics());
    CHECK_TRUE(ama.clock.time >= pearhaven::decision::instant(std::chrono::seconds{5}));
}

TEST(fleet_wait_test, a_router_whose_record_expires_is_no_longer_waited_for)
{
    // A router crashes during the wait: it never answers, and its record is removed when its lease
    // expires. The wait must succeed and not fail because of a router that no longer exists.
    ama.routers.statuses = {{"i1", at_revision(1)}, {"i2", unanswered()}};
    ama.clock.on_sleep = [this] { this->store.entries.erase("routers/i2"); };
    CHECK_TRUE(apply() == exit_code::ok);
    CHECK_TRUE(ama.results().find("of which there are 1") != std::string::npos);
}

TEST(fleet_wait_test, a_router_that_registers_during_the_wait_is_waited_for)
{
    // A replacement starts while the operator waits for another router. It must have applied the
    // change too before the change is reported as in force everywhere.
    ama.routers.statuses = {{"i1", at_revision(1)}, {"i2", at_revision(0)}, {"i3", at_revision(0)}};
    ama.clock.on_sleep = [this] {
        register_router(this->store, "i3");
        this->ama.routers.statuses["i2"] = at_revision(1);
    };
    CHECK_TRUE(apply() == exit_code::not_applied_everywhere);
    CHECK_TRUE(ama.diagnostics().find("router i3") != std::string::npos);
}

TEST(fleet_wait_test, a_confirmed_router_need_not_answer_again)
{
    ama.routers.statuses = {{"i1", at_revision(1)}, {"i2", at_revision(0)}};
    ama.clock.on_sleep = [this] {
        this->ama.routers.statuses = {{"i1", unanswered()}, {"i2", at_revision(1)}};
    };
    CHECK_TRUE(apply() == exit_code::ok);
}

TEST(fleet_wait_test, few_confirmed_routers_are_queried_again)
{
    for (int number = 3; number < 30; ++number) {
        const auto id = "i" + std::to_string(number);
        register_router(store, id);
        ama.routers.statuses[id] = at_revision(1);
    }
    ama.routers.statuses["i1"] = at_revision(1);
    ama.routers.statuses["i2"] = at_revision(0);
    ama.clock.on_sleep = [this] { this->ama.routers.statuses["i2"] = at_revision(1); };
    CHECK_TRUE(apply() == exit_code::ok);
    CHECK_EQUAL(29U + 3U, ama.routers.queried.size());
}

TEST(fleet_wait_test, a_router_without_a_record_is_waited_for_while_others_consider_it_live)
{
    // A store outage outlasts the leases, so that all records are removed, and only i1 and i2 have
    // registered again when the operator makes a change. i3 still serves with the old
    // configuration: the change must not be reported as in force everywhere.
    auto status_listing_i3 = at_revision(1);
    status_listing_i3.members.resize(1);
    status_listing_i3.members[0].id = "i3";
    status_listing_i3.members[0].host = "10.0.0.3";
    ama.routers.statuses = {
        {"i1", status_listing_i3}, {"i2", at_revision(1)}, {"i3", at_revision(0)}};
    CHECK_TRUE(apply() == exit_code::not_applied_everywhere);
    CHECK_TRUE(ama.diagnostics().find("router i3 (10.0.0.3") != std::string::npos);
    ama.clock.on_sleep = [this] { this->ama.routers.statuses["i1"] = at_revision(1); };
    CHECK_TRUE(apply() == exit_code::ok);
}

TEST(fleet_wait_test, without_any_record_a_change_is_not_confirmed)
{
    // After a store outage that outlasts the leases, no router has registered again yet. With no
    // router to query, the change must not be reported as in force.
    store.entries.clear();
    CHECK_TRUE(apply() == exit_code::not_applied_everywhere);
    CHECK_TRUE(ama.diagnostics().find("no router has a record") != std::string::npos);
}

TEST(fleet_wait_test, an_unchanged_configuration_is_waited_for)
{
    // The first command timed out, or its outcome was unknown. Running it again must report whether
    // the accepted change is in force by now.
    ama.routers.statuses = {{"i1", at_revision(1)}, {"i2", at_revision(0)}};
    CHECK_TRUE(apply() == exit_code::not_applied_everywhere);
    CHECK_TRUE(apply() == exit_code::not_applied_everywhere);
    ama.routers.statuses["i2"] = at_revision(1);
    CHECK_TRUE(apply() == exit_code::ok);
    CHECK_EQUAL(1, store.swaps);
}

TEST(fleet_wait_test, a_store_outage_after_the_change_leaves_it_unconfirmed)
{
    ama.routers.statuses = {{"i1", at_revision(0)}, {"i2", at_revision(0)}};
    ama.clock.on_sleep = [this] { this->store.down = true; };
    CHECK_TRUE(apply() == exit_code::not_applied_everywhere);
    CHECK_TRUE(ama.diagnostics().find("the routers cannot be listed") != std::string::npos);
}

TEST(fleet_wait_test, without_the_operator_key_nothing_is_changed)
{
    ama.settings.operator_key.clear();
    CHECK_TRUE(apply() == exit_code::usage);
    CHECK_EQUAL(0, store.swaps);
}

TEST(fleet_wait_test, status_shows_routers_that_do_not_answer_or_have_no_record)
{
    auto status_listing_i3 = at_revision(0);
    status_listing_i3.members.resize(1);
    status_listing_i3.members[0].id = "i3";
    ama.routers.statuses = {
        {"i1", status_listing_i3}, {"i2", unanswered()}, {"i3", at_revision(0)}};
    ama.settings.format = output_format::json;
    CHECK_TRUE(ama.run({"status"}) == exit_code::failed);
    const auto routers = nlohmann::json::parse(ama.results())["routers"];
    CHECK_EQUAL(0U, routers[0]["revision"].get<std::uint64_t>());
    CHECK_EQUAL(std::string("no answer"), routers[1]["problem"].get<std::string>());
    CHECK_EQUAL(std::string("i3"), routers[2]["incarnation"].get<std::string>());
    CHECK_FALSE(routers[2]["recorded"].get<bool>());
}
