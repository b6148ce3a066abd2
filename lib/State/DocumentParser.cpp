#include "corianderscale/Support/Digest.h"

#include <fmt/format.h>

#include <algorithm>

#include "DocumentChecks.h"

namespace coriander {

namespace {

/** Maximum of rates in requests per second, of bursts, and of counts that have no limit of their own. */
constexpr std::int64_t MaximumRateOrCount = 1000000;
constexpr std::int64_t MaximumWorkersPerRack = 1000;
constexpr std::int64_t MaximumAcceleratorsPerWorker = 64;
/** Limits of the whole document, a few times the design size. They bound the time that the checks take. */
constexpr std::int64_t MaximumWorkers = 10000;
constexpr std::int64_t MaximumGuaranteedShapes = 5000;
constexpr std::size_t Sha256HexDigits = 64;
constexpr std::int64_t MillisecondsPerDay = 24 * 3600 * 1000;
constexpr std::int64_t MaximumRequestBodyBytes = 1024 * 1024;

class DocumentParser
{
public:
    DocumentParser(const std::string &file, std::vector<YamlFault> &faults)
        : m_file(file)
        , m_faults(faults)
    {
    }

    Document read(const YAML::Node &rootNode)
    {
        YamlMap root(rootNode, m_file, {}, m_faults);
        Document document;
        document.site = name(root, "site", m_siteNames);
        document.timeZone = root.requiredText("time_zone");
        if (!document.timeZone.empty()) {
            checkTimeZone(root, document.timeZone);
        }
        root.forEachMap("data_centres", [&](YamlMap &item) { document.dataCentres.push_back(readDataCentre(item)); });
        root.forEachMap("services", [&](YamlMap &item) { document.services.push_back(readService(item)); });
        root.forEachMap("organisations",
                        [&](YamlMap &item) { document.organisations.push_back(readOrganisation(item)); });
        root.forEachMap("operators", [&](YamlMap &item) { document.operators.push_back(readOperator(item)); });
        checkDocumentLimits(root, document);
        root.finish();
        return document;
    }

private:
    using Names = std::set<std::string>;

    /** Reads a required name that must be unique among its siblings. */
    std::string name(YamlMap &map, const std::string &key, Names &siblings)
    {
        const std::string value = map.requiredName(key);
        if (value.empty()) {
            if (map.node(key).IsScalar()) {
                map.fault(key, "expected a name that is not empty");
            }
        } else if (!siblings.insert(value).second) {
            map.fault(key, fmt::format("duplicate name '{}'; expected each name once", value));
        }
        return value;
    }

    std::string tokenDigest(YamlMap &map)
    {
        const std::string value = map.requiredText("token_digest");
        const bool isWellFormed
            = value.size() == Sha256HexDigits && value.find_first_not_of("0123456789abcdef") == std::string::npos;
        if (!isWellFormed) {
            map.fault("token_digest", "expected the SHA-256 of the token as 64 lower-case hexadecimal digits");
        } else if (value == sha256Hex("")) {
            map.fault("token_digest", "this is the digest of an empty token; expected that of a secret token");
        } else if (!m_digests.insert(value).second) {
            map.fault("token_digest", "this token belongs to another caller or operator; expected a token of its own");
        }
        return value;
    }

    RackSpec readRack(YamlMap &map, Names &siblings)
    {
        RackSpec rack;
        rack.id = RackId(name(map, "name", siblings));
        rack.workers = map.requiredInteger("workers", 1, MaximumWorkersPerRack);
        rack.perWorker.cores = MilliCores(map.requiredInteger("cores", 1, 1024) * 1000);
        rack.perWorker.memory = MemoryMib(map.requiredInteger("memory_gib", 1, 65536) * 1024);
        rack.perWorker.accelerators
            = Accelerators(map.requiredInteger("accelerators", 0, MaximumAcceleratorsPerWorker));
        map.finish();
        return rack;
    }

    DataCentreSpec readDataCentre(YamlMap &map)
    {
        DataCentreSpec dataCentre;
        Names racks;
        dataCentre.id = DataCentreId(name(map, "name", m_dataCentreNames));
        dataCentre.region = map.requiredName("region");
        map.forEachMap("racks", [&](YamlMap &item) { dataCentre.racks.push_back(readRack(item, racks)); });
        if (dataCentre.racks.empty()) {
            map.fault("racks", "expected at least one rack");
        }
        map.finish();
        return dataCentre;
    }

    ServiceSpec readService(YamlMap &map)
    {
        ServiceSpec service;
        service.name = ServiceName(name(map, "name", m_serviceNames));
        if (!map.node("idempotent").IsDefined()) {
            map.fault("idempotent", "missing; expected true when a request may be run more than once, else false");
        }
        service.idempotent = map.boolean("idempotent", false);
        service.runLimitMs = map.integer("run_limit_ms", service.runLimitMs, 1, MillisecondsPerDay);
        service.queueLimitMs = map.integer("queue_limit_ms", service.queueLimitMs, 0, MillisecondsPerDay);
        service.maximumBodyBytes
            = map.integer("maximum_body_bytes", service.maximumBodyBytes, 0, MaximumRequestBodyBytes);
        map.finish();
        return service;
    }

    CallerSpec readCaller(YamlMap &map, Names &siblings)
    {
        CallerSpec caller;
        caller.id = CallerId(name(map, "name", siblings));
        caller.tokenDigest = tokenDigest(map);
        caller.requestsPerSecond = map.integer("requests_per_second", caller.requestsPerSecond, 1, MaximumRateOrCount);
        caller.burst = map.integer("burst", caller.burst, 1, MaximumRateOrCount);
        caller.maximumQueuedJobs = map.integer("maximum_queued_jobs", caller.maximumQueuedJobs, 0, MaximumRateOrCount);
        map.finish();
        return caller;
    }

    static decision::Guarantee readGuarantee(YamlMap &map)
    {
        decision::Guarantee guarantee;
        guarantee.dataCentre = DataCentreId(map.requiredName("data_centre"));
        guarantee.accelerators = Accelerators(map.requiredInteger("accelerators", 1, MaximumWorkers));
        const std::string adjacency = map.choice("adjacency", "rack", {"worker", "rack", "none"});
        guarantee.closeness = adjacency == "worker" ? decision::Closeness::Worker
            : adjacency == "rack"                   ? decision::Closeness::Rack
                                                    : decision::Closeness::None;
        guarantee.count = map.integer("count", 1, 1, MaximumGuaranteedShapes);
        map.finish();
        return guarantee;
    }

    OrganisationSpec readOrganisation(YamlMap &map)
    {
        OrganisationSpec organisation;
        Names callers;
        organisation.id = OrganisationId(name(map, "name", m_organisationNames));
        organisation.weight = map.integer("weight", organisation.weight, 1, 1000);
        organisation.quota = Accelerators(map.integer("accelerator_quota", 0, 0, MaximumRateOrCount));
        organisation.requestsPerSecond
            = map.integer("requests_per_second", organisation.requestsPerSecond, 1, MaximumRateOrCount);
        map.forEachMap("guarantees", [&](YamlMap &item) { organisation.guarantees.push_back(readGuarantee(item)); });
        map.forEachMap("callers", [&](YamlMap &item) { organisation.callers.push_back(readCaller(item, callers)); });
        map.finish();
        return organisation;
    }

    OperatorSpec readOperator(YamlMap &map)
    {
        OperatorSpec result;
        result.name = name(map, "name", m_operatorNames);
        result.tokenDigest = tokenDigest(map);
        map.finish();
        return result;
    }

    static void checkDocumentLimits(YamlMap &root, const Document &document)
    {
        std::int64_t workers = 0;
        for (const DataCentreSpec &dataCentre : document.dataCentres) {
            for (const RackSpec &rack : dataCentre.racks) {
                workers += rack.workers;
            }
        }
        std::int64_t shapes = 0;
        for (const OrganisationSpec &organisation : document.organisations) {
            for (const decision::Guarantee &guarantee : organisation.guarantees) {
                shapes += guarantee.count;
            }
        }
        if (document.dataCentres.empty()) {
            root.fault("data_centres", "expected at least one data centre");
        }
        if (document.operators.empty()) {
            root.fault("operators", "expected at least one operator; otherwise nobody could change this document");
        }
        if (workers > MaximumWorkers) {
            root.fault("data_centres", fmt::format("{} workers; expected at most {}", workers, MaximumWorkers));
        }
        if (shapes > MaximumGuaranteedShapes) {
            root.fault("organisations",
                       fmt::format("{} guaranteed shapes; expected at most {}", shapes, MaximumGuaranteedShapes));
        }
    }

    const std::string &m_file;
    std::vector<YamlFault> &m_faults;
    Names m_siteNames;
    Names m_dataCentreNames;
    Names m_serviceNames;
    Names m_organisationNames;
    Names m_operatorNames;
    Names m_digests;
};

} // namespace

std::optional<Document> parseDocument(const std::string &content,
                                      const std::string &file,
                                      std::vector<YamlFault> &faults)
{
    const std::size_t faultsBefore = faults.size();
    if (content.size() > MaximumDocumentBytes) {
        faults.push_back({file, 0, 0, {}, fmt::format("expected at most {} bytes", MaximumDocumentBytes)});
        return std::nullopt;
    }
    const std::optional<YAML::Node> root = parseYaml(content, file, faults);
    if (!root || !checkYamlStructure(*root, file, faults)) {
        return std::nullopt;
    }
    Document document = DocumentParser(file, faults).read(*root);
    if (faults.size() == faultsBefore) {
        checkGuarantees(*root, file, document, faults);
    }
    if (faults.size() != faultsBefore) {
        return std::nullopt;
    }
    return document;
}

} // namespace coriander
