#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace coriander {

/**
 * A string identifier with a distinct type for each kind of object, so that ids of different kinds cannot be mixed up.
 *
 * Thread safety: a value type; distinct objects may be used from different threads.
 */
template<typename Tag>
class StrongId
{
public:
    StrongId() = default;

    /** Accepts any string; the parsers of messages and documents check it with isValidName(). */
    explicit StrongId(std::string value)
        : m_value(std::move(value))
    {
    }

    /** The text of the identifier. */
    const std::string &value() const
    {
        return m_value;
    }

    /** Whether no identifier has been set. */
    bool empty() const
    {
        return m_value.empty();
    }

    auto operator<=>(const StrongId &) const = default;

    friend std::ostream &operator<<(std::ostream &stream, const StrongId &id)
    {
        return stream << id.m_value;
    }

private:
    std::string m_value;
};

using DataCentreId = StrongId<struct DataCentreTag>;
using RackId = StrongId<struct RackTag>;
using WorkerId = StrongId<struct WorkerTag>;
using EndpointId = StrongId<struct EndpointTag>;
/** One run of a daemon; a restarted daemon has a new instance id. */
using InstanceId = StrongId<struct InstanceTag>;
using OrganisationId = StrongId<struct OrganisationTag>;
using CallerId = StrongId<struct CallerTag>;
using JobId = StrongId<struct JobTag>;
using TaskId = StrongId<struct TaskTag>;
using AttemptId = StrongId<struct AttemptTag>;
/** Chosen by the caller; unique per organisation and caller. */
using RequestKey = StrongId<struct RequestKeyTag>;
using ServiceName = StrongId<struct ServiceTag>;
/** Identifies one write to the table service, so that its outcome can be looked up. */
using OperationId = StrongId<struct OperationTag>;

/**
 * Whether @p text is a valid name: `[a-z0-9][a-z0-9-]{0,62}`.
 *
 * Thread safety: pure function.
 */
bool isValidName(std::string_view text);

/**
 * Returns @p bytes random bytes from the operating system as lower-case hexadecimal digits.
 *
 * Thread safety: may be called from any thread.
 */
std::string randomHex(std::size_t bytes);

} // namespace coriander

template<typename Tag>
struct std::hash<coriander::StrongId<Tag>> {
    std::size_t operator()(const coriander::StrongId<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value());
    }
};
