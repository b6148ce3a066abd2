#pragma once

#include "corianderscale/Support/Error.h"
#include "corianderscale/Support/StrongId.h"
#include "corianderscale/Support/Units.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace coriander {

using Json = nlohmann::json;

/**
 * Reads the fields of one JSON object and keeps the first fault with the path of its field.
 *
 * Readers of nested objects share the fault of their parent. Reading a faulty field returns a default value; the
 * caller checks failed() once at the end. Thread safety: not thread safe.
 */
class JsonReader
{
public:
    /** @p error receives the first fault and must outlive the reader. */
    JsonReader(const Json &object, std::string path, ProtocolError &error);

    /** Whether any reader that shares the error has met a fault. */
    bool failed() const;

    /** Whether the field is present and not null. */
    bool has(const std::string &key) const;

    /** Text of at most @p mostBytes; a missing field is a fault. */
    std::string requiredText(const std::string &key, std::size_t mostBytes = MaximumTextBytes);
    /** Text, or @p fallback when the field is missing. */
    std::string text(const std::string &key,
                     const std::string &fallback = {},
                     std::size_t mostBytes = MaximumTextBytes);
    /** Whole number in a range; a missing field is a fault. */
    std::int64_t requiredInteger(const std::string &key,
                                 std::int64_t least = 0,
                                 std::int64_t most = std::numeric_limits<std::int64_t>::max());
    /** Whole number in a range, or @p fallback when the field is missing. */
    std::int64_t integer(const std::string &key,
                         std::int64_t fallback,
                         std::int64_t least = 0,
                         std::int64_t most = std::numeric_limits<std::int64_t>::max());
    /** Truth value, or @p fallback when the field is missing. */
    bool boolean(const std::string &key, bool fallback);

    /** Calls @p visit for each object of the list; a missing field is an empty list. */
    void forEachObject(const std::string &key, const std::function<void(JsonReader &)> &visit);
    /** Calls @p visit for each text of the list; a missing field is an empty list. */
    void forEachText(const std::string &key, const std::function<void(const std::string &)> &visit);
    /** Calls @p visit for the nested object; a missing field is a fault. */
    void requiredObject(const std::string &key, const std::function<void(JsonReader &)> &visit);

    /** A required id of the given strong type. */
    template<typename Id>
    Id requiredId(const std::string &key)
    {
        return Id(requiredText(key));
    }

    /** An id of the given strong type; empty when the field is missing. */
    template<typename Id>
    Id id(const std::string &key)
    {
        return Id(text(key));
    }

    /** A required quantity that is not negative. */
    template<typename Unit>
    Unit requiredQuantity(const std::string &key)
    {
        return Unit(requiredInteger(key));
    }

    /** Reports a fault at @p key, unless one was reported before. */
    void fault(const std::string &key, const std::string &expected);

    /** Makes fields that were not read a fault. For input of callers; peers may send newer fields. */
    void rejectUnknownFields();

    static constexpr std::size_t MaximumTextBytes = 64 * 1024;

private:
    const Json *find(const std::string &key);

    const Json *m_object;
    std::string m_path;
    ProtocolError *m_error;
    std::set<std::string> m_known;
};

/** Parses JSON text of at most @p mostBytes. Thread safety: any thread. */
std::optional<Json> parseJson(std::string_view text, std::size_t mostBytes, ProtocolError &error);

/** The most bytes a message between our processes or with an outside system may have. */
inline constexpr std::size_t MaximumMessageBytes = 8 * 1024 * 1024;

/**
 * Reads a message type with a static `fromJson(JsonReader &)` from an already parsed value.
 *
 * Returns no value and fills @p error when a field is missing or wrong.
 */
template<typename Message>
std::optional<Message> decodeJson(const Json &json, ProtocolError &error)
{
    error = {};
    JsonReader reader(json, {}, error);
    Message message = Message::fromJson(reader);
    if (reader.failed()) {
        return std::nullopt;
    }
    return message;
}

/** Reads a message from JSON text; see above. */
template<typename Message>
std::optional<Message> decodeMessage(std::string_view text, ProtocolError &error)
{
    const std::optional<Json> json = parseJson(text, MaximumMessageBytes, error);
    if (!json) {
        return std::nullopt;
    }
    return decodeJson<Message>(*json, error);
}

/** Returns the JSON text of a message type with `toJson()`. */
template<typename Message>
std::string encodeMessage(const Message &message)
{
    return message.toJson().dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace coriander
