#ifndef PEARHAVEN_ADAPTERS_SRC_DEADLINE_INDEX_HPP
#define PEARHAVEN_ADAPTERS_SRC_DEADLINE_INDEX_HPP

#include <boost/intrusive/set.hpp>

#include <chrono>
#include <optional>

namespace pearhaven::adapters {

using monotonic_time = std::chrono::steady_clock::time_point;

// Base of what has a deadline that moves. The index knows only the time at which to look next.
class with_deadline : public boost::intrusive::set_base_hook<> {
public:
    friend bool operator<(const with_deadline& left, const with_deadline& right)
    {
        return left.next_check < right.next_check;
    }

private:
    friend class deadline_index;
    monotonic_time next_check;
};

// Orders objects by when to look at them next. A deadline that moves later, as with each byte that
// arrives, needs no call: the look finds it in the future and arms it again.
class deadline_index {
public:
    // Makes sure that the object is looked at no later than the deadline.
    void arm(with_deadline& object, monotonic_time deadline)
    {
        if (object.is_linked()) {
            if (object.next_check <= deadline) {
                return;
            }
            this->disarm(object);
        }
        object.next_check = deadline;
        this->order.insert(object);
    }

    void disarm(with_deadline& object)
    {
        if (object.is_linked()) {
            this->order.erase(this->order.iterator_to(object));
        }
    }

    [[nodiscard]] std::optional<monotonic_time> next() const
    {
        if (this->order.empty()) {
            return std::nullopt;
        }
        return this->order.begin()->next_check;
    }

    // Takes out one object whose time to look has come; null when there is none.
    with_deadline* take_due(monotonic_time now)
    {
        if (this->order.empty() || this->order.begin()->next_check > now) {
            return nullptr;
        }
        with_deadline& first = *this->order.begin();
        this->disarm(first);
        return &first;
    }

private:
    boost::intrusive::multiset<with_deadline> order;
};

} // namespace pearhaven::adapters

#endif
