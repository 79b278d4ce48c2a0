#ifndef PEARHAVEN_ADAPTERS_MESSAGE_BODY_HPP
#define PEARHAVEN_ADAPTERS_MESSAGE_BODY_HPP

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pearhaven::adapters {

// A sum of bytes that many owners hold.
class byte_count : public boost::intrusive_ref_counter<byte_count, boost::thread_unsafe_counter> {
public:
    [[nodiscard]] std::size_t value() const { return this->bytes; }

    // The largest value since the last reset.
    [[nodiscard]] std::size_t peak() const { return this->max_bytes; }
    void reset_peak() { this->max_bytes = this->bytes; }

private:
    friend class byte_charge;
    std::size_t bytes = 0;
    std::size_t max_bytes = 0;
};

// The bytes that one owner adds to a sum. They are subtracted when it is destroyed.
class byte_charge {
public:
    byte_charge() = default;
    explicit byte_charge(boost::intrusive_ptr<byte_count> sum) : total(std::move(sum)) {}
    ~byte_charge() { this->clear(); }
    byte_charge(byte_charge&& other) noexcept
        : total(std::move(other.total)), bytes(std::exchange(other.bytes, 0))
    {}
    byte_charge& operator=(byte_charge&& other) noexcept
    {
        if (this != &other) {
            this->clear();
            this->total = std::move(other.total);
            this->bytes = std::exchange(other.bytes, 0);
        }
        return *this;
    }
    byte_charge(const byte_charge&) = delete;
    byte_charge& operator=(const byte_charge&) = delete;

    // Replaces what this owner adds to the sum.
    void set(std::size_t now)
    {
        if (this->total) {
            this->total->bytes += now - std::exchange(this->bytes, now);
            this->total->max_bytes = std::max(this->total->max_bytes, this->total->bytes);
        }
    }

private:
    void clear() { this->set(0); }

    boost::intrusive_ptr<byte_count> total; // null: the bytes are not counted
    std::size_t bytes = 0;
};

// Bytes that arrive piece by piece, in blocks that never move. Growing one string would copy it
// again and again, and leave the heap full of the blocks that it has outgrown.
class byte_blocks {
public:
    byte_blocks() = default;
    explicit byte_blocks(std::string text)
    {
        if (!text.empty()) {
            this->bytes = text.size();
            this->allocated = text.capacity();
            this->list.push_back(std::move(text));
        }
    }

    void append(std::string_view piece)
    {
        this->bytes += piece.size();
        while (!piece.empty()) {
            if (this->list.empty() || this->list.back().size() == this->list.back().capacity()) {
                this->add_block(piece.size());
            }
            auto& last = this->list.back();
            const auto part = piece.substr(0, last.capacity() - last.size());
            last.append(part);
            piece.remove_prefix(part.size());
        }
    }

    [[nodiscard]] const std::vector<std::string>& blocks() const { return this->list; }
    [[nodiscard]] std::size_t size() const { return this->bytes; }
    [[nodiscard]] std::size_t allocated_bytes() const
    {
        return this->allocated + this->list.capacity() * sizeof(std::string);
    }

private:
    static constexpr std::size_t min_block = 512;
    static constexpr std::size_t max_block = 16U << 10U;

    // Blocks grow with what they hold, so that at most half of it is unused.
    void add_block(std::size_t wanted)
    {
        const auto size = std::clamp(std::max(wanted, this->allocated), min_block, max_block);
        this->list.emplace_back();
        this->list.back().reserve(size - 1); // the string adds a terminator
        this->allocated += size;
    }

    std::vector<std::string> list;
    std::size_t bytes = 0;
    std::size_t allocated = 0;
};

// The immutable body of a message. Copies share its bytes, which are freed, and no longer counted,
// with the last copy.
class message_body {
public:
    message_body() = default;
    explicit message_body(std::string text)
        : message_body(byte_blocks(std::move(text)), byte_charge(), byte_charge())
    {}

    // The charges are for the bytes of the body, and for the memory that they take.
    message_body(byte_blocks bytes, byte_charge bytes_charge, byte_charge memory_charge)
        : shared(bytes.size() == 0 ? nullptr
                                   : new content(std::move(bytes), std::move(bytes_charge),
                                                 std::move(memory_charge)))
    {}

    // A copy of all bytes.
    [[nodiscard]] std::string text() const
    {
        std::string all;
        all.reserve(this->size());
        for (const auto& block : this->blocks()) {
            all.append(block);
        }
        return all;
    }
    [[nodiscard]] const std::vector<std::string>& blocks() const
    {
        static const std::vector<std::string> none;
        return this->shared ? this->shared->bytes.blocks() : none;
    }
    [[nodiscard]] bool empty() const { return this->size() == 0; }
    [[nodiscard]] std::size_t size() const { return this->shared ? this->shared->bytes.size() : 0; }

    friend bool operator==(const message_body& left, const message_body& right)
    {
        return left.text() == right.text();
    }

private:
    struct content : boost::intrusive_ref_counter<content, boost::thread_unsafe_counter> {
        content(byte_blocks new_bytes, byte_charge new_bytes_charge, byte_charge new_memory_charge)
            : bytes(std::move(new_bytes)), bytes_charge(std::move(new_bytes_charge)),
              memory_charge(std::move(new_memory_charge))
        {}

        byte_blocks bytes;
        byte_charge bytes_charge;
        byte_charge memory_charge;
    };

    boost::intrusive_ptr<const content> shared; // null: empty
};

} // namespace pearhaven::adapters

#endif
