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
 * Reads the fields of one JSON object and records the first fault with the path of its field.
 *
 * Readers of nested objects share the error object of their parent. Reading a faulty field returns a default value; the
 * caller checks failed() once at the end. Thread safety: not thread safe.
 */
class JsonReader
{
public:
    /** @p error receives the first fault and must outlive the reader. */
    JsonReader(const Json &object, std::string path, ProtocolError &error);

    /** Whether this reader, or another one that shares its error object, has found a fault. */
    bool failed() const;

    /** Whether the field is present and not null. */
    bool has(const std::string &key) const;

    /** Returns a string of at most @p maximumBytes bytes; a missing field is a fault. */
    std::string requiredText(const std::string &key, std::size_t maximumBytes = MaximumTextBytes);
    /** Returns a string of at most @p maximumBytes bytes, or @p fallback when the field is missing. */
    std::string text(const std::string &key,
                     const std::string &fallback = {},
                     std::size_t maximumBytes = MaximumTextBytes);
    /** Returns an integer from @p minimum to @p maximum; a missing field is a fault. */
    std::int64_t requiredInteger(const std::string &key,
                                 std::int64_t minimum = 0,
                                 std::int64_t maximum = std::numeric_limits<std::int64_t>::max());
    /** Returns an integer from @p minimum to @p maximum, or @p fallback when the field is missing. */
    std::int64_t integer(const std::string &key,
                         std::int64_t fallback,
                         std::int64_t minimum = 0,
                         std::int64_t maximum = std::numeric_limits<std::int64_t>::max());
    /** Returns a Boolean, or @p fallback when the field is missing. */
    bool boolean(const std::string &key, bool fallback);

    /** Calls @p visit for each object in the list; a missing field counts as an empty list. */
    void forEachObject(const std::string &key, const std::function<void(JsonReader &)> &visit);
    /** Calls @p visit for each string in the list; a missing field counts as an empty list. */
    void forEachText(const std::string &key, const std::function<void(const std::string &)> &visit);
    /** Calls @p visit for the nested object; a missing field is a fault. */
    void requiredObject(const std::string &key, const std::function<void(JsonReader &)> &visit);

    /** Returns an id of the given strong type; a missing field is a fault. */
    template<typename Id>
    Id requiredId(const std::string &key)
    {
        return Id(requiredText(key));
    }

    /** Returns an id of the given strong type; empty when the field is missing. */
    template<typename Id>
    Id id(const std::string &key)
    {
        return Id(text(key));
    }

    /** Returns a quantity that is not negative; a missing field is a fault. */
    template<typename Unit>
    Unit requiredQuantity(const std::string &key)
    {
        return Unit(requiredInteger(key));
    }

    /** Records a fault at @p key, unless one was recorded before. */
    void fault(const std::string &key, const std::string &expected);

    /** Records a fault if the object has fields that were not read. For callers only; newer peers may send more fields.
     */
    void rejectUnknownFields();

    static constexpr std::size_t MaximumTextBytes = 64 * 1024;

private:
    const Json *find(const std::string &key);

    const Json *m_object;
    std::string m_path;
    ProtocolError *m_error;
    std::set<std::string> m_readKeys;
};

/** Parses JSON text of at most @p maximumBytes bytes. Thread safety: any thread. */
std::optional<Json> parseJson(std::string_view text, std::size_t maximumBytes, ProtocolError &error);

/** Limit on the size in bytes of a message between processes of corianderscale or with an external system. */
inline constexpr std::size_t MaximumMessageBytes = 8 * 1024 * 1024;

/**
 * Decodes a message type with a static `fromJson(JsonReader &)` from parsed JSON.
 *
 * Returns no value and sets @p error when a field is missing or invalid.
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

/** Decodes a message from JSON text; see decodeJson(). */
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
