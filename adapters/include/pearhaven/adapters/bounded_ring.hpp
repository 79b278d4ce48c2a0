#ifndef PEARHAVEN_ADAPTERS_BOUNDED_RING_HPP
#define PEARHAVEN_ADAPTERS_BOUNDED_RING_HPP

#include <boost/circular_buffer.hpp>

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>

namespace pearhaven::adapters {

// A bounded queue between two threads: one pushes, the other pops. The capacity bounds the memory
// used when the consumer is slow. A closed ring accepts no more items and still returns those it
// holds.
template <class Item>
class bounded_ring {
public:
    explicit bounded_ring(std::size_t capacity) : items(capacity) {}

    // Returns false when the ring is full or closed; the item is then unchanged.
    [[nodiscard]] bool try_push(Item& item)
    {
        {
            const std::lock_guard guard(this->mutex);
            if (this->closed || this->items.full()) {
                return false;
            }
            this->items.push_back(std::move(item));
        }
        this->not_empty.notify_one();
        return true;
    }

    // Waits for free space. Returns false when the ring was closed before the item could be added.
    [[nodiscard]] bool push(Item item)
    {
        {
            std::unique_lock guard(this->mutex);
            this->not_full.wait(guard, [this] { return this->closed || !this->items.full(); });
            if (this->closed) {
                return false;
            }
            this->items.push_back(std::move(item));
        }
        this->not_empty.notify_one();
        return true;
    }

    // Waits for an item for at most `wait`. Returns nothing after that time, or when the ring is
    // closed and empty.
    template <class Rep, class Period>
    [[nodiscard]] std::optional<Item> pop_for(std::chrono::duration<Rep, Period> wait)
    {
        std::optional<Item> item;
        {
            std::unique_lock guard(this->mutex);
            this->not_empty.wait_for(guard, wait,
                                     [this] { return this->closed || !this->items.empty(); });
            if (this->items.empty()) {
                return item;
            }
            item.emplace(std::move(this->items.front()));
            this->items.pop_front();
        }
        this->not_full.notify_one();
        return item;
    }

    void close()
    {
        {
            const std::lock_guard guard(this->mutex);
            this->closed = true;
        }
        this->not_empty.notify_all();
        this->not_full.notify_all();
    }

    [[nodiscard]] bool is_closed_and_empty() const
    {
        const std::lock_guard guard(this->mutex);
        return this->closed && this->items.empty();
    }

    [[nodiscard]] std::size_t size() const
    {
        const std::lock_guard guard(this->mutex);
        return this->items.size();
    }

private:
    mutable std::mutex mutex;
    std::condition_variable not_empty;
    std::condition_variable not_full;
    boost::circular_buffer<Item> items;
    bool closed = false;
};

} // namespace pearhaven::adapters

#endif
