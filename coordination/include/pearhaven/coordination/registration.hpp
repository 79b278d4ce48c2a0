#ifndef PEARHAVEN_COORDINATION_REGISTRATION_HPP
#define PEARHAVEN_COORDINATION_REGISTRATION_HPP

#include "pearhaven/coordination/actions.hpp"
#include "pearhaven/decision/time.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pearhaven::coordination {

inline constexpr std::string_view member_prefix = "routers/";

// Port to the stored form of a member's record. Pure.
class member_codec {
public:
    virtual ~member_codec() = default;
    [[nodiscard]] virtual std::string write_member(const member& record) const = 0;
    [[nodiscard]] virtual std::optional<member> read_member(std::string_view text) const = 0;
};

struct registration_settings {
    decision::duration time_to_live = std::chrono::seconds{20};
    decision::duration first_retry = std::chrono::milliseconds{500};
    decision::duration longest_retry = std::chrono::seconds{5};
};

// Keeps one value in the store for as long as this process runs: under a lease that is renewed at a
// third of its time to live, and under a new lease if that one has expired. Only this process
// writes the key, and others before it that had its name. A value found there may be attached to
// the lease of such a process and would end with it, so it is written again.
class registration {
public:
    registration(registration_settings settings, std::string key, std::string value,
                 decision::instant now);

    void on_tick(decision::instant now);

    // False if the tag does not belong to a call of this component.
    bool on_reply(call_tag tag, const kv_reply& reply, decision::instant now);

    // The store has returned from an older copy, which may hold neither the key nor the lease.
    void on_store_restored(decision::instant now);

    // Revokes the lease, which deletes the value. No call may follow.
    void end();

    // The tags start at `first_tag` and increase.
    [[nodiscard]] std::vector<store_call> take_calls();
    static constexpr call_tag first_tag = call_tag{1} << 62U;

    [[nodiscard]] bool is_registered() const { return this->step == phase::holding; }

private:
    enum class phase { granting, writing, reading, holding, ended };

    void call(kv_request request, decision::instant now);
    void on_granted(const kv_reply& reply, decision::instant now);
    void on_written(const kv_reply& reply, decision::instant now);
    void on_read(const kv_reply& reply, decision::instant now);
    void on_renewed(const kv_reply& reply, decision::instant now);
    void retry_later(decision::instant now);
    void start_over(decision::instant now);

    registration_settings settings;
    std::string key;
    std::string value;
    phase step = phase::granting;
    lease_number lease = 0;
    store_revision found_at = 0;    // of the value that is to be replaced; 0: there is none
    bool is_lease_in_doubt = false; // it may be another owner's
    decision::duration retry_delay;
    decision::instant due;
    std::optional<call_tag> open_call;
    call_tag next_tag = first_tag;
    std::vector<store_call> calls;
};

} // namespace pearhaven::coordination

#endif
