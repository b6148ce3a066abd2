#pragma once

#include "corianderscale/Coordination/Store.h"
#include "corianderscale/Gateway/TimelineCollector.h"
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

/** The document in force at an instance. */
struct DocumentInForce {
    DocumentHead head;
    std::shared_ptr<const Document> document;
};

/**
 * Access of the operators' routes to the rest of the gateway. Hooks run on the threads of the routes, may block for a
 * few seconds, and must be callable from several threads. Hooks marked optional may be left empty.
 */
struct OperatorHooks {
    Clock clock;
    /** Must outlive the server. */
    Store *store = nullptr;
    /** `trial` or `production`: the environment of this gateway. */
    std::string environment;
    InstanceId instance;
    /** SHA-256 of the token that may apply the first document of an empty environment; empty for none. */
    std::string bootstrapDigest;
    /** Returns the document in force at this gateway, or no value before one is known. */
    std::function<std::optional<DocumentInForce>()> document;
    /** Returns all live gateways and schedulers of this environment, including this gateway. */
    std::function<std::vector<InstanceView>()> instances;
    /** Optional: called when a document was accepted, to apply it without waiting for the next poll of the head. */
    std::function<void(const std::string &environment, const AcceptedDocument &)> accepted;
    /** Optional: notifies the schedulers of a data centre that a job row has changed. */
    std::function<void(const DataCentreId &, const JobId &)> jobChanged;
    /**
     * Optional: returns the endpoints known to this gateway, a JSON list of objects with `id`. Without it, the
     * platform's VM list is used.
     */
    std::function<Json()> endpoints;
    /**
     * Optional: sends GET to the owner of a data centre and returns its JSON answer, or no value when the call failed.
     * Without it, workers and explanations come only from the table and the platform's VM list.
     */
    std::function<std::optional<Json>(const DataCentreId &, const std::string &path)> queryOwner;
    /** Optional: returns the events of all reachable processes. Without it, only those of this process are used. */
    std::function<CollectedTimelines(const TimelineFilter &)> timelines;
};

/**
 * Serves `/v1/operator/...` (docs/interfaces-platform.md) on @p server.
 *
 * Requests are handled on two separate threads, one of them for the totals, so that they may block on the store.
 * Precondition: the server is not started; everything that the hooks use outlives it.
 */
void registerOperatorRoutes(HttpServer &server, OperatorHooks hooks);

} // namespace coriander
