#pragma once

#include "corianderscale/Decision/Types.h"
#include "corianderscale/Support/StrongId.h"
#include "corianderscale/Support/Units.h"
#include "corianderscale/Support/YamlReader.h"

#include <optional>
#include <string>
#include <vector>

namespace coriander {

/** A rack as the document declares it; the base of the feasibility check. */
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

/** A service that endpoints offer. */
struct ServiceSpec {
    ServiceName name;
    /** Whether a request may be run more than once. */
    bool idempotent = false;
    /** How long an endpoint may take for one request, in ms. */
    std::int64_t runLimitMs = 30000;
    /** How long a request may wait for a slot when the caller gives no deadline, in ms. */
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
    /** Weight of the fair share among organisations. */
    std::int64_t weight = 1;
    /** The most accelerators it may use at once in all data centres together; 0 for no bound. */
    Accelerators quota;
    std::int64_t requestsPerSecond = 500;
    std::vector<decision::Guarantee> guarantees;
    std::vector<CallerSpec> callers;
};

struct OperatorSpec {
    std::string name;
    std::string tokenDigest;
};

/** The one document of an environment. It holds no addresses, so that it can be promoted unchanged. */
struct Document {
    std::string site;
    /** IANA name, such as `Europe/Rome`; days of the totals follow it. */
    std::string timeZone;
    std::vector<DataCentreSpec> dataCentres;
    std::vector<ServiceSpec> services;
    std::vector<OrganisationSpec> organisations;
    std::vector<OperatorSpec> operators;

    const ServiceSpec *findService(const ServiceName &name) const;
    const OrganisationSpec *findOrganisation(const OrganisationId &id) const;
    const DataCentreSpec *findDataCentre(const DataCentreId &id) const;
};

/** The most bytes of a document. */
inline constexpr std::size_t MaximumDocumentBytes = 60 * 1024;

/**
 * Parses and checks a document strictly: unknown keys, duplicate names, malformed digests, unknown time zones, and
 * guarantees that cannot all be packed at once into the declared racks are faults.
 *
 * Returns no value when there is any fault. Thread safety: any thread.
 */
std::optional<Document> parseDocument(const std::string &content,
                                      const std::string &file,
                                      std::vector<YamlFault> &faults);

} // namespace coriander
