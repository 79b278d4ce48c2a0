#ifndef PEARHAVEN_ADAPTERS_SRC_DEADLINE_INDEX_HPP
#define PEARHAVEN_ADAPTERS_SRC_DEADLINE_INDEX_HPP

#include <boost/intrusive/set.hpp>

#include <chrono>
#include <optional>

namespace pearhaven::adapters {

using monotonic_time = std::chrono::steady_clock::time_point;

// Base class of objects with a deadline that may move. The index stores only the time of the next
// check.
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

// Orders objects by the time of their next check. A deadline that moves later, as with each byte
// received, needs no call: the check finds the deadline in the future and arms the object again.
class deadline_index {
public:
    // Ensures that the object is checked no later than `deadline`.
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

    // Removes and returns one object whose check is due, or null if there is none.
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
