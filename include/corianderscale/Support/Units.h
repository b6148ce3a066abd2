#pragma once

#include <compare>
#include <cstdint>

namespace coriander {

/**
 * A signed integer quantity of one unit. Arithmetic is possible only between values of the same unit.
 *
 * Thread safety: a value type.
 */
template<typename Tag>
class Quantity
{
public:
    constexpr Quantity() = default;

    constexpr explicit Quantity(std::int64_t count)
        : m_count(count)
    {
    }

    /** The number without its unit. */
    constexpr std::int64_t count() const
    {
        return m_count;
    }

    constexpr auto operator<=>(const Quantity &) const = default;

    constexpr Quantity operator+(Quantity other) const
    {
        return Quantity(m_count + other.m_count);
    }

    constexpr Quantity operator-(Quantity other) const
    {
        return Quantity(m_count - other.m_count);
    }

    constexpr Quantity operator*(std::int64_t factor) const
    {
        return Quantity(m_count * factor);
    }

    constexpr Quantity &operator+=(Quantity other)
    {
        m_count += other.m_count;
        return *this;
    }

    constexpr Quantity &operator-=(Quantity other)
    {
        m_count -= other.m_count;
        return *this;
    }

private:
    std::int64_t m_count = 0;
};

/** Whole accelerators. */
using Accelerators = Quantity<struct AcceleratorsTag>;
/** Thousandths of a processor core. */
using MilliCores = Quantity<struct MilliCoresTag>;
/** Memory in MiB. */
using MemoryMib = Quantity<struct MemoryMibTag>;
/** Ownership epoch of a data centre; increases with each change of owner. */
using Epoch = Quantity<struct EpochTag>;
/** Version of a row of the table service; 0 means that the row is absent. */
using RowVersion = Quantity<struct RowVersionTag>;
/** Version of an environment's document; 0 means none. */
using DocumentVersion = Quantity<struct DocumentVersionTag>;

} // namespace coriander
