#pragma once

#include "corianderscale/Decision/Types.h"
#include "corianderscale/Support/StrongId.h"
#include "corianderscale/Support/Units.h"
#include "corianderscale/Support/YamlReader.h"

#include <optional>
#include <string>
#include <vector>

namespace coriander {

/** A rack as declared in the document; the check whether the guarantees fit uses it. */
struct RackSpec {
    RackId id;
    std::int64_t workers = 0;
    decision::Resources perWorker;
};

struct DataCentreSpec {
    DataCentreId id;
    std::string region;
    std::vector<RackSpec> racks;
};

/** A service that endpoints provide. */
struct ServiceSpec {
    ServiceName name;
    /** Whether a request may be run more than once. */
    bool idempotent = false;
    /** Maximum run time of one request at an endpoint, in ms. */
    std::int64_t runLimitMs = 30000;
    /** Maximum time that a request without a deadline waits for a slot, in ms. */
    std::int64_t queueLimitMs = 10000;
    std::int64_t maximumBodyBytes = 256 * 1024;
};

struct CallerSpec {
    CallerId id;
    /** SHA-256 of the bearer token in lower-case hexadecimal digits. */
    std::string tokenDigest;
    std::int64_t requestsPerSecond = 50;
    std::int64_t burst = 100;
    std::int64_t maximumQueuedJobs = 1000;
};

struct OrganisationSpec {
    OrganisationId id;
    /** Weight in the fair share among organisations. */
    std::int64_t weight = 1;
    /** Maximum number of accelerators in use at once, summed over all data centres; 0 for no limit. */
    Accelerators quota;
    std::int64_t requestsPerSecond = 500;
    std::vector<decision::Guarantee> guarantees;
    std::vector<CallerSpec> callers;
};

struct OperatorSpec {
    std::string name;
    std::string tokenDigest;
};

/** The configuration document of an environment. It contains no addresses, so that it can be promoted unchanged. */
struct Document {
    std::string site;
    /** IANA name, such as `Europe/Rome`; defines the days of the totals. */
    std::string timeZone;
    std::vector<DataCentreSpec> dataCentres;
    std::vector<ServiceSpec> services;
    std::vector<OrganisationSpec> organisations;
    std::vector<OperatorSpec> operators;

    const ServiceSpec *findService(const ServiceName &name) const;
    const OrganisationSpec *findOrganisation(const OrganisationId &id) const;
    const DataCentreSpec *findDataCentre(const DataCentreId &id) const;
};

/** Maximum size of a document in bytes. */
inline constexpr std::size_t MaximumDocumentBytes = 60 * 1024;

/**
 * Parses and validates a document. Unknown keys, duplicate names, malformed digests, unknown time zones, and guarantees
 * that do not all fit into the declared racks at the same time are faults.
 *
 * Returns no value when there is any fault. Thread safety: any thread.
 */
std::optional<Document> parseDocument(const std::string &content,
                                      const std::string &file,
                                      std::vector<YamlFault> &faults);

} // namespace coriander
