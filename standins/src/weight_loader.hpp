#ifndef PEARHAVEN_STANDINS_WEIGHT_LOADER_HPP
#define PEARHAVEN_STANDINS_WEIGHT_LOADER_HPP

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace pearhaven::standins {

// Reads the weights of versions from the weight store, one at a time, on its own thread. A read
// that is refused or not answered is retried every second.
class weight_loader {
public:
    using loaded_hook = std::function<void(const std::string& version)>;

    // The hook runs on the loader's thread.
    weight_loader(std::string store_address, loaded_hook loaded);
    ~weight_loader();

    weight_loader(const weight_loader&) = delete;
    weight_loader& operator=(const weight_loader&) = delete;

    void start_read(const std::string& version);

    // Cancels a read that has not completed.
    void cancel_read(const std::string& version);

    // Number of reads that the store refused or did not answer.
    [[nodiscard]] std::uint64_t failures() const;

private:
    void run();

    const std::string store;
    const loaded_hook on_loaded;
    mutable std::mutex mutex; // guards everything below
    std::condition_variable changed;
    std::set<std::string> pending;
    std::uint64_t failed = 0;
    bool stopping = false;
    std::thread thread; // last: uses the members above
};

} // namespace pearhaven::standins

#endif
