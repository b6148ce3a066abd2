#include "corianderscale/Protocol/JsonReader.h"

#include <fmt/format.h>

namespace coriander {

namespace {

/** Limit on nesting levels; the JSON parser and the destructor of its values recurse, so the stack could overflow. */
constexpr int MaximumDepth = 32;

bool isWithinMaximumDepth(std::string_view text)
{
    int depth = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (inString) {
            if (c == '\\') {
                ++i;
            } else if (c == '"') {
                inString = false;
            }
            continue;
        }
        if (c == '"') {
            inString = true;
        } else if (c == '{' || c == '[') {
            if (++depth > MaximumDepth) {
                return false;
            }
        } else if (c == '}' || c == ']') {
            --depth;
        }
    }
    return true;
}

} // namespace

JsonReader::JsonReader(const Json &object, std::string path, ProtocolError &error)
    : m_object(&object)
    , m_path(std::move(path))
    , m_error(&error)
{
    if (!object.is_object()) {
        fault({}, "expected an object");
    }
}

bool JsonReader::failed() const
{
    return m_error->code != ProtocolCode::None;
}

bool JsonReader::has(const std::string &key) const
{
    return m_object->is_object() && m_object->contains(key) && !m_object->at(key).is_null();
}

const Json *JsonReader::find(const std::string &key)
{
    m_readKeys.insert(key);
    return has(key) ? &m_object->at(key) : nullptr;
}

std::string JsonReader::requiredText(const std::string &key, std::size_t maximumBytes)
{
    const Json *value = find(key);
    if (value == nullptr) {
        fault(key, "missing; expected a string");
        return {};
    }
    if (!value->is_string()) {
        fault(key, "expected a string");
        return {};
    }
    const auto &text = value->get_ref<const std::string &>();
    if (text.size() > maximumBytes) {
        fault(key, fmt::format("expected at most {} bytes", maximumBytes));
        return {};
    }
    return text;
}

std::string JsonReader::text(const std::string &key, const std::string &fallback, std::size_t maximumBytes)
{
    return find(key) == nullptr ? fallback : requiredText(key, maximumBytes);
}

std::int64_t JsonReader::requiredInteger(const std::string &key, std::int64_t minimum, std::int64_t maximum)
{
    const Json *value = find(key);
    if (value == nullptr) {
        fault(key, fmt::format("missing; expected a whole number from {} to {}", minimum, maximum));
        return minimum;
    }
    const bool tooLarge = value->is_number_unsigned()
        && value->get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (!value->is_number_integer() || tooLarge) {
        fault(key, fmt::format("expected a whole number from {} to {}", minimum, maximum));
        return minimum;
    }
    const auto number = value->get<std::int64_t>();
    if (number < minimum || number > maximum) {
        fault(key, fmt::format("expected a whole number from {} to {}", minimum, maximum));
        return minimum;
    }
    return number;
}

std::int64_t JsonReader::integer(const std::string &key,
                                 std::int64_t fallback,
                                 std::int64_t minimum,
                                 std::int64_t maximum)
{
    return find(key) == nullptr ? fallback : requiredInteger(key, minimum, maximum);
}

bool JsonReader::boolean(const std::string &key, bool fallback)
{
    const Json *value = find(key);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_boolean()) {
        fault(key, "expected true or false");
        return fallback;
    }
    return value->get<bool>();
}

void JsonReader::forEachObject(const std::string &key, const std::function<void(JsonReader &)> &visit)
{
    const Json *list = find(key);
    if (list == nullptr) {
        return;
    }
    if (!list->is_array()) {
        fault(key, "expected a list of objects");
        return;
    }
    for (std::size_t i = 0; i < list->size() && !failed(); ++i) {
        JsonReader item((*list)[i], fmt::format("{}{}[{}]", m_path.empty() ? "" : m_path + ".", key, i), *m_error);
        if (!failed()) {
            visit(item);
        }
    }
}

void JsonReader::forEachText(const std::string &key, const std::function<void(const std::string &)> &visit)
{
    const Json *list = find(key);
    if (list == nullptr) {
        return;
    }
    if (!list->is_array()) {
        fault(key, "expected a list of strings");
        return;
    }
    for (const Json &item : *list) {
        if (!item.is_string()) {
            fault(key, "expected a list of strings");
            return;
        }
        visit(item.get<std::string>());
    }
}

void JsonReader::requiredObject(const std::string &key, const std::function<void(JsonReader &)> &visit)
{
    const Json *value = find(key);
    if (value == nullptr) {
        fault(key, "missing; expected an object");
        return;
    }
    JsonReader item(*value, m_path.empty() ? key : m_path + "." + key, *m_error);
    if (!failed()) {
        visit(item);
    }
}

void JsonReader::fault(const std::string &key, const std::string &expected)
{
    if (failed()) {
        return;
    }
    m_error->code = ProtocolCode::InvalidField;
    const std::string path = m_path.empty() || key.empty() ? m_path + key : m_path + "." + key;
    m_error->reason = fmt::format("{}: {}", path.empty() ? "message" : path, expected);
}

void JsonReader::rejectUnknownFields()
{
    if (!m_object->is_object()) {
        return;
    }
    for (const auto &entry : m_object->items()) {
        if (m_readKeys.count(entry.key()) == 0) {
            fault(entry.key(), "unknown field; remove it or correct its name");
        }
    }
}

std::optional<Json> parseJson(std::string_view text, std::size_t maximumBytes, ProtocolError &error)
{
    if (text.size() > maximumBytes) {
        error = {ProtocolCode::Malformed, fmt::format("the message is larger than {} bytes", maximumBytes)};
        return std::nullopt;
    }
    if (!isWithinMaximumDepth(text)) {
        error = {ProtocolCode::Malformed, fmt::format("the message is nested deeper than {} levels", MaximumDepth)};
        return std::nullopt;
    }
    Json json = Json::parse(text, nullptr, false);
    if (json.is_discarded()) {
        error = {ProtocolCode::Malformed, "the message is not valid JSON"};
        return std::nullopt;
    }
    return json;
}

} // namespace coriander
