#pragma once

#include "corianderscale/Coordination/MembershipService.h"
#include "corianderscale/Coordination/StoreClient.h"
#include "corianderscale/Daemon/StatusRoutes.h"
#include "corianderscale/Scheduler/IntakeDuty.h"
#include "corianderscale/Scheduler/OwnershipDuty.h"
#include "corianderscale/Scheduler/PeerRenewer.h"
#include "corianderscale/Scheduler/PlacementDuty.h"
#include "corianderscale/Scheduler/Recorder.h"
#include "corianderscale/Scheduler/SchedulerMetrics.h"
#include "corianderscale/Scheduler/WorkerLink.h"
#include "corianderscale/Transport/HttpClient.h"
#include "corianderscale/Transport/HttpServer.h"
#include "corianderscale/Transport/PeerStreams.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace coriander {

/** @name Peer messages of the scheduler; their bodies are CBOR. */
///@{
/** `{"dataCentre","job"}`, from gateways: the row of the job is new or has changed. */
inline constexpr char SchedulerJobHintMessage[] = "job-hint";
/** `{"job"}`; the reply is `{"state","reason","remedy"}` or `{"code"}`. */
inline constexpr char ExplainMessage[] = "explain";
/** A Snapshot, from the owner to the schedulers that recently requested one. */
inline constexpr char SnapshotOfferMessage[] = "snapshot-offer";
/** `{"peerAddress"}` to the owner; the reply is its newest Snapshot, or empty. */
inline constexpr char SnapshotRequestMessage[] = "snapshot-request";
///@}

/**
 * The scheduler daemon: runs the duties and connects them by bounded queues.
 *
 * Thread safety: run() from one thread.
 */
class SchedulerDaemon
{
public:
    SchedulerDaemon(SchedulerSettings settings, Clock clock);
    ~SchedulerDaemon();

    /** Runs until the first shutdown signal, then shuts down gracefully. Returns the exit code. */
    int run();

private:
    bool start();
    void startDuties();
    void shutDown();
    void addRoutes();
    void handleReport(const HttpRequest &request, const HttpRespond &respond);
    std::string handlePeer(const std::string &message, const InstanceId &from, const std::string &body);
    Membership::Hooks membershipHooks();
    void membershipStep();
    std::string explain(const JobId &job) const;
    std::string answerSnapshotRequest(const Json &body);
    bool hasDocument();
    void readTakeover(Epoch epoch);
    void takeoverStep();
    void renewalStep();
    void sendRenewal(const WorkerRequest &request);
    void askOwnerForSnapshot(MonotonicTime now);
    void offerSnapshot(Snapshot snapshot);
    void applyDocument(const Document &document, DocumentVersion version);
    void logCoreEvent(const CoreEvent &event);
    PlacementOutputs placementOutputs();
    WorkerLinkOutputs linkOutputs();
    IntakeOutputs intakeOutputs();
    bool owns() const;

    SchedulerSettings m_settings;
    Clock m_clock;
    std::shared_ptr<DaemonStatus> m_status;
    SchedulerMetrics m_metrics;
    StoreClient m_store;
    HttpClient m_client;
    HttpServer m_server;

    std::mutex m_mutex;
    std::vector<decision::OrganisationPolicy> m_organisations;
    CivilDays m_days{"UTC"};
    DocumentVersion m_documentVersion;
    Snapshot m_snapshot;
    /** Peer addresses of the schedulers that requested snapshots, each with the time when its subscription expires. */
    std::map<std::string, MonotonicTime> m_snapshotSubscribers;
    PeerRenewer m_renewer;

    std::unique_ptr<PlacementDuty> m_placement;
    std::unique_ptr<WorkerLink> m_link;
    std::unique_ptr<Recorder> m_recorder;
    std::unique_ptr<OwnershipDuty> m_ownership;
    std::unique_ptr<IntakeDuty> m_intake;
    BoundedRing<Epoch> m_takeovers;
    MonotonicTime m_nextSnapshotRequest{};
    std::unique_ptr<DutyThread> m_takeoverThread;
    std::unique_ptr<DutyThread> m_renewalThread;
    std::unique_ptr<DutyThread> m_membershipThread;
    MembershipService m_membership;
    /** Last member, so that it is destroyed before everything that its handler and replies use. */
    PeerStreams m_peers;
};

} // namespace coriander
