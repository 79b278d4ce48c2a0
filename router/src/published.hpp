#ifndef PEARHAVEN_ROUTER_PUBLISHED_HPP
#define PEARHAVEN_ROUTER_PUBLISHED_HPP

#include <mutex>
#include <utility>

namespace pearhaven::router {

// The latest value written by one thread and read by many.
template <class Value>
class published {
public:
    void set(Value value)
    {
        const std::lock_guard guard(this->mutex);
        this->latest = std::move(value);
    }

    [[nodiscard]] Value get() const
    {
        const std::lock_guard guard(this->mutex);
        return this->latest;
    }

private:
    mutable std::mutex mutex;
    Value latest{};
};

} // namespace pearhaven::router

#endif
