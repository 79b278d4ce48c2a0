#ifndef PEARHAVEN_STANDINS_PROXIED_CONNECTION_HPP
#define PEARHAVEN_STANDINS_PROXIED_CONNECTION_HPP

#include "paced_buffer.hpp"
#include "socket_handle.hpp"

#include <boost/intrusive/list.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace pearhaven::standins {

// Faults currently injected into the proxy's connections.
struct proxy_faults {
    bool silent = false;            // nothing is forwarded, not even the end of a connection
    bool swallow_to_server = false; // bytes are read and discarded
    bool swallow_to_client = false;
    pacing paced;
    std::uint64_t truncate_to_client_after = 0; // bytes; 0: never

    friend bool operator==(const proxy_faults&, const proxy_faults&) = default;
};

enum class proxy_side { client, server };

// State shared by the connections of one event loop.
struct proxy_loop {
    int epoll_set = -1;
    std::vector<char>
        scratch; // read buffer; on the heap, because CivetWeb's thread stacks are small
};

struct byte_counts {
    std::uint64_t to_server = 0;
    std::uint64_t to_client = 0;
};

// A client's connection and the matching one to the server. Used only on the loop's thread.
class proxied_connection : public boost::intrusive::list_base_hook<> {
public:
    // Target of an epoll event's data pointer.
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

    // Sends the bytes that are due. False when the connection is over.
    bool flush(const proxy_faults& faults, decision::instant now);

    // Updates the epoll events of both sockets. Call it after each of the other functions.
    void watch(const proxy_faults& faults, decision::instant now);

    // Silences the connection permanently: neither end receives anything more, not even its end.
    void silence() { this->silenced = true; }

    // Restarts the count for truncation.
    void count_from_here() { this->to_client.counted = 0; }

    // Closes both sides with a reset.
    void reset();

    // Closes both sides with an orderly shutdown.
    void close();

    // The time at which the next delayed bytes may be sent, if there are any.
    [[nodiscard]] std::optional<decision::instant> next_due(decision::instant now) const;

    [[nodiscard]] byte_counts moved() const;

    // Set by the loop: when it will call `flush`.
    std::optional<decision::instant> timer;

private:
    struct byte_flow {
        paced_buffer buffer;
        bool ended = false;         // the source has closed its side
        bool end_forwarded = false; // the end was forwarded to the sink
        std::uint64_t moved = 0;    // bytes sent
        std::uint64_t counted = 0;  // of them, those since the last `count_from_here`
    };

    socket_end& end_of(proxy_side side);
    byte_flow& flow_from(proxy_side side);
    bool read_from(proxy_side side, const proxy_faults& faults, decision::instant now);
    bool write_to(proxy_side side, const proxy_faults& faults, decision::instant now);
    static void forward_end(socket_end& sink, byte_flow& from);
    bool on_socket_failure(proxy_side broken, const proxy_faults& faults);
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
