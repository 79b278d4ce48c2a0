#ifndef PEARHAVEN_STANDINS_HOLD_HPP
#define PEARHAVEN_STANDINS_HOLD_HPP

#include <atomic>
#include <chrono>
#include <functional>
#include <thread>

namespace pearhaven::standins {

// Leaves calls unanswered while a behaviour requires it. CivetWeb does not notify a handler when
// its caller disconnects, so held calls would eventually occupy every thread, including those
// needed for /control/, and the behaviour could never be turned off. A call is therefore abandoned
// after a timeout, or immediately if too many are held: its connection closes without an answer.
class call_holder {
public:
    // `threads`: thread count of the server. A few of them are kept free.
    explicit call_holder(unsigned threads)
        : limit(threads > reserved_threads ? threads - reserved_threads : 0)
    {}

    // Returns when the condition no longer holds or the call is abandoned.
    void hold_while(const std::function<bool()>& condition)
    {
        if (this->held.fetch_add(1) < this->limit) {
            const auto end = std::chrono::steady_clock::now() + max_hold;
            while (condition() && std::chrono::steady_clock::now() < end) {
                std::this_thread::sleep_for(poll_period);
            }
        }
        this->held.fetch_sub(1);
    }

private:
    static constexpr unsigned reserved_threads = 32;
    static constexpr std::chrono::milliseconds poll_period{20};
    static constexpr std::chrono::seconds max_hold{600};

    unsigned limit;
    std::atomic<unsigned> held{0};
};

} // namespace pearhaven::standins

#endif
