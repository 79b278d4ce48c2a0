#include "pearhaven/router/peer_messenger.hpp"

#include "pearhaven/adapters/ip_address.hpp"
#include "pearhaven/adapters/log.hpp"
#include "pearhaven/adapters/value_packing.hpp"
#include "pearhaven/decision/work.hpp"

#include <fmt/format.h>

#include <charconv>
#include <system_error>
#include <utility>

namespace pearhaven::router {

namespace {

// Assumed where the host's link is not known.
constexpr double default_link_mbps = 10.0;
constexpr double bytes_of_megabit = 125'000.0;

// Part of the host's link that large values for peers may use.
constexpr double link_part_for_values = 0.5;

// Values from this size on are packed.
constexpr std::size_t min_packed_bytes = 4U << 10U;

// Bytes of all values that are unpacked from one message.
constexpr std::size_t max_unpacked_bytes = 16U << 20U;

// Returns false if a value cannot be unpacked.
bool unpack_values(coordination::mirror_update& update)
{
    std::size_t room = max_unpacked_bytes;
    for (const auto& item : std::exchange(update.packed_entries, {})) {
        auto value = adapters::unpack(item.packed_value, room);
        if (!value || value->empty()) {
            return false;
        }
        room -= value->size();
        update.entries.push_back({item.key, std::move(*value), item.revision});
    }
    return true;
}

coordination::peer_exchange_settings exchange_settings_for(const peer_messenger_settings& settings)
{
    coordination::peer_exchange_settings made;
    made.self = settings.self;
    made.zone = settings.listen_address.zone;
    made.seed = decision::fingerprint(settings.self, "peers", "");
    return made;
}

coordination::watch_share_settings share_settings_for(const peer_messenger_settings& settings)
{
    coordination::watch_share_settings made;
    made.self = settings.self;
    made.zone = settings.listen_address.zone;
    made.link_mbps = settings.listen_address.link_mbps;
    made.update_lifetime = settings.delays.update_lifetime;
    made.fallback_spread = settings.delays.fallback_spread;
    return made;
}

coordination::value_sender_settings sender_settings_for(const peer_messenger_settings& settings)
{
    const auto known = settings.listen_address.link_mbps;
    const double link_mbps = known == 0 ? default_link_mbps : known;
    coordination::value_sender_settings made;
    made.bytes_per_second = link_mbps * bytes_of_megabit * link_part_for_values;
    made.pull_lifetime = settings.delays.value_patience;
    return made;
}

void log_limits(const std::string& peer, const std::vector<decision::peer_limit_change>& changes)
{
    for (const auto& change : changes) {
        const auto& rate = change.statement.rate;
        adapters::log_change(change.is_refusal_limit ? "endpoint_refusal_limit" : "endpoint_limit",
                             {{"endpoint", change.address},
                              {"incarnation", std::to_string(change.incarnation)},
                              {change.is_refusal_limit ? "refusals_per_s" : "requests_per_s",
                               rate ? fmt::format("{}", *rate) : "none"},
                              {"peer", peer},
                              {"age_ms", adapters::milliseconds(change.statement.age)}});
    }
}

const char* name_of(coordination::watch_mode mode)
{
    switch (mode) {
    case coordination::watch_mode::independent:
        return "alone";
    case coordination::watch_mode::watcher:
        return "for others";
    case coordination::watch_mode::follower:
        return "follows";
    }
    return "";
}

} // namespace

std::string write_peer(const coordination::peer_router& where)
{
    auto text = where.host + ":" + std::to_string(where.port) + " " + where.zone;
    if (where.callers_port != 0) {
        text += " " + std::to_string(where.callers_port);
    }
    if (where.callers_port != 0 && where.link_mbps != 0) {
        text += " " + std::to_string(where.link_mbps);
    }
    return text;
}

namespace {

// A positive number that is the whole text; nothing for any other text.
template <typename Number>
std::optional<Number> read_positive(std::string_view text)
{
    Number number = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    const bool valid = parsed.ec == std::errc() && parsed.ptr == end && number != 0;
    return valid ? std::make_optional(number) : std::nullopt;
}

} // namespace

std::optional<coordination::peer_router> read_peer(std::string_view text)
{
    const auto space = text.find(' ');
    const auto address = text.substr(0, space);
    const auto colon = address.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    coordination::peer_router read;
    read.host = address.substr(0, colon);
    const auto rest = space == std::string_view::npos ? std::string_view() : text.substr(space + 1);
    const auto end_of_zone = rest.find(' ');
    read.zone = rest.substr(0, end_of_zone);
    if (end_of_zone != std::string_view::npos) {
        const auto numbers = rest.substr(end_of_zone + 1);
        const auto end_of_port = numbers.find(' ');
        read.callers_port =
            read_positive<std::uint16_t>(numbers.substr(0, end_of_port)).value_or(0);
        if (end_of_port != std::string_view::npos) {
            read.link_mbps =
                read_positive<std::uint32_t>(numbers.substr(end_of_port + 1)).value_or(0);
        }
    }
    read.port = read_positive<std::uint16_t>(address.substr(colon + 1)).value_or(0);
    const bool valid = read.port != 0 && (adapters::is_ipv4_address(read.host) ||
                                          adapters::is_ipv6_address(read.host));
    return valid ? std::make_optional(read) : std::nullopt;
}

peer_messenger::peer_messenger(dependencies all_dependencies, const peer_messenger_settings& chosen)
    : deps(std::move(all_dependencies)), settings(chosen), exchange(exchange_settings_for(chosen)),
      share(share_settings_for(chosen)), values(sender_settings_for(chosen))
{}

void peer_messenger::open(const std::string& fleet_key)
{
    if (this->link) {
        return;
    }
    adapters::peer_link_settings chosen;
    chosen.listen_host = this->settings.listen_address.host;
    chosen.listen_port = this->settings.listen_address.port;
    chosen.self = this->settings.self;
    chosen.fleet_key = fleet_key;
    const auto deliver = [this](const std::string& from, const adapters::peer_address& reply_to,
                                coordination::peer_message message) {
        auto* update = std::get_if<coordination::mirror_update>(&message);
        if (update != nullptr && !unpack_values(*update)) {
            adapters::log_warning("peer_value_unreadable", {{"peer", from}});
            return;
        }
        this->deps.loop.post([this, from, reply_to, message = std::move(message)] {
            this->handle(from, reply_to, message);
        });
    };
    try {
        this->link = adapters::make_peer_link(chosen, deliver);
        adapters::log_change("peers_open", {{"port", std::to_string(this->link->port())}});
    } catch (const std::system_error& error) {
        adapters::log_warning("peers_closed", {{"cause", error.what()}});
    }
}

void peer_messenger::set_peer(const std::string& name, const coordination::peer_router& where)
{
    this->exchange.set_peer(name, where);
    this->share.set_peer(name, where.zone, where.link_mbps);
}

void peer_messenger::drop_peer(const std::string& name)
{
    this->exchange.drop_peer(name);
    this->share.drop_peer(name);
}

void peer_messenger::tick()
{
    if (!this->link) {
        return;
    }
    this->set_watch_mode();
    this->send_values();
    const auto& mirror = this->deps.mirror;
    const auto sends = this->exchange.on_tick(
        this->deps.dispatcher.endpoints().own_loads(this->deps.loop.now()),
        {mirror.is_synchronized(), mirror.revision(), mirror.must_read_store()},
        this->deps.loop.now(), this->deps.dispatcher.concentrated_loads());
    for (const auto& send : sends) {
        this->link->send({send.to.host, send.to.port}, send.message);
    }
}

void peer_messenger::handle(const std::string& from, const adapters::peer_address& reply_to,
                            const coordination::peer_message& message)
{
    if (const auto* push = std::get_if<coordination::load_push>(&message)) {
        log_limits(from,
                   this->deps.dispatcher.on_peer_loads(from, push->loads, this->deps.loop.now()));
    } else if (const auto* pull = std::get_if<coordination::mirror_pull>(&message)) {
        this->answer(reply_to, *pull);
    } else if (const auto* updates = std::get_if<coordination::mirror_update>(&message)) {
        this->handle(from, reply_to, *updates);
    } else if (const auto* report = std::get_if<coordination::run_report>(&message)) {
        this->handle(*report);
    }
}

void peer_messenger::handle(const coordination::run_report& report)
{
    for (const auto& lost : report.lost) {
        this->deps.dispatcher.on_peer_lost_run(lost, this->deps.loop.now());
    }
    for (const auto fingerprint : report.finished) {
        this->deps.dispatcher.on_peer_finished_run(fingerprint);
    }
    for (const auto& lost : report.lost_prompts) {
        this->deps.dispatcher.on_peer_lost_prompt(lost, this->deps.loop.now());
    }
    for (const auto& answered : report.answered_prompts) {
        this->deps.dispatcher.on_peer_answered_prompt(answered, this->deps.loop.now());
    }
}

void peer_messenger::on_lost_run(const decision::lost_run& lost)
{
    coordination::run_report report;
    report.lost.push_back(lost);
    this->send_run_report(lost.fingerprint, report);
}

void peer_messenger::on_finished_run(std::uint64_t fingerprint)
{
    coordination::run_report report;
    report.finished.push_back(fingerprint);
    this->send_run_report(fingerprint, report);
}

void peer_messenger::on_lost_prompt(const decision::lost_prompt& lost)
{
    coordination::run_report report;
    report.lost_prompts.push_back(lost);
    this->send_run_report(lost.target, report);
}

void peer_messenger::on_answered_prompt(const decision::answered_prompt& answered)
{
    coordination::run_report report;
    report.answered_prompts.push_back(answered);
    this->send_run_report(answered.target, report);
}

void peer_messenger::send_run_report(std::uint64_t subject, const coordination::run_report& report)
{
    if (!this->link) {
        return;
    }
    for (const auto& peer : this->exchange.run_report_recipients(subject)) {
        this->link->send({peer.host, peer.port}, report);
    }
}

adapters::transferred_bytes peer_messenger::bytes() const
{
    if (!this->link) {
        return {};
    }
    const auto counts = this->link->counts();
    return {counts.received_bytes, counts.sent_bytes};
}

void peer_messenger::set_watch_mode()
{
    const auto wanted = this->share.mode(this->deps.loop.now());
    if (wanted != this->mode) {
        this->mode = wanted;
        this->deps.mirror.set_mode(wanted);
        adapters::log_change("watch_mode",
                             {{"mode", name_of(wanted)},
                              {"revision", std::to_string(this->deps.mirror.revision())}});
    }
}

void peer_messenger::forward_updates()
{
    const auto& mirror = this->deps.mirror;
    const bool forwards = this->link && this->mode == coordination::watch_mode::watcher &&
                          mirror.is_synchronized() &&
                          mirror.answered_at() != this->forwarded_answer;
    if (!forwards) {
        return;
    }
    const auto from = this->forwarded_revision == 0 ? mirror.revision() : this->forwarded_revision;
    auto updates = mirror.updates_after(from);
    if (!updates) {
        return;
    }
    auto forwarded = coordination::without_large_values(std::move(*updates));
    forwarded.age = this->deps.loop.now() - mirror.confirmed_at();
    forwarded.offers_values = true;
    this->forwarded_revision = forwarded.as_of;
    this->forwarded_answer = mirror.answered_at();
    std::size_t bytes = 0;
    for (const auto& entry : forwarded.entries) {
        bytes += entry.value.size();
    }
    for (const auto& peer : this->exchange.zone_peers()) {
        this->link->send({peer.host, peer.port}, forwarded);
        this->deps.counts.add("pearhaven_peer_news_bytes", {}, bytes);
    }
}

// Handles updates that a watching router forwards without being asked. They continue its previous
// ones. A router that missed some asks for the rest, unless it has to ask the store anyway. The
// updates themselves are valid in either case.
void peer_messenger::handle(const std::string& from, const adapters::peer_address& reply_to,
                            const coordination::mirror_update& updates)
{
    if (updates.nonce != 0) {
        this->update_mirror(from, updates);
        return;
    }
    const auto known = this->deps.mirror.revision();
    this->deps.mirror.on_peer_update(updates);
    this->deps.on_updates(from);
    if (updates.age >= decision::duration::zero()) {
        this->deps.mirror.on_peer_confirmed(updates.as_of, this->deps.loop.now() - updates.age);
    }
    if (updates.first_omitted != 0 && updates.offers_values) {
        this->ask_for_values(reply_to);
    }
    if (!updates.complete && updates.after > known && !this->deps.mirror.must_read_store()) {
        this->link->send(reply_to, coordination::mirror_pull{0, known});
        return;
    }
    this->share.on_watcher_update(updates.as_of, this->deps.mirror.revision(), updates.age,
                                  this->deps.loop.now());
}

// A router whose link is narrow would receive large values from the store for seconds, and
// endpoints' news and answers would be late for as long. It asks the store only if the watcher does
// not send them in time.
void peer_messenger::ask_for_values(const adapters::peer_address& watcher)
{
    const auto now = this->deps.loop.now();
    const bool is_needed = this->mode == coordination::watch_mode::follower &&
                           this->deps.mirror.must_read_store() && now >= this->values_asked_until;
    if (is_needed) {
        this->values_asked_until = now + this->settings.delays.value_patience;
        this->deps.mirror.expect_values_until(this->values_asked_until);
        this->link->send(watcher, this->exchange.make_value_pull(this->deps.mirror.revision()));
    }
}

// Handles updates that this router asked for. The store may have answered this router in the
// meantime: updates older than the mirror change nothing.
void peer_messenger::update_mirror(const std::string& from,
                                   const coordination::mirror_update& updates)
{
    if (!this->exchange.accepts_answer(updates)) {
        return;
    }
    if (updates.age >= decision::duration::zero()) {
        this->deps.mirror.on_peer_served_by_store(this->deps.loop.now() - updates.age);
    }
    if (updates.as_of <= this->deps.mirror.revision()) {
        return;
    }
    this->deps.counts.add("pearhaven_peer_news", {});
    adapters::log_change("heard_from_peer", {{"peer", from},
                                             {"revision", std::to_string(updates.as_of)},
                                             {"changes", std::to_string(updates.entries.size())},
                                             {"whole", updates.complete ? "true" : "false"}});
    this->deps.mirror.on_peer_update(updates);
    this->deps.on_updates(from);
}

void peer_messenger::send_values()
{
    const auto now = this->deps.loop.now();
    while (const auto next = this->values.next(now)) {
        auto update = this->deps.mirror.updates_after(next->pull.after);
        if (!update) {
            continue;
        }
        this->pack_large_values(*update);
        update->nonce = next->pull.nonce;
        update->age = now - this->deps.mirror.confirmed_at();
        std::size_t bytes = 0;
        for (const auto& item : update->packed_entries) {
            bytes += item.packed_value.size();
        }
        for (const auto& entry : update->entries) {
            bytes += entry.value.size();
        }
        this->values.on_sent(bytes, now);
        this->deps.counts.add("pearhaven_peer_value_bytes", {}, bytes);
        this->link->send({next->host, next->port}, std::move(*update));
    }
}

// Each value is packed once for all peers.
void peer_messenger::pack_large_values(coordination::mirror_update& update)
{
    std::vector<coordination::kv_entry> small;
    for (auto& entry : update.entries) {
        if (entry.value.size() < min_packed_bytes) {
            small.push_back(std::move(entry));
            continue;
        }
        auto& made = this->packed[entry.key];
        if (made.revision != entry.revision) {
            made = {entry.key, adapters::pack(entry.value), entry.revision};
        }
        update.packed_entries.push_back(made);
    }
    update.entries = std::move(small);
    std::erase_if(this->packed, [this](const auto& named) {
        return this->deps.mirror.entries().count(named.first) == 0;
    });
}

void peer_messenger::answer(const adapters::peer_address& to, const coordination::mirror_pull& pull)
{
    if (pull.accepts_packed) {
        this->values.add({to.host, to.port, pull}, this->deps.loop.now());
        this->send_values();
        return;
    }
    auto updates = this->deps.mirror.updates_after(pull.after);
    if (updates && this->link) {
        if (!pull.large) {
            updates = coordination::without_large_values(std::move(*updates));
        }
        updates->nonce = pull.nonce;
        updates->age = this->deps.loop.now() - this->deps.mirror.confirmed_at();
        this->link->send(to, *updates);
    }
}

} // namespace pearhaven::router
