#ifndef PEARHAVEN_DECISION_REFUSAL_BUDGET_HPP
#define PEARHAVEN_DECISION_REFUSAL_BUDGET_HPP

#include "newest_statement.hpp"

#include "pearhaven/decision/time.hpp"

#include <cstddef>
#include <optional>

namespace pearhaven::decision {

// Requests at an endpoint, as far as a router knows.
struct known_requests {
    double own = 0.0;
    double all = 0.0; // of all routers; reports of the others lag

    friend bool operator==(const known_requests&, const known_requests&) = default;
};

// A router's place among those that use an endpoint.
struct refusal_place {
    std::size_t rank = 0;            // of this router
    std::size_t routers = 1;         // number of them
    std::size_t number_in_group = 0; // of the endpoint, from 0
    duration clock_offset{};         // of the routers' common time from this router's clock

    friend bool operator==(const refusal_place&, const refusal_place&) = default;
};

// How many requests an endpoint takes, after it has refused one. It recovers over a minute.
class reduced_room {
public:
    // The room of an endpoint that can run `capacity` requests, if it has not refused any lately.
    explicit reduced_room(double usable_part) : usable_part_of_capacity(usable_part) {}

    // A request was refused while `there` others were there. At least `min_part_left` of the room
    // is left by that.
    void on_refused(double there, double min_part_left, double capacity, instant now);

    // A request finished while so many were there: grows by one for each as many requests as it
    // holds. Fewer requests than half of it tell nothing.
    void on_finished(double there);

    // A peer found this room at `found_at` by this router's clock.
    void on_peer(double requests, instant found_at);

    [[nodiscard]] double requests(double capacity, instant now) const;

    [[nodiscard]] bool is_reduced() const { return this->reduced.has_value(); }
    [[nodiscard]] bool was_reduced_lately(instant now) const;

    // For the peers, if this router found it: what came from a peer would seem newer each time that
    // it is passed on.
    [[nodiscard]] std::optional<room_report> report(instant now) const;

private:
    double usable_part_of_capacity;
    std::optional<double> reduced;
    instant reduced_at;
    bool is_own = false; // not a peer's
};

// What the brittle endpoints of a group have stated and shown lately. It is presumed of an endpoint
// that has not answered yet, such as one that has just crashed and returned.
class brittle_group {
public:
    // An endpoint of the group stated this limit, or none any more.
    void on_statement(std::optional<double> limit, instant now);

    // An endpoint of the group, which can run `capacity` requests, refused one.
    void on_refused(double there, double min_part_left, double capacity, instant now);

    [[nodiscard]] std::optional<double> limit(instant now) const;

    // The room that endpoints of the group are presumed to have at most.
    [[nodiscard]] double room(double capacity, instant now) const;

private:
    std::optional<double> stated;
    instant stated_at;
    reduced_room shown{1.0};
};

// The mean time for which an endpoint runs a request, from the number of those that are there at
// any time and those that finish.
class mean_run_time {
public:
    // So many requests were there until now.
    void on_change(double there, instant now);
    void on_finished();

    // Nothing if no request has finished.
    [[nodiscard]] std::optional<duration> value() const;

private:
    double request_seconds = 0.0;
    double finished = 0.0;
    instant last_change;
};

// Keeps the requests that a brittle endpoint has to refuse within what it survives. A part of its
// room is divided among the routers, and each may use its places at any time. The remainder is
// divided anew all the time. After a refusal the room is taken to be smaller than what was there,
// and this router sends nothing until its share of the refusals allows another one.
class refusal_budget {
public:
    refusal_budget();

    // An answer to a request that was sent at `sent` stated this many refusals per second, or none.
    // Returns whether the known limit changed.
    bool on_answer(std::optional<double> stated, instant sent, instant now);

    // A peer knows of this statement, made at `made_at` by this router's clock. Returns whether
    // the known limit changed.
    bool on_peer(std::optional<double> stated, instant made_at);

    // This router sent a request; `there` includes it.
    void on_started(const known_requests& there, instant now);

    // The endpoint, which can run `capacity` requests, refused one of this router's. `there` does
    // not include it. Refusals tell the room of an endpoint also before it is brittle.
    void on_refused(const known_requests& there, double capacity, instant now);

    // A request of this router's ended, which `there` includes.
    void on_ended(const known_requests& there, bool finished, instant now);

    // The most requests that may have been there lately.
    [[nodiscard]] double there_at_most(const known_requests& there) const;

    // The part of the room that a refusal leaves at least, since the number of requests there is
    // not known exactly.
    [[nodiscard]] double min_part_left_by_refusal() const;

    // A peer knows of this room, found at `found_at` by this router's clock.
    void on_peer_room(double requests, instant found_at);

    // Whether the endpoint is brittle, by its own statement, or by those of its group if it has not
    // answered yet.
    [[nodiscard]] bool is_brittle(const brittle_group& group, instant now) const
    {
        return this->presumed_limit(group, now).has_value();
    }

    // Whether the endpoint refused a request, of this router or of a peer, in the last seconds.
    [[nodiscard]] bool was_refused_lately(instant now) const
    {
        return this->room.was_reduced_lately(now);
    }

    // Whether the endpoint, which can run `capacity` requests, may have no room for a further one,
    // whichever router sends it.
    [[nodiscard]] bool may_be_full(const known_requests& there, double capacity,
                                   const brittle_group& group, instant now) const;

    // Whether this router may send a request to the endpoint, which is brittle.
    [[nodiscard]] bool may_send(const known_requests& there, double capacity,
                                const refusal_place& place, const brittle_group& group,
                                instant now) const;

    // When this router's share of the refusals allows it to risk another one: now or later.
    [[nodiscard]] instant opens_at(std::size_t routers, const brittle_group& group,
                                   instant now) const;

    // Refusals per second that the endpoint survives; nothing if it is not brittle.
    [[nodiscard]] std::optional<double> limit() const { return this->statement.value(); }

    // For the peers. Nothing if no limit was stated lately.
    [[nodiscard]] std::optional<limit_report> report(instant now) const
    {
        return this->statement.report(now);
    }

    // The room of a brittle endpoint, for the peers. Nothing if it refused none of this router's
    // requests.
    [[nodiscard]] std::optional<room_report> reported_room(instant now) const;

private:
    [[nodiscard]] double usable(double capacity, const brittle_group& group, instant now) const;
    // Whether the requests that peers report are about as many as are there.
    [[nodiscard]] bool knows_load() const;

    [[nodiscard]] std::optional<double> presumed_limit(const brittle_group& group,
                                                       instant now) const;

    newest_statement statement;
    bool has_answered = false;
    reduced_room room;
    mean_run_time run_time; // of this router's requests
    double peak = 0.0;      // most requests there since `peak_since`
    instant peak_since;
    std::optional<instant> last_refusal; // of a request of this router
    std::optional<instant> before_last_refusal;
};

} // namespace pearhaven::decision

#endif
