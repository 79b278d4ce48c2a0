#include "test_sockets.hpp"
#include "weight_loader.hpp"

#include <atomic>
#include <future>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::standins;

TEST_GROUP(weight_loader)
{
    std::atomic<int> calls{0};
    std::atomic<int> refusals{0}; // number of initial calls that the store refuses
    std::optional<web_server> store;
    std::string address;

    void setup() override
    {
        web_settings settings;
        settings.threads = 2;
        this->store.emplace(settings);
        this->store->route("POST", "/v1/load", [this](web_exchange& exchange) {
            const bool refused = this->calls++ < this->refusals;
            exchange.answer(refused ? 429 : 200, nlohmann::json::object());
        });
        this->address = this->store->start();
    }

    void teardown() override
    {
        stop_server(this->store, this->address);
    }

    std::string load(const std::string& version, std::uint64_t expected_failures)
    {
        std::promise<std::string> loaded;
        weight_loader loader(this->address,
                             [&](const std::string& read) { loaded.set_value(read); });
        loader.start_read(version);
        auto read = loaded.get_future().get();
        LONGS_EQUAL(expected_failures, loader.failures());
        return read;
    }
};

TEST(weight_loader, notifies_when_the_weights_were_read)
{
    CHECK_EQUAL(std::string("v"), load("v", 0));
    LONGS_EQUAL(1, calls);
}

TEST(weight_loader, retries_when_the_store_refuses)
{
    refusals = 1;
    CHECK_EQUAL(std::string("v"), load("v", 1));
    LONGS_EQUAL(2, calls);
}
