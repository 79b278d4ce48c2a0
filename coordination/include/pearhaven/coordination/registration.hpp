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

// Keeps one value in the store for as long as this process lives: under a lease that is renewed in
// a third of its time, and again under a new lease when that has lapsed. The key is this process's
// alone. A write whose reply was lost is settled by reading the key: whatever stands there hangs on
// the lease that is held, since with a lapsed one its keys have gone.
class registration {
public:
    registration(registration_settings settings, std::string key, std::string value,
                 decision::instant now);

    void on_tick(decision::instant now);

    // False where the tag is not of one of this part's calls.
    bool on_reply(call_tag tag, const kv_reply& reply, decision::instant now);

    // Ends the lease, and the value with it. No call follows.
    void end();

    // The tags begin at `first_tag` and rise.
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
    decision::duration retry_delay;
    decision::instant due;
    std::optional<call_tag> open_call;
    call_tag next_tag = first_tag;
    std::vector<store_call> calls;
};

} // namespace pearhaven::coordination

#endif
