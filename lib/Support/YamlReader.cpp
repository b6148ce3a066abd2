#include "corianderscale/Support/YamlReader.h"

#include "corianderscale/Support/StrongId.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <yaml-cpp/eventhandler.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace coriander {

namespace {

/** Records where the last YAML document started; ignores all other events. */
class DocumentStartRecorder : public YAML::EventHandler
{
public:
    void OnDocumentStart(const YAML::Mark &mark) override
    {
        m_start = mark;
    }
    void OnDocumentEnd() override { }
    void OnNull(const YAML::Mark &, YAML::anchor_t) override { }
    void OnAlias(const YAML::Mark &, YAML::anchor_t) override { }
    void OnScalar(const YAML::Mark &, const std::string &, YAML::anchor_t, const std::string &) override { }
    void OnSequenceStart(const YAML::Mark &, const std::string &, YAML::anchor_t, YAML::EmitterStyle::value) override {
    }
    void OnSequenceEnd() override { }
    void OnMapStart(const YAML::Mark &, const std::string &, YAML::anchor_t, YAML::EmitterStyle::value) override { }
    void OnMapEnd() override { }

    YAML::Mark start() const
    {
        return m_start;
    }

private:
    YAML::Mark m_start;
};

/**
 * Returns the start of a second YAML document, or no value when there is none. YAML::Load() would silently ignore a
 * second document. YAML::LoadAll() is not used, because on some malformed input it adds empty documents until memory is
 * exhausted.
 */
std::optional<YAML::Mark> findSecondDocument(const std::string &content)
{
    std::istringstream stream(content);
    YAML::Parser parser(stream);
    DocumentStartRecorder recorder;
    if (!parser.HandleNextDocument(recorder) || !parser.HandleNextDocument(recorder)) {
        return std::nullopt;
    }
    return recorder.start();
}

} // namespace

std::string YamlFault::toString() const
{
    if (key.empty()) {
        return fmt::format("{}:{}:{}: {}", file, line, column, expected);
    }
    return fmt::format("{}:{}:{}: {}: {}", file, line, column, key, expected);
}

YamlMap::YamlMap(YAML::Node node, std::string file, std::string path, std::vector<YamlFault> &faults)
    : m_node(std::move(node))
    , m_file(std::move(file))
    , m_path(std::move(path))
    , m_faults(&faults)
{
    if (!m_node.IsMap()) {
        addFaultAt(m_node, m_path, "expected a map of keys and values");
    }
}

YAML::Node YamlMap::node(const std::string &key)
{
    m_knownKeys.insert(key);
    if (!m_node.IsMap()) {
        return YAML::Node(YAML::NodeType::Undefined);
    }
    return m_node[key];
}

std::string YamlMap::requiredText(const std::string &key)
{
    const YAML::Node value = node(key);
    if (!value.IsDefined() || value.IsNull()) {
        fault(key, "missing; expected a string");
        return {};
    }
    if (!value.IsScalar()) {
        addFaultAt(value, pathTo(key), "expected a string");
        return {};
    }
    return value.Scalar();
}

std::string YamlMap::requiredName(const std::string &key)
{
    const std::string value = requiredText(key);
    if (!value.empty() && !isValidName(value)) {
        fault(key, "expected a name of at most 63 lower-case letters, digits and hyphens");
    }
    return value;
}

std::string YamlMap::text(const std::string &key, const std::string &fallback)
{
    const YAML::Node value = node(key);
    if (!value.IsDefined() || value.IsNull()) {
        return fallback;
    }
    return requiredText(key);
}

std::int64_t YamlMap::requiredInteger(const std::string &key, std::int64_t minimum, std::int64_t maximum)
{
    const YAML::Node value = node(key);
    if (!value.IsDefined() || value.IsNull()) {
        fault(key, fmt::format("missing; expected a whole number from {} to {}", minimum, maximum));
        return minimum;
    }
    std::int64_t number = 0;
    if (!value.IsScalar() || !YAML::convert<std::int64_t>::decode(value, number) || number < minimum
        || number > maximum) {
        addFaultAt(value, pathTo(key), fmt::format("expected a whole number from {} to {}", minimum, maximum));
        return minimum;
    }
    return number;
}

std::int64_t YamlMap::integer(const std::string &key, std::int64_t fallback, std::int64_t minimum, std::int64_t maximum)
{
    const YAML::Node value = node(key);
    if (!value.IsDefined() || value.IsNull()) {
        return fallback;
    }
    return requiredInteger(key, minimum, maximum);
}

bool YamlMap::boolean(const std::string &key, bool fallback)
{
    const YAML::Node value = node(key);
    if (!value.IsDefined() || value.IsNull()) {
        return fallback;
    }
    bool result = fallback;
    if (!value.IsScalar() || !YAML::convert<bool>::decode(value, result)) {
        addFaultAt(value, pathTo(key), "expected true or false");
        return fallback;
    }
    return result;
}

std::string YamlMap::choice(const std::string &key,
                            const std::string &fallback,
                            const std::vector<std::string> &choices)
{
    const std::string value = text(key, fallback);
    if (std::find(choices.begin(), choices.end(), value) == choices.end()) {
        fault(key, fmt::format("expected one of: {}", fmt::join(choices, ", ")));
        return fallback;
    }
    return value;
}

std::vector<std::string> YamlMap::texts(const std::string &key)
{
    std::vector<std::string> result;
    const YAML::Node value = node(key);
    if (!value.IsDefined() || value.IsNull()) {
        return result;
    }
    if (!value.IsSequence()) {
        addFaultAt(value, pathTo(key), "expected a list of strings");
        return result;
    }
    for (const YAML::Node &item : value) {
        if (!item.IsScalar()) {
            addFaultAt(item, pathTo(key), "expected a string");
            continue;
        }
        result.push_back(item.Scalar());
    }
    return result;
}

std::optional<YamlMap> YamlMap::requiredMap(const std::string &key)
{
    const YAML::Node value = node(key);
    if (!value.IsDefined() || !value.IsMap()) {
        fault(key, "missing; expected a map of keys and values");
        return std::nullopt;
    }
    return YamlMap(value, m_file, pathTo(key), *m_faults);
}

void YamlMap::forEachMap(const std::string &key, const std::function<void(YamlMap &)> &visit)
{
    const YAML::Node value = node(key);
    if (!value.IsDefined() || value.IsNull()) {
        return;
    }
    if (!value.IsSequence()) {
        addFaultAt(value, pathTo(key), "expected a list");
        return;
    }
    for (std::size_t i = 0; i < value.size(); ++i) {
        YamlMap item(value[i], m_file, fmt::format("{}[{}]", pathTo(key), i), *m_faults);
        visit(item);
    }
}

void YamlMap::fault(const std::string &key, const std::string &expected)
{
    YAML::Node location = m_node;
    if (m_node.IsMap() && m_node[key].IsDefined()) {
        location.reset(m_node[key]);
    }
    addFaultAt(location, pathTo(key), expected);
}

void YamlMap::finish()
{
    if (!m_node.IsMap()) {
        return;
    }
    for (const auto &entry : m_node) {
        const std::string key = entry.first.Scalar();
        if (m_knownKeys.count(key) == 0) {
            addFaultAt(entry.first,
                       pathTo(key),
                       fmt::format("unknown key; expected one of: {}", fmt::join(m_knownKeys, ", ")));
        }
    }
}

std::string YamlMap::pathTo(const std::string &key) const
{
    return m_path.empty() ? key : m_path + "." + key;
}

void YamlMap::addFaultAt(const YAML::Node &node, const std::string &key, const std::string &expected)
{
    const YAML::Mark mark = node.Mark();
    m_faults->push_back({m_file, mark.line + 1, mark.column + 1, key, expected});
}

std::optional<YAML::Node> parseYaml(const std::string &content, const std::string &file, std::vector<YamlFault> &faults)
{
    try {
        if (const std::optional<YAML::Mark> second = findSecondDocument(content)) {
            faults.push_back(
                {file, second->line + 1, second->column + 1, {}, "expected one YAML document in the file"});
            return std::nullopt;
        }
        YAML::Node root = YAML::Load(content);
        if (!root.IsMap()) {
            faults.push_back({file, 1, 1, {}, "expected a map of keys and values at the top of the file"});
            return std::nullopt;
        }
        return root;
    } catch (const YAML::Exception &exception) {
        faults.push_back({file, exception.mark.line + 1, exception.mark.column + 1, {}, exception.msg});
        return std::nullopt;
    }
}

std::optional<std::string> readTextFile(const std::string &file,
                                        std::size_t maximumBytes,
                                        std::vector<YamlFault> &faults)
{
    std::ifstream stream(file, std::ios::binary);
    if (!stream) {
        faults.push_back({file, 0, 0, {}, "the file cannot be opened; check its path and permissions"});
        return std::nullopt;
    }
    std::ostringstream content;
    content << stream.rdbuf();
    if (content.view().size() > maximumBytes) {
        faults.push_back({file, 0, 0, {}, fmt::format("the file is larger than {} bytes", maximumBytes)});
        return std::nullopt;
    }
    return content.str();
}

} // namespace coriander
