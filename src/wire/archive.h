// Bounded cereal archives for messages.
//
// cereal allocates whatever size it reads: a malformed frame that claims 4 billion elements would exhaust memory.
// Reader checks every size against the schema's limit and against the remaining bytes before it allocates, so that
// memory use stays within a small multiple of the frame's size.
#pragma once

#include "base/ids.h"

#include <cereal/archives/portable_binary.hpp>

#include <istream>
#include <ostream>
#include <streambuf>
#include <string>
#include <string_view>
#include <vector>

namespace Parsleytrail
{

/// Stream buffer that appends to a string.
class StringOutput final : public std::streambuf
{
public:
    explicit StringOutput(std::string &out)
        : m_out(out)
    {
    }

protected:
    std::streamsize xsputn(const char *bytes, std::streamsize size) override
    {
        m_out.append(bytes, static_cast<std::size_t>(size));
        return size;
    }
    int_type overflow(int_type c) override
    {
        m_out.push_back(static_cast<char>(c));
        return c;
    }

private:
    std::string &m_out;
};

/// Read-only stream buffer over bytes that it does not own.
class StringInput final : public std::streambuf
{
public:
    explicit StringInput(std::string_view bytes)
    {
        char *begin = const_cast<char *>(bytes.data());
        setg(begin, begin, begin + bytes.size());
    }
    std::size_t remainingBytes() const
    {
        return static_cast<std::size_t>(egptr() - gptr());
    }
};

constexpr std::size_t maxNameBytes = 256;      ///< limit of each id and name in a message
constexpr std::size_t maxListItemBytes = 1024; ///< limit of each string in a list

/// Encodes the fields of a message.
class Writer
{
public:
    explicit Writer(std::string &out)
        : m_buffer(out)
        , m_stream(&m_buffer)
        , m_archive(m_stream)
    {
    }

    template<typename Rep>
    void value(Rep number) requires std::is_arithmetic_v<Rep>
    {
        m_archive(number);
    }
    void value(const std::string &text, std::size_t limit)
    {
        writeSize(text.size(), limit);
        m_archive(cereal::binary_data(text.data(), text.size()));
    }
    template<typename Tag>
    void value(const Name<Tag> &name)
    {
        value(name.value, maxNameBytes);
    }
    template<typename Tag, typename Rep>
    void value(const Number<Tag, Rep> &number)
    {
        value(number.value);
    }
    template<typename Enum>
    void enumeration(Enum item)
    {
        value(static_cast<std::uint8_t>(item));
    }
    template<typename Rep>
    void numbers(const std::vector<Rep> &items, std::size_t limit)
    {
        writeSize(items.size(), limit);
        m_archive(cereal::binary_data(items.data(), items.size() * sizeof(Rep)));
    }
    void list(const std::vector<std::string> &items, std::size_t limit)
    {
        writeSize(items.size(), limit);
        for (const std::string &item : items) {
            value(item, maxListItemBytes);
        }
    }
    template<typename Item>
    void list(const std::vector<Item> &items, std::size_t limit)
    {
        writeSize(items.size(), limit);
        for (const Item &item : items) {
            writeStruct(*this, item);
        }
    }
    /// Whether all sizes were within the limits that Reader checks, so that the message can be decoded.
    bool isWithinLimits() const
    {
        return m_isWithinLimits;
    }

private:
    void writeSize(std::size_t count, std::size_t limit)
    {
        m_isWithinLimits = m_isWithinLimits && count <= limit;
        m_archive(static_cast<std::uint32_t>(count));
    }

    bool m_isWithinLimits = true;
    StringOutput m_buffer;
    std::ostream m_stream;
    cereal::PortableBinaryOutputArchive m_archive;
};

/// Decodes the fields of a message; throws cereal::Exception on malformed input and on sizes over a limit.
class Reader
{
public:
    explicit Reader(std::string_view bytes)
        : m_buffer(bytes)
        , m_stream(&m_buffer)
        , m_archive(m_stream)
    {
    }

    template<typename Rep>
    void value(Rep &number) requires(std::is_arithmetic_v<Rep> && !std::is_same_v<Rep, bool>)
    {
        m_archive(number);
    }
    void value(bool &flag)
    {
        // A bool whose bit pattern is neither 0 nor 1 is undefined behaviour when it is used.
        std::uint8_t raw = 0;
        m_archive(raw);
        require(raw <= 1);
        flag = raw == 1;
    }
    void value(std::string &text, std::size_t limit)
    {
        text.resize(readSize(limit, 1));
        m_archive(cereal::binary_data(text.data(), text.size()));
    }
    template<typename Tag>
    void value(Name<Tag> &name)
    {
        value(name.value, maxNameBytes);
    }
    template<typename Tag, typename Rep>
    void value(Number<Tag, Rep> &number)
    {
        m_archive(number.value);
    }
    template<typename Enum>
    void enumeration(Enum &item, Enum last)
    {
        std::uint8_t raw = 0;
        m_archive(raw);
        require(raw <= static_cast<std::uint8_t>(last));
        item = static_cast<Enum>(raw);
    }
    template<typename Rep>
    void numbers(std::vector<Rep> &items, std::size_t limit)
    {
        items.resize(readSize(limit, sizeof(Rep)));
        m_archive(cereal::binary_data(items.data(), items.size() * sizeof(Rep)));
    }
    void list(std::vector<std::string> &items, std::size_t limit)
    {
        items.resize(readSize(limit, sizeof(std::uint32_t)));
        for (std::string &item : items) {
            value(item, maxListItemBytes);
        }
    }
    template<typename Item>
    void list(std::vector<Item> &items, std::size_t limit)
    {
        // Every struct of the schema is encoded in at least 8 bytes.
        items.resize(readSize(limit, 2 * sizeof(std::uint32_t)));
        for (Item &item : items) {
            readStruct(*this, item);
        }
    }

private:
    /// Reads an element count; throws if it exceeds the limit or what the remaining bytes can hold.
    std::size_t readSize(std::size_t limit, std::size_t minItemBytes)
    {
        std::uint32_t count = 0;
        m_archive(count);
        require(count <= limit && count <= m_buffer.remainingBytes() / minItemBytes);
        return count;
    }
    static void require(bool condition)
    {
        if (!condition) {
            throw cereal::Exception("message over a limit");
        }
    }

    StringInput m_buffer;
    std::istream m_stream;
    cereal::PortableBinaryInputArchive m_archive;
};

/// Runs `read` with a Reader over `bytes`. Returns false if the bytes are malformed or exceed a limit.
template<typename Read>
bool decodeGuarded(std::string_view bytes, Read &&read)
{
    try {
        Reader reader(bytes);
        read(reader);
        return true;
    } catch (const cereal::Exception &) {
        return false;
    }
}

} // namespace Parsleytrail
