#include "pearhaven/adapters/platform.hpp"
#include "raw_server.hpp"

#include <future>
#include <mutex>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::adapters;
using namespace pearhaven::tests;
using namespace pearhaven::coordination;
using std::chrono::milliseconds;

namespace {

SimpleString StringFrom(kv_outcome outcome)
{
    constexpr const char* names[] = {"ok", "conflict", "not_found", "unavailable", "unknown"};
    return SimpleString(names[static_cast<int>(outcome)]);
}

// Answers every request with the same response and records the last request.
class fixed_server {
public:
    fixed_server(int status, std::string body)
        : server([this, status, text = std::move(body)](raw_connection& connection, int) {
              for (;;) {
                  const std::string request = connection.read_request();
                  if (request.empty()) {
                      return;
                  }
                  {
                      const std::lock_guard guard(this->mutex);
                      this->last = request;
                  }
                  connection.answer(status, text);
              }
          })
    {}

    [[nodiscard]] std::string url() const { return this->server.url(); }

    std::string last_request()
    {
        const std::lock_guard guard(this->mutex);
        return this->last;
    }

private:
    std::mutex mutex;
    std::string last;
    raw_server server;
};

const std::vector<kv_request> reads = {kv_get{"k"}, kv_range{"k"},
                                       kv_watch{"k", 1, milliseconds(1)}};
const std::vector<kv_request> writes = {kv_compare_and_swap{"k", "v", 1, 0}, kv_delete{"k", 1},
                                        kv_grant_lease{milliseconds(10)}, kv_renew_lease{1},
                                        kv_revoke_lease{1}};

// For servers that answer at once, with room for a slow machine.
constexpr milliseconds long_timeout{10'000};

} // namespace

TEST_GROUP(key_value_store)
{
    std::unique_ptr<http_client> client = make_http_client({});

    kv_reply ask(const std::string& url, const kv_request& request,
                 milliseconds timeout = milliseconds(400)) const
    {
        const auto store = make_key_value_store(*this->client, url, timeout);
        return call_and_wait(*store, request);
    }

    kv_reply answered(int status, const std::string& body, const kv_request& request) const
    {
        fixed_server server(status, body);
        return this->ask(server.url(), request, long_timeout);
    }

    std::string sent(const kv_request& request) const
    {
        fixed_server server(200, "{}");
        this->ask(server.url(), request, long_timeout);
        return server.last_request();
    }

    void check_all(const std::string& url, kv_outcome read_outcome, kv_outcome write_outcome) const
    {
        for (const kv_request& request : reads) {
            const kv_outcome outcome = this->ask(url, request).outcome;
            CHECK_EQUAL(read_outcome, outcome);
        }
        for (const kv_request& request : writes) {
            const kv_outcome outcome = this->ask(url, request).outcome;
            CHECK_EQUAL(write_outcome, outcome);
        }
    }
};

TEST(key_value_store, reads_name_their_key_in_the_url)
{
    STRCMP_CONTAINS("GET /v1/kv?key=config%2Fhead%20%C3%A9 ",
                    sent(kv_get{"config/head \u00e9"}).c_str());
    STRCMP_CONTAINS("GET /v1/range?prefix=bills%2F ", sent(kv_range{"bills/"}).c_str());
    STRCMP_CONTAINS("GET /v1/watch?prefix=a&after=7&wait_ms=2 ",
                    sent(kv_watch{"a", 7, std::chrono::microseconds(1001)}).c_str());
}

TEST(key_value_store, writes_are_posted_as_json)
{
    STRCMP_CONTAINS(R"(POST /v1/cas )", sent(kv_compare_and_swap{"a", "b\"", 3, 4}).c_str());
    STRCMP_CONTAINS(R"({"expected":3,"key":"a","lease":4,"value":"b\""})",
                    sent(kv_compare_and_swap{"a", "b\"", 3, 4}).c_str());
    STRCMP_CONTAINS(R"({"expected":3,"key":"a"})", sent(kv_delete{"a", 3}).c_str());
    STRCMP_CONTAINS(R"({"ttl_ms":20000})", sent(kv_grant_lease{milliseconds(20000)}).c_str());
    STRCMP_CONTAINS("POST /v1/lease/renew ", sent(kv_renew_lease{5}).c_str());
    STRCMP_CONTAINS("POST /v1/lease/revoke ", sent(kv_revoke_lease{5}).c_str());
}

TEST(key_value_store, answers_are_converted_to_replies)
{
    const std::string entries =
        R"({"revision":9,"entries":[{"key":"k","value":"v","revision":8}]})";
    const std::vector<kv_entry> expected = {{"k", "v", 8}};
    CHECK_TRUE((answered(200, entries, kv_get{"k"}) == kv_reply{kv_outcome::ok, 9, 0, expected}));
    CHECK_TRUE((answered(200, entries, kv_range{"k"}) == kv_reply{kv_outcome::ok, 9, 0, expected}));
    CHECK_TRUE((answered(404, R"({"revision":9})", kv_get{"k"}) ==
                kv_reply{kv_outcome::not_found, 9, 0, {}}));
    CHECK_TRUE(
        (answered(200, R"({"revision":9})", writes[0]) == kv_reply{kv_outcome::ok, 9, 0, {}}));
    CHECK_TRUE(
        (answered(409, entries, writes[0]) == kv_reply{kv_outcome::conflict, 9, 0, expected}));
    CHECK_TRUE((answered(200, R"({"lease":6})", writes[2]) == kv_reply{kv_outcome::ok, 0, 6, {}}));
    CHECK_TRUE((answered(404, "", kv_renew_lease{6}) == kv_reply{kv_outcome::not_found, 0, 0, {}}));
}

TEST(key_value_store, a_deleted_key_has_an_empty_value)
{
    const kv_reply reply = answered(
        200, R"({"revision":9,"entries":[{"key":"k","value":"","revision":9,"deleted":true}]})",
        kv_watch{"k", 1, milliseconds(1)});
    CHECK_TRUE((reply == kv_reply{kv_outcome::ok, 9, 0, {{"k", "", 9}}}));
}

TEST(key_value_store, a_refused_write_is_not_applied)
{
    fixed_server server(503, "");
    check_all(server.url(), kv_outcome::unavailable, kv_outcome::unavailable);
}

TEST(key_value_store, a_write_without_a_connection_is_not_applied)
{
    check_all("http://127.0.0.1:1", kv_outcome::unavailable, kv_outcome::unavailable);
}

TEST(key_value_store, a_write_whose_reply_is_lost_may_have_been_applied)
{
    // Guards against treating the write as failed: the service reads and applies the write, and the
    // connection closes before or during the reply.
    raw_server server([](raw_connection& connection, int index) {
        connection.read_request();
        if (index % 2 == 0) {
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"revis");
        }
    });
    check_all(server.url(), kv_outcome::unavailable, kv_outcome::unknown);
    check_all(server.url(), kv_outcome::unavailable, kv_outcome::unknown);
}

TEST(key_value_store, a_write_whose_reply_times_out_may_have_been_applied)
{
    raw_server server([](raw_connection& connection, int) { connection.wait_until_closed(); });
    check_all(server.url(), kv_outcome::unavailable, kv_outcome::unknown);
}

TEST(key_value_store, unreadable_answers_leave_writes_unknown)
{
    for (const int status : {200, 409, 500, 302}) {
        fixed_server server(status, "<html>");
        const kv_outcome read = ask(server.url(), kv_get{"k"}).outcome;
        const kv_outcome write = ask(server.url(), writes[0]).outcome;
        CHECK_EQUAL(kv_outcome::unavailable, read);
        CHECK_EQUAL(kv_outcome::unknown, write);
    }
}

TEST(key_value_store, a_404_from_another_server_does_not_make_a_key_absent)
{
    const kv_outcome outcome = answered(404, "<html>", kv_get{"k"}).outcome;
    CHECK_EQUAL(kv_outcome::unavailable, outcome);
}

TEST(key_value_store, a_write_is_not_resent_on_a_second_connection)
{
    // The outcome must be `unknown`. The pooled connection accepts the write and closes without an
    // answer; an automatic resend would conflict with the effect of the first copy.
    std::atomic<int> sends{0};
    raw_server server([&sends](raw_connection& connection, int) {
        connection.read_request();
        connection.answer(404, R"({"revision":1})");
        sends += connection.read_request().find("/v1/cas") != std::string::npos ? 1 : 0;
    });
    ask(server.url(), kv_get{"k"});
    const kv_outcome outcome = ask(server.url(), writes[0]).outcome;
    CHECK_EQUAL(kv_outcome::unknown, outcome);
    LONGS_EQUAL(1, sends.load());
}

TEST(key_value_store, values_that_the_service_cannot_store_are_not_sent)
{
    fixed_server server(200, R"({"revision":1})");
    const std::string too_long((1U << 20U) + 1, 'x');
    const kv_outcome of_long = ask(server.url(), kv_compare_and_swap{"k", too_long, 0, 0}).outcome;
    const kv_outcome of_bytes = ask(server.url(), kv_compare_and_swap{"k", "\xff", 0, 0}).outcome;
    CHECK_EQUAL(kv_outcome::unavailable, of_long);
    CHECK_EQUAL(kv_outcome::unavailable, of_bytes);
    STRCMP_EQUAL("", server.last_request().c_str());
}

TEST(key_value_store, the_wait_of_a_watch_is_added_to_the_timeout)
{
    raw_server server([](raw_connection& connection, int) {
        connection.read_request();
        std::this_thread::sleep_for(milliseconds(900));
        connection.answer(200, R"({"revision":1,"entries":[]})");
    });
    const kv_outcome outcome =
        ask(server.url(), kv_watch{"k", 1, std::chrono::seconds(20)}).outcome;
    CHECK_EQUAL(kv_outcome::ok, outcome);
}

TEST_GROUP(host_list){
    std::optional<std::vector<listed_host>> fetched(int status, const std::string& body)
        const {const std::unique_ptr<http_client> client = make_http_client({});
fixed_server server(status, body);
std::promise<std::optional<std::vector<listed_host>>> promise;
fetch_host_list(*client, server.url(), [&](const auto& list) { promise.set_value(list); });
return promise.get_future().get();
}
}
;

TEST(host_list, hosts_come_with_their_labels_and_state)
{
    const auto hosts = fetched(200, R"({"hosts":[
        {"name":"e1","address":"127.0.0.1:80","zone":"osu","incarnation":3,"state":"live","labels":{"role":"engine"}},
        {"name":"e2","address":"127.0.0.1:81","zone":"tema","incarnation":1,"state":"leaving"}]})");
    const std::vector<listed_host> expected = {
        {"e1", "127.0.0.1:80", "osu", 3, false, {{"role", "engine"}}},
        {"e2", "127.0.0.1:81", "tema", 1, true, {}}};
    CHECK_TRUE(hosts == expected);
}

TEST(host_list, an_unreadable_entry_does_not_hide_the_others)
{
    const auto hosts = fetched(200, R"({"hosts":[7,{"name":"e1"},
        {"name":"e2","address":"127.0.0.1:81","zone":"z","incarnation":1,"state":"sunk"}]})");
    const std::vector<listed_host> expected = {{"e2", "127.0.0.1:81", "z", 1, true, {}}};
    CHECK_TRUE(hosts == expected);
}

TEST(host_list, an_address_is_an_ip_address_and_a_port)
{
    for (const auto* const address :
         {"e1", "e1:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536",
          "127.0.0.1:80/x", "127.0.0.1:80\\r\\nx", "127.0.0.1 :80", "127.0.0.256:80", "::1:80",
          "[::1:80", "[]:80", "u@127.0.0.1:80", "127.0.0.1\\u0000x:80", "127.0.0.1:+80"}) {
        const auto body = R"({"hosts":[{"name":"e1","incarnation":1,"address":")" +
                          std::string(address) + R"("}]})";
        CHECK_TRUE(fetched(200, body).value().empty());
    }
}

TEST(host_list, an_unreadable_list_is_not_returned)
{
    CHECK_FALSE(fetched(503, R"({"hosts":[]})").has_value());
    CHECK_FALSE(fetched(200, "<html>").has_value());
    CHECK_FALSE(fetched(200, "[]").has_value());
    CHECK_FALSE(fetched(200, "{}").has_value());
}
