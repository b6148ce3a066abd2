#pragma once

#include "corianderscale/Support/StrongId.h"
#include "corianderscale/Support/Time.h"
#include "corianderscale/Support/Units.h"
#include "corianderscale/Workflow/JobSpec.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace coriander::workflow {

using ConfigurationVersion = Quantity<struct ConfigurationVersionTag>;

/** Configuration of a queue. */
struct QueueSpec : QueuePolicy {
    QueueName name;
    /** Host and path prefix that select the queue. */
    std::string host;
    std::string prefix;
    /** Longest time that a call may take; 0 for no limit. */
    Duration callTimeout{};
    /** Whether calls need no credential. */
    bool open = false;
};

struct OrganisationSpec {
    OrganisationId id;
    std::vector<std::string> credentials;
    /** Accelerators that are guaranteed to the organisation's jobs of priority 0. */
    Accelerators guaranteed;
};

struct ServiceSpec {
    ServiceName name;
};

/** Limits of the callers' HTTP connections. */
struct CallerLimits {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 256 * 1024;
    Duration headerTime = std::chrono::seconds(3);
    Duration idleTime = std::chrono::seconds(15);
};

/** One version of the configuration. */
struct Catalogue {
    ConfigurationVersion version;
    std::vector<QueueSpec> queues;
    std::vector<ServiceSpec> services;
    std::vector<OrganisationSpec> organisations;
    CallerLimits limits;

    /** Builds the index for queue(). Call once, after the queues are filled in. */
    void index();

    /** The queue of @p host whose prefix is the longest match for @p path, or null. */
    const QueueSpec *queueFor(const std::string &host, const std::string &path) const;
    /** The queue with this name, or null. Precondition: index() was called. */
    const QueueSpec *queue(const QueueName &name) const;
    const OrganisationSpec *organisation(const OrganisationId &id) const;
    /** The organisation that owns @p credential, or null. */
    const OrganisationSpec *holderOf(const std::string &credential) const;

private:
    std::unordered_map<QueueName, std::size_t> m_queueIndex;
};

} // namespace coriander::workflow
