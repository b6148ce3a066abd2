#include "DocumentChecks.h"

#include "corianderscale/Decision/Scheduler.h"
#include "corianderscale/Support/Log.h"

#include <absl/time/time.h>
#include <fmt/format.h>

namespace coriander {

namespace {

/** Maximum number of YAML nodes. A document of MaximumDocumentBytes has fewer, unless aliases repeat them. */
constexpr int MaximumYamlNodes = 60000;
constexpr int MaximumYamlDepth = 16;

class YamlStructureChecker
{
public:
    YamlStructureChecker(const std::string &file, std::vector<YamlFault> &faults)
        : m_file(file)
        , m_faults(faults)
    {
    }

    bool visit(const YAML::Node &node, const std::string &path, int depth)
    {
        if (++m_nodes > MaximumYamlNodes || depth > MaximumYamlDepth) {
            report(node, path, "expected fewer and less deeply nested entries; do not use YAML aliases");
            return false;
        }
        if (node.IsSequence()) {
            return visitList(node, path, depth);
        }
        return !node.IsMap() || visitMap(node, path, depth);
    }

private:
    bool visitList(const YAML::Node &node, const std::string &path, int depth)
    {
        int index = 0;
        for (const YAML::Node &item : node) {
            if (!visit(item, fmt::format("{}[{}]", path, index++), depth + 1)) {
                return false;
            }
        }
        return true;
    }

    bool visitMap(const YAML::Node &node, const std::string &path, int depth)
    {
        std::set<std::string> keys;
        for (const auto &entry : node) {
            const std::string key = entry.first.Scalar();
            const std::string keyPath = path.empty() ? key : path + "." + key;
            if (!keys.insert(key).second) {
                report(entry.first, keyPath, "repeated key; expected each key once");
            }
            if (!visit(entry.second, keyPath, depth + 1)) {
                return false;
            }
        }
        return true;
    }

    void report(const YAML::Node &node, const std::string &path, const std::string &expected)
    {
        m_faults.push_back({m_file, node.Mark().line + 1, node.Mark().column + 1, path, expected});
    }

    const std::string &m_file;
    std::vector<YamlFault> &m_faults;
    int m_nodes = 0;
};

std::vector<decision::WorkerSpec> declaredWorkers(const DataCentreSpec &dataCentre)
{
    std::vector<decision::WorkerSpec> workers;
    for (const RackSpec &rack : dataCentre.racks) {
        for (std::int64_t position = 0; position < rack.workers; ++position) {
            const WorkerId id(fmt::format("{}-{}", rack.id.value(), position));
            workers.push_back({id, rack.id, position, rack.perWorker});
        }
    }
    return workers;
}

std::vector<decision::OrganisationPolicy> guaranteesIn(const DataCentreId &dataCentre, const Document &document)
{
    std::vector<decision::OrganisationPolicy> policies;
    for (const OrganisationSpec &organisation : document.organisations) {
        decision::OrganisationPolicy policy{organisation.id, organisation.weight, organisation.quota, {}};
        for (const decision::Guarantee &guarantee : organisation.guarantees) {
            if (guarantee.dataCentre == dataCentre) {
                policy.guarantees.push_back(guarantee);
            }
        }
        policies.push_back(std::move(policy));
    }
    return policies;
}

void checkOrganisation(YamlMap &node, const OrganisationSpec &organisation, const Document &document)
{
    Accelerators guaranteed;
    for (const decision::Guarantee &guarantee : organisation.guarantees) {
        guaranteed += guarantee.accelerators * guarantee.count;
        if (document.findDataCentre(guarantee.dataCentre) == nullptr) {
            node.fault("guarantees",
                       fmt::format("unknown data centre '{}'; expected one of data_centres", guarantee.dataCentre));
        }
    }
    if (organisation.quota > Accelerators(0) && guaranteed > organisation.quota) {
        node.fault("guarantees",
                   fmt::format("guarantees of {} accelerators together; expected at most the accelerator_quota of {}",
                               guaranteed,
                               organisation.quota));
    }
}

} // namespace

bool checkYamlStructure(const YAML::Node &root, const std::string &file, std::vector<YamlFault> &faults)
{
    return YamlStructureChecker(file, faults).visit(root, {}, 0);
}

void checkTimeZone(YamlMap &root, const std::string &timeZone)
{
    // The library also accepts "localtime" and absolute paths, whose meaning differs between machines.
    const bool isPortable = timeZone.find("..") == std::string::npos && timeZone != "localtime"
        && timeZone.find_first_of(":") == std::string::npos && timeZone.front() != '/';
    absl::TimeZone zone;
    if (!isPortable || !absl::LoadTimeZone(timeZone, &zone)) {
        root.fault("time_zone",
                   fmt::format("unknown time zone '{}'; expected an IANA name such as Europe/Rome", timeZone));
    }
}

void checkGuarantees(const YAML::Node &root,
                     const std::string &file,
                     const Document &document,
                     std::vector<YamlFault> &faults)
{
    const std::size_t faultsBefore = faults.size();
    for (std::size_t i = 0; i < document.organisations.size(); ++i) {
        YamlMap node(root["organisations"][i], file, fmt::format("organisations[{}]", i), faults);
        checkOrganisation(node, document.organisations[i], document);
    }
    if (faults.size() != faultsBefore) {
        return;
    }
    for (std::size_t i = 0; i < document.dataCentres.size(); ++i) {
        const DataCentreSpec &dataCentre = document.dataCentres[i];
        std::string reason;
        if (!decision::packGuarantees(declaredWorkers(dataCentre), guaranteesIn(dataCentre.id, document), reason)) {
            YamlMap node(root["data_centres"][i], file, fmt::format("data_centres[{}]", i), faults);
            node.fault("racks", fmt::format("the guarantees in {} cannot be given at once: {}", dataCentre.id, reason));
        }
    }
}

} // namespace coriander
