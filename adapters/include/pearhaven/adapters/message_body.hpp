#ifndef PEARHAVEN_ADAPTERS_MESSAGE_BODY_HPP
#define PEARHAVEN_ADAPTERS_MESSAGE_BODY_HPP

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstddef>
#include <string>
#include <utility>

namespace pearhaven::adapters {

// A sum of bytes that many owners hold.
class byte_count : public boost::intrusive_ref_counter<byte_count, boost::thread_unsafe_counter> {
public:
    [[nodiscard]] std::size_t value() const { return this->bytes; }

private:
    friend class byte_charge;
    std::size_t bytes = 0;
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

    void add(std::size_t more)
    {
        if (this->total) {
            this->total->bytes += more;
            this->bytes += more;
        }
    }

private:
    void clear()
    {
        if (this->total) {
            this->total->bytes -= std::exchange(this->bytes, 0);
        }
    }

    boost::intrusive_ptr<byte_count> total; // null: the bytes are not counted
    std::size_t bytes = 0;
};

// The immutable body of a message. Copies share its bytes, which are freed, and no longer counted,
// with the last copy.
class message_body {
public:
    message_body() = default;
    explicit message_body(std::string text) : message_body(std::move(text), byte_charge()) {}
    message_body(std::string text, byte_charge charge)
        : shared(text.empty() ? nullptr : new content(std::move(text), std::move(charge)))
    {}

    [[nodiscard]] const std::string& text() const
    {
        static const std::string none;
        return this->shared ? this->shared->text : none;
    }
    [[nodiscard]] bool empty() const { return this->text().empty(); }
    [[nodiscard]] std::size_t size() const { return this->text().size(); }

    friend bool operator==(const message_body& left, const message_body& right)
    {
        return left.text() == right.text();
    }

private:
    struct content : boost::intrusive_ref_counter<content, boost::thread_unsafe_counter> {
        content(std::string new_text, byte_charge new_charge)
            : text(std::move(new_text)), charge(std::move(new_charge))
        {}

        std::string text;
        byte_charge charge;
    };

    boost::intrusive_ptr<const content> shared; // null: empty
};

} // namespace pearhaven::adapters

#endif
