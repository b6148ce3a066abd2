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

/** A queue that takes jobs. */
struct QueueSpec {
    QueueName name;
    /** Host and path prefix that select the queue. */
    std::string host;
    std::string prefix;
    /** Pool of workers that run its tasks. */
    ServiceName service;
    /** Lower goes first; 0 may preempt others. */
    int priority = 0;
    /** Failed runs of a task after which the job has failed. */
    int mostAttempts = 1;
    /** Factor on the longest chain of work in the latency objective. */
    double stretch = 1;
    /** Fixed part of the latency objective. */
    Duration objectiveSlack{};
    Duration callTimeout{};
    /** Whether calls need no credential. */
    bool open = false;
    /** Whether tasks need an approval of the advisor. */
    bool needsAdvice = false;
};

struct OrganisationSpec {
    OrganisationId id;
    std::vector<std::string> credentials;
    /** Accelerators that always can be claimed by its jobs of priority 0. */
    Accelerators guaranteed;
};

struct ServiceSpec {
    ServiceName name;
};

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

    /** Builds what queue() looks up. Call once, after the queues are filled in. */
    void index();

    /** The queue with the longest prefix of @p path among those of @p host. */
    const QueueSpec *queueFor(const std::string &host, const std::string &path) const;
    /** Precondition: index() was called. */
    const QueueSpec *queue(const QueueName &name) const;
    const OrganisationSpec *organisation(const OrganisationId &id) const;
    /** The organisation that holds @p credential. */
    const OrganisationSpec *holderOf(const std::string &credential) const;

private:
    std::unordered_map<QueueName, std::size_t> m_queueIndex;
};

} // namespace coriander::workflow
