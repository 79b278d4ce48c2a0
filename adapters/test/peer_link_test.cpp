#include "pearhaven/adapters/peer_link.hpp"

#include "frame_buffer.hpp"
#include "peer_codec.hpp"
#include "raw_server.hpp"

#include <mutex>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace pearhaven::adapters;
using namespace pearhaven::tests;
using namespace pearhaven::coordination;
using std::chrono::milliseconds;

namespace {

const std::string fleet_key(32, 'k');

peer_link_settings settings_for(const std::string& self)
{
    peer_link_settings settings;
    settings.self = self;
    settings.fleet_key = fleet_key;
    return settings;
}

// A link that records the messages it receives.
class recording_link {
public:
    explicit recording_link(const peer_link_settings& settings)
        : link(make_peer_link(settings, [this](const std::string& from,
                                               const peer_address& reply_to, peer_message message) {
              const std::lock_guard guard(this->mutex);
              this->envelopes.push_back({from, reply_to, std::move(message)});
          }))
    {}

    [[nodiscard]] peer_address address() const { return {"127.0.0.1", this->link->port()}; }

    std::vector<peer_envelope> received()
    {
        const std::lock_guard guard(this->mutex);
        return this->envelopes;
    }

    bool receives(std::size_t count)
    {
        return eventually([&] { return this->received().size() >= count; });
    }

private:
    std::mutex mutex;
    std::vector<peer_envelope> envelopes;

public:
    std::unique_ptr<peer_link> link;
};

peer_message numbered(std::uint64_t number)
{
    return config_pull{number, 0};
}

std::uint64_t number_in(const peer_envelope& envelope)
{
    return std::get<config_pull>(envelope.message).nonce;
}

std::string nonce_text(const connection_nonce& nonce)
{
    return {reinterpret_cast<const char*>(nonce.data()), nonce.size()};
}

// Reads exactly `count` bytes, or fewer if the other end closes.
std::string read_exactly(int socket, std::size_t count)
{
    std::string text(count, '\0');
    const ssize_t got = recv(socket, text.data(), count, MSG_WAITALL);
    text.resize(got < 0 ? 0 : static_cast<std::size_t>(got));
    return text;
}

connection_nonce read_nonce(int socket)
{
    connection_nonce nonce{};
    const std::string text = read_exactly(socket, nonce.size());
    std::copy(text.begin(), text.end(), nonce.begin());
    return nonce;
}

// The opener's end of a connection, controlled byte by byte, as a peer or an attacker.
class raw_peer {
public:
    explicit raw_peer(const recording_link& target, const std::string& key = fleet_key,
                      frame_direction direction = frame_direction::from_opener,
                      const connection_nonce& nonce = random_nonce())
        : socket(connect_to_loopback(target.address().port)), wire(this->socket), own_nonce(nonce)
    {
        this->write(nonce_text(this->own_nonce));
        this->authenticator.emplace(frame_key(key), this->own_nonce, read_nonce(this->socket),
                                    direction);
    }
    ~raw_peer() { close(this->socket); }
    raw_peer(const raw_peer&) = delete;
    raw_peer& operator=(const raw_peer&) = delete;

    void write(const std::string& bytes) const { this->wire.send(bytes); }

    std::string frame_for(const std::string& payload)
    {
        return make_frame(this->authenticator->next_code(payload), payload);
    }

    std::string message(std::uint64_t number, const std::string& from = "raw")
    {
        return this->frame_for(encode_envelope({from, {"127.0.0.1", 1}, numbered(number)}));
    }

    void open() { this->write(this->frame_for("")); }
    void wait_until_closed() const { this->wire.wait_until_closed(); }
    void reset() const { this->wire.reset(); }

private:
    int socket;
    raw_connection wire;
    connection_nonce own_nonce;
    std::optional<frame_authenticator> authenticator;
};

} // namespace

TEST_GROUP(peer_link)
{
    recording_link receiver{settings_for("receiver")};

    // The hostile connection must be closed, its frame counted as rejected, and messages of other
    // peers must still arrive.
    void check_rejected(const raw_peer& hostile, std::size_t delivered_before)
    {
        hostile.wait_until_closed();
        CHECK_TRUE(eventually([&] { return receiver.link->counts().rejected == 1; }));
        recording_link sender(settings_for("sender"));
        sender.link->send(receiver.address(), numbered(99));
        CHECK_TRUE(receiver.receives(delivered_before + 1));
        LONGS_EQUAL(delivered_before + 1, receiver.received().size());
        LONGS_EQUAL(99, number_in(receiver.received().back()));
    }
};

TEST(peer_link, a_message_arrives_with_its_sender_and_reply_address)
{
    recording_link sender(settings_for("sender"));
    sender.link->send(receiver.address(), numbered(7));
    CHECK_TRUE(receiver.receives(1));
    const peer_envelope expected{"sender", sender.address(), numbered(7)};
    CHECK_TRUE(receiver.received().at(0) == expected);
    receiver.link->send(receiver.received().at(0).reply_to, numbered(8));
    CHECK_TRUE(sender.receives(1));
}

TEST(peer_link, an_advertised_address_overrides_the_listening_address)
{
    peer_link_settings settings = settings_for("sender");
    settings.advertise_host = "10.0.0.1";
    settings.advertise_port = 77;
    recording_link sender(settings);
    sender.link->send(receiver.address(), numbered(1));
    CHECK_TRUE(receiver.receives(1));
    CHECK_TRUE((receiver.received().at(0).reply_to == peer_address{"10.0.0.1", 77}));
}

TEST(peer_link, messages_to_one_peer_arrive_once_and_in_order)
{
    recording_link sender(settings_for("sender"));
    constexpr std::uint64_t count = 1000;
    for (std::uint64_t number = 0; number < count; ++number) {
        sender.link->send(receiver.address(), numbered(number));
    }
    CHECK_TRUE(receiver.receives(count));
    const auto received = receiver.received();
    LONGS_EQUAL(count, received.size());
    for (std::uint64_t number = 0; number < count; ++number) {
        LONGS_EQUAL(number, number_in(received.at(number)));
    }
}

TEST(peer_link, a_long_message_arrives_complete_and_an_oversized_one_is_dropped)
{
    recording_link sender(settings_for("sender"));
    config_update update;
    update.snapshot = {{1, {{"team", "a", std::string(3U << 20U, 'x')}}}};
    sender.link->send(receiver.address(), update);
    CHECK_TRUE(receiver.receives(1));
    CHECK_TRUE(receiver.received().at(0).message == peer_message(update));
    update.snapshot = {{1, {{"team", "a", std::string(5U << 20U, 'x')}}}};
    sender.link->send(receiver.address(), update);
    LONGS_EQUAL(1, sender.link->counts().dropped);
}

TEST(peer_link, a_peer_without_the_fleet_key_is_rejected)
{
    raw_peer client(receiver, std::string(32, 'x'));
    client.open();
    client.write(client.message(1));
    check_rejected(client, 0);
}

TEST(peer_link, a_frame_sent_twice_is_rejected)
{
    raw_peer peer(receiver);
    peer.open();
    const std::string frame = peer.message(1);
    peer.write(frame + frame);
    check_rejected(peer, 1);
}

TEST(peer_link, reordered_frames_are_rejected)
{
    raw_peer peer(receiver);
    peer.open();
    const std::string first = peer.message(1);
    const std::string second = peer.message(2);
    peer.write(second + first);
    check_rejected(peer, 0);
}

TEST(peer_link, a_replayed_connection_is_rejected)
{
    const connection_nonce nonce = random_nonce();
    raw_peer peer(receiver, fleet_key, frame_direction::from_opener, nonce);
    std::string recorded = peer.frame_for("");
    recorded += peer.message(1);
    peer.write(recorded);
    CHECK_TRUE(receiver.receives(1));
    raw_peer replay(receiver, fleet_key, frame_direction::from_opener, nonce);
    replay.write(recorded);
    check_rejected(replay, 1);
}

TEST(peer_link, a_frame_of_the_other_direction_is_rejected)
{
    raw_peer peer(receiver, fleet_key, frame_direction::from_acceptor);
    peer.open();
    check_rejected(peer, 0);
}

TEST(peer_link, a_reflected_own_message_is_rejected)
{
    // An attacker on the network path redirects a connection of a router to the same router.
    raw_peer peer(receiver);
    peer.open();
    peer.write(peer.message(1, "receiver"));
    check_rejected(peer, 0);
}

TEST(peer_link, an_authentic_frame_without_a_message_is_rejected)
{
    raw_peer peer(receiver);
    peer.open();
    peer.write(peer.frame_for("not a message"));
    check_rejected(peer, 0);
}

TEST(peer_link, an_oversized_frame_is_rejected_before_it_is_received)
{
    raw_peer peer(receiver);
    peer.open();
    peer.write({'\x01', '\x00', '\x40', '\x00'}); // 4 MiB and a byte
    check_rejected(peer, 0);
}

TEST(peer_link, only_the_opening_frame_is_accepted_before_authentication)
{
    raw_peer peer(receiver);
    peer.write({'\x01', '\x00', '\x00', '\x00'});
    check_rejected(peer, 0);
}

TEST(peer_link, a_truncated_frame_is_rejected)
{
    {
        raw_peer peer(receiver);
        peer.open();
        peer.write(peer.message(1).substr(0, 50));
    }
    CHECK_TRUE(eventually([&] { return receiver.link->counts().rejected == 1; }));
    LONGS_EQUAL(0, receiver.received().size());
}

TEST(peer_link, random_bytes_do_not_disturb_other_peers)
{
    constexpr unsigned seed = 20260312;
    std::mt19937 random(seed);
    for (int attempt = 0; attempt < 200; ++attempt) {
        std::string noise(random() % 2000, '\0');
        for (char& byte : noise) {
            byte = static_cast<char>(random());
        }
        const int socket = connect_to_loopback(receiver.address().port);
        raw_connection(socket).send(noise);
        close(socket);
    }
    recording_link sender(settings_for("sender"));
    sender.link->send(receiver.address(), numbered(1));
    CHECK_TRUE(receiver.receives(1));
    LONGS_EQUAL(1, receiver.received().size());
}

TEST(peer_link, a_connection_without_a_handshake_is_closed)
{
    peer_link_settings settings = settings_for("brief");
    settings.handshake_timeout = milliseconds(100);
    recording_link brief(settings);
    const int silent = connect_to_loopback(brief.address().port);
    raw_connection(silent).wait_until_closed();
    LONGS_EQUAL(1, brief.link->counts().handshake_failures);
    close(silent);
}

TEST(peer_link, unauthenticated_connections_do_not_lock_peers_out)
{
    // Guards against peers being locked out when unauthenticated clients hold all incoming
    // connections without sending anything. Each new connection replaces the oldest unauthenticated
    // one.
    peer_link_settings settings = settings_for("crowded");
    settings.max_incoming = 5;
    settings.handshake_timeout = std::chrono::seconds(60);
    recording_link limited(settings);
    std::vector<int> clients(20);
    for (int& client : clients) {
        client = connect_to_loopback(limited.address().port);
    }
    recording_link sender(settings_for("sender"));
    sender.link->send(limited.address(), numbered(1));
    CHECK_TRUE(limited.receives(1));
    CHECK_TRUE(limited.link->counts().connections_refused >= 15);
    for (const int client : clients) {
        close(client);
    }
}

TEST(peer_link, authenticated_peers_are_not_evicted)
{
    peer_link_settings settings = settings_for("crowded");
    settings.max_incoming = 1;
    recording_link limited(settings);
    recording_link sender(settings_for("sender"));
    sender.link->send(limited.address(), numbered(1));
    CHECK_TRUE(limited.receives(1));
    const int client = connect_to_loopback(limited.address().port);
    raw_connection(client).wait_until_closed();
    close(client);
    sender.link->send(limited.address(), numbered(2));
    CHECK_TRUE(limited.receives(2));
    LONGS_EQUAL(0, sender.link->counts().connections_lost);
}

TEST(peer_link, an_unreachable_peer_affects_only_its_own_messages)
{
    const int closed = listen_on_loopback(1);
    const std::uint16_t port = port_of(closed);
    close(closed);
    recording_link sender(settings_for("sender"));
    sender.link->send({"127.0.0.1", port}, numbered(1));
    sender.link->send(receiver.address(), numbered(2));
    CHECK_TRUE(receiver.receives(1));
    CHECK_TRUE(eventually([&] { return sender.link->counts().dropped == 1; }));
    LONGS_EQUAL(1, sender.link->counts().connect_failures);
}

TEST(peer_link, a_restarted_peer_is_reached_again)
{
    peer_link_settings settings = settings_for("first incarnation");
    auto first = std::make_unique<recording_link>(settings);
    settings.listen_port = first->address().port;
    recording_link sender(settings_for("sender"));
    sender.link->send(first->address(), numbered(1));
    CHECK_TRUE(first->receives(1));
    first.reset();
    settings.self = "second incarnation";
    recording_link second(settings);
    std::uint64_t number = 2;
    CHECK_TRUE(eventually([&] {
        sender.link->send(second.address(), numbered(number++));
        return !second.received().empty();
    }));
    LONGS_EQUAL(1, sender.link->counts().connections_lost);
}

TEST(peer_link, an_unresponsive_connection_is_closed)
{
    // The sender must detect the failure and reconnect. The other end completes the handshake and
    // then reads nothing, like a middlebox that has lost the state of the connection: no error is
    // reported, and the bytes stay unacknowledged.
    std::atomic<bool> connection_lost{false};
    raw_server silent([&](raw_connection& connection, int) {
        connection.send(nonce_text(random_nonce()));
        wait_for(connection_lost);
    });
    peer_link_settings settings = settings_for("sender");
    settings.unacknowledged_timeout = milliseconds(300);
    recording_link sender(settings);
    bill_copy copy;
    copy.owner.assign(1U << 20U, 'x');
    for (int count = 0; count < 16; ++count) {
        sender.link->send({"127.0.0.1", silent.port()}, copy);
    }
    const bool detected = eventually([&] { return sender.link->counts().connections_lost > 0; });
    connection_lost = true;
    CHECK_TRUE(detected);
}

TEST(peer_link, a_full_queue_drops_its_oldest_messages)
{
    // The peer accepts the connection, but sends its nonce only when more messages are waiting than
    // the queue can hold.
    std::atomic<bool> may_send_nonce{false};
    std::string received_bytes;
    raw_server slow([&](raw_connection& connection, int) {
        eventually([&] { return may_send_nonce.load(); });
        connection.send(nonce_text(random_nonce()));
        received_bytes = connection.read_until_closed();
    });
    peer_link_settings settings = settings_for("sender");
    settings.max_queued_frames = 3;
    settings.handshake_timeout = std::chrono::seconds(30);
    recording_link sender(settings);
    for (std::uint64_t number = 0; number < 10; ++number) {
        sender.link->send({"127.0.0.1", slow.port()}, numbered(number));
    }
    CHECK_TRUE(eventually([&] { return sender.link->counts().dropped == 7; }));
    may_send_nonce = true;
    CHECK_TRUE(eventually([&] { return sender.link->counts().sent == 3; }));
    sender.link->stop();
    slow.finish();
    frame_buffer frames;
    frames.append(std::string_view(received_bytes).substr(sizeof(connection_nonce)));
    frame item;
    CHECK_TRUE(frames.next(0, item) == frame_outcome::complete);
    for (std::uint64_t number = 7; number < 10; ++number) {
        CHECK_TRUE(frames.next(1000, item) == frame_outcome::complete);
        LONGS_EQUAL(number, number_in(*decode_envelope(item.payload)));
    }
}

TEST(peer_link, an_idle_connection_is_closed_and_reopened_on_demand)
{
    peer_link_settings settings = settings_for("sender");
    settings.idle_timeout = milliseconds(100);
    std::atomic<int> ended{0};
    raw_server peer([&](raw_connection& connection, int) {
        connection.send(nonce_text(random_nonce()));
        connection.wait_until_closed();
        ++ended;
    });
    recording_link sender(settings);
    for (int round = 1; round <= 2; ++round) {
        sender.link->send({"127.0.0.1", peer.port()}, numbered(1));
        CHECK_TRUE(eventually([&] { return ended == round; }));
    }
    LONGS_EQUAL(2, sender.link->counts().sent);
    LONGS_EQUAL(0, sender.link->counts().connections_lost);
}

TEST(peer_link, stopping_sends_queued_messages_first)
{
    recording_link sender(settings_for("sender"));
    for (std::uint64_t number = 0; number < 100; ++number) {
        sender.link->send(receiver.address(), numbered(number));
    }
    sender.link->stop();
    sender.link->send(receiver.address(), numbered(100));
    CHECK_TRUE(receiver.receives(100));
    LONGS_EQUAL(100, receiver.received().size());
    LONGS_EQUAL(1, sender.link->counts().dropped);
}

TEST(peer_link, an_address_in_use_cannot_be_listened_on)
{
    peer_link_settings settings = settings_for("other");
    settings.listen_port = receiver.address().port;
    CHECK_THROWS(std::system_error, make_peer_link(settings, {}));
}

// A peer resets its connection at each step: before the handshake, after the nonces, after the
// opening frame, after a message, within a message. The message of the next peer still arrives.
TEST(peer_link, a_reset_at_any_step_of_an_incoming_connection_affects_only_that_connection)
{
    const int before_handshake = connect_to_loopback(receiver.address().port);
    raw_connection(before_handshake).reset();
    close(before_handshake);
    for (int step = 0; step < 4; ++step) {
        raw_peer peer(receiver);
        if (step > 0) {
            peer.open();
        }
        if (step > 1) {
            const auto message = peer.message(1);
            peer.write(step == 2 ? message : message.substr(0, message.size() / 2));
        }
        peer.reset();
    }
    recording_link sender(settings_for("sender"));
    sender.link->send(receiver.address(), numbered(99));
    CHECK_TRUE(eventually([&] {
        const auto all = receiver.received();
        return !all.empty() && number_in(all.back()) == 99;
    }));
}

// The receiving peer resets each connection one step later than the previous one.
TEST(peer_link, a_reset_at_any_step_of_an_outgoing_connection_is_retried)
{
    raw_server resetting([](raw_connection& connection, int index) {
        if (index > 0) {
            connection.send(nonce_text(random_nonce()));
        }
        if (index > 1) {
            connection.send("more than a nonce");
        }
        connection.reset();
    });
    recording_link sender(settings_for("sender"));
    CHECK_TRUE(eventually([&] {
        sender.link->send({"127.0.0.1", resetting.port()}, numbered(1));
        return resetting.connections() > 3;
    }));
    sender.link->send(receiver.address(), numbered(99));
    CHECK_TRUE(receiver.receives(1));
}
