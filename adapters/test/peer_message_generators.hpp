#ifndef PEARHAVEN_ADAPTERS_TEST_PEER_MESSAGE_GENERATORS_HPP
#define PEARHAVEN_ADAPTERS_TEST_PEER_MESSAGE_GENERATORS_HPP

#include "peer_codec.hpp"

#include <rapidcheck.h>

namespace pearhaven::adapters::test {

// Generates messages of every type from the random source of the current property.
class message_source {
public:
    static peer_envelope envelope()
    {
        return {text(), {text(), *rc::gen::arbitrary<std::uint16_t>()}, message()};
    }

    static coordination::peer_message message()
    {
        using namespace coordination;
        switch (*rc::gen::inRange(0, 12)) {
        case 0:
            return probe{number(), text(), few(&message_source::one_member)};
        case 1:
            return probe_reply{number(), few(&message_source::one_member)};
        case 2:
            return config_pull{number(), number()};
        case 3:
            return config_update{
                number(),  number(), time(), number() % 2 == 0, few(&message_source::one_change),
                snapshot()};
        case 4:
            return bill_copy{text(), number(), few(&message_source::one_bill)};
        case 5:
            return bill_copy_ack{text(), number()};
        case 6:
            return bill_copy_drop{text(), number()};
        case 7:
            return load_push{few(&message_source::one_load)};
        case 8:
            return mirror_pull{number(), number(), number() % 2 == 0, number() % 2 == 0};
        case 9:
            return mirror_update{number(),          number(),
                                 number() % 2 == 0, few(&message_source::one_entry),
                                 number(),          time(),
                                 number(),          few(&message_source::one_packed_entry),
                                 number() % 2 == 0};
        case 10:
            return run_report{few(&message_source::one_lost_run), numbers(),
                              few(&message_source::one_lost_prompt),
                              few(&message_source::one_answered_prompt)};
        default:
            return fact_push{few(&message_source::one_fact)};
        }
    }

private:
    static std::string text() { return *rc::gen::arbitrary<std::string>(); }
    static std::uint64_t number() { return *rc::gen::arbitrary<std::uint64_t>(); }
    static double real() { return *rc::gen::arbitrary<double>(); }
    static std::uint16_t port() { return *rc::gen::arbitrary<std::uint16_t>(); }
    static decision::duration time()
    {
        return decision::duration(*rc::gen::arbitrary<std::int64_t>());
    }

    template <class Element>
    static std::vector<Element> few(Element (*make)())
    {
        std::vector<Element> elements(static_cast<std::size_t>(*rc::gen::inRange(0, 4)));
        for (Element& element : elements) {
            element = make();
        }
        return elements;
    }

    static coordination::packed_entry one_packed_entry() { return {text(), text(), number()}; }

    static coordination::member one_member()
    {
        const auto state = static_cast<coordination::member_state>(*rc::gen::inRange(0, 4));
        return {text(), text(), port(), port(), text(), number(), state, number()};
    }

    static coordination::config_object one_object() { return {text(), text(), text()}; }

    static coordination::config_change one_change()
    {
        return {number(), text(), text(), number(), few(&message_source::one_object)};
    }

    static std::vector<coordination::config_snapshot> snapshot()
    {
        if (number() % 2 == 0) {
            return {};
        }
        return {{number(), few(&message_source::one_object)}};
    }

    static coordination::bill one_bill()
    {
        return {text(), text(), text(), text(), number(), number(), number(), real()};
    }

    static decision::endpoint_load one_load()
    {
        return {text(),
                *rc::gen::arbitrary<std::uint32_t>(),
                real(),
                number(),
                *rc::gen::arbitrary<std::vector<std::uint64_t>>(),
                *rc::gen::arbitrary<std::uint32_t>(),
                number() % 2 == 0,
                one_limit(),
                one_limit(),
                one_room()};
    }

    static std::optional<decision::limit_report> one_limit()
    {
        const auto kind = *rc::gen::inRange(0, 3);
        const decision::duration age(*rc::gen::inRange<std::int64_t>(0, std::int64_t{1} << 40U));
        return kind == 0   ? std::nullopt
               : kind == 1 ? std::make_optional(decision::limit_report{std::nullopt, age})
                           : std::make_optional(decision::limit_report{0.5, age});
    }

    static std::optional<decision::room_report> one_room()
    {
        const decision::duration age(*rc::gen::inRange<std::int64_t>(0, std::int64_t{1} << 40U));
        return number() % 2 == 0 ? std::nullopt
                                 : std::make_optional(decision::room_report{4.5, age});
    }

    static decision::lost_run one_lost_run() { return {number(), text(), number(), time()}; }

    static std::vector<std::uint64_t> numbers()
    {
        return *rc::gen::arbitrary<std::vector<std::uint64_t>>();
    }

    static decision::lost_prompt one_lost_prompt()
    {
        const decision::duration age(*rc::gen::inRange<std::int64_t>(0, std::int64_t{1} << 40U));
        return {number(), numbers(), text(), number(), age, number() % 2 == 0};
    }

    static decision::answered_prompt one_answered_prompt()
    {
        return {number(), numbers(), text(), number()};
    }

    static coordination::kv_entry one_entry() { return {text(), text(), number()}; }

    static coordination::fact one_fact()
    {
        const auto kind = static_cast<coordination::fact_kind>(*rc::gen::inRange(0, 5));
        return {kind, text(), text(), number(), real(), time()};
    }
};

} // namespace pearhaven::adapters::test

#endif
