#ifndef PEARHAVEN_COORDINATION_CONFIG_HEAD_HPP
#define PEARHAVEN_COORDINATION_CONFIG_HEAD_HPP

#include "pearhaven/coordination/peer_message.hpp"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pearhaven::coordination {

inline constexpr std::string_view config_head_key = "config/head";
inline constexpr std::string_view config_page_prefix = "config/page/";

// The single value that every accepted change goes through, which gives all changes a total order.
// The configuration is the snapshot in the pages, at `snapshot_revision`, with every later change
// applied to it. `changes` always holds all of those, and older ones while there is room.
struct config_head {
    std::uint64_t revision = 0;
    std::string write_id;
    std::vector<config_change> changes; // oldest first, without gaps, up to `revision`
    std::vector<std::string> pages;     // keys of the snapshot's pages
    std::uint64_t snapshot_revision = 0;

    friend bool operator==(const config_head&, const config_head&) = default;
};

// Port to the stored form of the head and of the snapshot's pages. Pure and deterministic: equal
// values give equal text, since pages are named by a hash of their content.
class config_head_codec {
public:
    virtual ~config_head_codec() = default;
    [[nodiscard]] virtual std::string write_head(const config_head& head) const = 0;
    [[nodiscard]] virtual std::optional<config_head> read_head(std::string_view text) const = 0;
    [[nodiscard]] virtual std::string
    write_page(const std::vector<config_object>& objects) const = 0;
    [[nodiscard]] virtual std::optional<std::vector<config_object>>
    read_page(std::string_view text) const = 0;
};

// All objects at one revision, sorted by kind and name. Immutable and reference-counted.
class config_state : public boost::intrusive_ref_counter<config_state> {
public:
    config_state() = default;

    // The objects need not be sorted; of two with the same kind and name the later one is kept.
    config_state(std::uint64_t revision, const std::vector<config_object>& objects);

    [[nodiscard]] std::uint64_t revision() const { return this->revision_number; }
    [[nodiscard]] const std::vector<config_object>& objects() const { return this->object_list; }

    // Null if there is no such object.
    [[nodiscard]] const config_object* find(std::string_view kind, std::string_view name) const;

    // The state with the changes applied that follow this revision, in order. Stops before a gap:
    // the revision of the result shows how many changes were applied.
    [[nodiscard]] boost::intrusive_ptr<const config_state>
    after(const std::vector<config_change>& changes) const;

private:
    std::uint64_t revision_number = 0;
    std::vector<config_object> object_list;
};

using config_state_ptr = boost::intrusive_ptr<const config_state>;

// Assembles the state of a head from its snapshot's pages as they arrive.
class snapshot_assembly {
public:
    explicit snapshot_assembly(config_head head) : target(std::move(head)) {}

    [[nodiscard]] const config_head& head() const { return this->target; }

    // A later head with the same snapshot can replace the first.
    void set_head(config_head later) { this->target = std::move(later); }

    void add_page(const std::string& key, std::vector<config_object> objects);
    [[nodiscard]] bool is_complete() const;

    // The state at the head's revision. Lower only where the head's changes have a gap.
    [[nodiscard]] config_state_ptr build() const;

private:
    config_head target;
    std::map<std::string, std::vector<config_object>> pages;
};

} // namespace pearhaven::coordination

#endif
