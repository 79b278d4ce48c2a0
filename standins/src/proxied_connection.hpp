#ifndef PEARHAVEN_STANDINS_PROXIED_CONNECTION_HPP
#define PEARHAVEN_STANDINS_PROXIED_CONNECTION_HPP

#include "paced_buffer.hpp"
#include "socket_handle.hpp"

#include <boost/intrusive/list.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace pearhaven::standins {

// What the proxy does to the bytes of its connections at present.
struct proxy_faults {
    bool silent = false;            // nothing moves, ends of connections included
    bool swallow_to_server = false; // bytes are read and thrown away
    bool swallow_to_client = false;
    pacing paced;
    std::uint64_t truncate_to_client_after = 0; // bytes; 0: never

    friend bool operator==(const proxy_faults&, const proxy_faults&) = default;
};

enum class proxy_side { client, server };

// What the connections of one loop share.
struct proxy_loop {
    int epoll_set = -1;
    std::vector<char> scratch; // what was read last; on the heap, as CivetWeb's stacks are small
};

struct byte_counts {
    std::uint64_t to_server = 0;
    std::uint64_t to_client = 0;
};

// One caller's connection and the one that the proxy made for it. Belongs to the loop's thread.
class proxied_connection : public boost::intrusive::list_base_hook<> {
public:
    // What an epoll event points to.
    struct socket_end {
        proxied_connection* connection = nullptr;
        proxy_side side = proxy_side::client;
        socket_handle socket;
        std::uint32_t watched = 0; // epoll events; 0: not in the set
    };

    // The loop must outlive the connection.
    proxied_connection(proxy_loop& owner, socket_handle client, socket_handle server);

    // Handles the events of one socket. False when the connection is over.
    bool handle(proxy_side side, std::uint32_t events, const proxy_faults& faults,
                decision::instant now);

    // Sends what is due. False when the connection is over.
    bool flush(const proxy_faults& faults, decision::instant now);

    // Watches the sockets for what can be done next. Call it after each of the others.
    void watch(const proxy_faults& faults, decision::instant now);

    // The connection goes silent for good: the ends learn of nothing any more.
    void silence() { this->silenced = true; }

    // Restarts the count for truncation.
    void count_from_here() { this->to_client.counted = 0; }

    // Closes both sides with a reset.
    void reset();

    // Closes both sides in good order.
    void close();

    // When the next bytes that are still held back may go out, if there are any.
    [[nodiscard]] std::optional<decision::instant> next_due(decision::instant now) const;

    [[nodiscard]] byte_counts moved() const;

    // Kept by the loop: when it will call `flush`.
    std::optional<decision::instant> timer;

private:
    struct byte_flow {
        paced_buffer buffer;
        bool ended = false;        // the source will send no more
        bool passed_end = false;   // and the sink was told
        std::uint64_t moved = 0;   // bytes that went out
        std::uint64_t counted = 0; // of them, those since the last `count_from_here`
    };

    socket_end& end_of(proxy_side side);
    byte_flow& flow_from(proxy_side side);
    bool read_from(proxy_side side, const proxy_faults& faults, decision::instant now);
    bool write_to(proxy_side side, const proxy_faults& faults, decision::instant now);
    static void pass_end(socket_end& sink, byte_flow& from);
    bool break_off(proxy_side broken, const proxy_faults& faults);
    [[nodiscard]] bool is_over() const;
    [[nodiscard]] std::uint32_t wanted_events(const socket_end& end, const byte_flow& in,
                                              const byte_flow& out, decision::instant now) const;
    void set_watched(socket_end& end, std::uint32_t events) const;

    proxy_loop& loop;
    socket_end client;
    socket_end server;
    byte_flow to_server;
    byte_flow to_client;
    bool silenced = false;
    bool connected = false; // to the server
};

} // namespace pearhaven::standins

#endif
