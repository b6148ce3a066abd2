#pragma once

#include "corianderscale/Coordination/Store.h"
#include "corianderscale/Protocol/TimelineMessages.h"
#include "corianderscale/State/Document.h"
#include "corianderscale/State/DocumentLedger.h"
#include "corianderscale/State/InstanceView.h"
#include "corianderscale/Transport/HttpServer.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace coriander {

/** The document that an instance applies. */
struct DocumentInForce {
    DocumentHead head;
    std::shared_ptr<const Document> document;
};

/**
 * How the operators' routes reach the rest of the gateway. Hooks run on threads of the routes, may wait a few seconds,
 * and must be callable from several threads. Hooks marked optional may be left empty.
 */
struct OperatorHooks {
    Clock clock;
    /** Must outlive the server. */
    Store *store = nullptr;
    /** `trial` or `production`: the environment of this gateway. */
    std::string environment;
    InstanceId instance;
    /** SHA-256 of the token that may bring in the first document of an empty environment; empty for none. */
    std::string bootstrapDigest;
    /** The document in force here, or no value before one is known. */
    std::function<std::optional<DocumentInForce>()> document;
    /** All live gateways and schedulers of this environment, with this one. */
    std::function<std::vector<InstanceView>()> instances;
    /** Optional: a document was accepted; applies and offers it without waiting for the next look at the head. */
    std::function<void(const std::string &environment, const AcceptedDocument &)> accepted;
    /** Optional: tells the schedulers of a data centre that a job row has changed. */
    std::function<void(const DataCentreId &, const JobId &)> jobChanged;
    /** Optional: the endpoints as this gateway sees them, a JSON list of objects with `id`; else the platform's list.
     */
    std::function<Json()> endpoints;
    /**
     * Optional: asks the owner of a data centre with GET and returns its JSON answer; no value when it cannot be asked.
     * Without it, workers and explanations come from the table and the platform's list alone.
     */
    std::function<std::optional<Json>(const DataCentreId &, const std::string &path)> askOwner;
    /** Optional: the events of all reachable processes; else those of this one. */
    std::function<std::vector<ProcessTimeline>(const TimelineFilter &)> timelines;
};

/**
 * Serves `/v1/operator/...` (docs/interfaces-platform.md) on @p server.
 *
 * Requests are handled on two threads of their own, one for the totals, so that they may wait for the store.
 * Precondition: the server is not started; what the hooks use outlives it.
 */
void registerOperatorRoutes(HttpServer &server, OperatorHooks hooks);

} // namespace coriander
