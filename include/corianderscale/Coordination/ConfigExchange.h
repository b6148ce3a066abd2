#pragma once

#include "corianderscale/Coordination/Store.h"
#include "corianderscale/Protocol/ConfigurationMessages.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace coriander {

/** Names of the peer messages of ConfigExchange. */
inline constexpr const char *ConfigurationPeerMessage = "configuration";
inline constexpr const char *ConfigurationRequestPeerMessage = "configuration-request";

/** A version that was accepted by the table, with its text. */
struct AcceptedDocument {
    DocumentHead head;
    std::string text;
};

/** How an attempt to accept a new version ended. */
struct AcceptOutcome {
    /** None: accepted. Conflict: another version came first. StoreAway: not accepted. OutcomeUnknown: see the table. */
    CoordinationError error;
    /** The accepted version, or the one that a conflict was lost to. */
    DocumentHead head;
};

/** What an operator wants to have accepted. */
struct AcceptRequest {
    /** The version that the operator has seen as the newest; 0 when there is none. */
    DocumentVersion base;
    std::string text;
    std::string operatorName;
    std::int64_t acceptedUnixMs = 0;
    MonotonicTime deadline;
};

/**
 * The newest document of one environment, from the table and from peers, as a state machine whose time is passed in.
 *
 * A version counts as accepted only when the table has committed its head. The version held here only grows. Thread
 * safety: all methods from any thread, but step() from one. Calls and completions take effect at the next step().
 * Precondition: the hooks call no completion after the end of the object, so store and peer streams are stopped first.
 */
class ConfigExchange
{
public:
    struct Settings {
        std::string environment;
        Duration readEvery = std::chrono::seconds(2);
        Duration callTime = std::chrono::milliseconds(1500);
        /** Pause after a failed call, and between requests to peers. */
        Duration retryAfter = std::chrono::milliseconds(300);
    };

    using Reply = std::function<void(const std::optional<std::string> &)>;

    struct Hooks {
        std::function<void(std::vector<std::string> keys, MonotonicTime deadline, RowsDone done)> read;
        std::function<void(TableTransaction transaction, MonotonicTime deadline, CommitDone done)> commit;
        /** Sends ConfigurationPeerMessage to all peers. */
        std::function<void(std::string body)> offer;
        /** Sends ConfigurationRequestPeerMessage to one peer. */
        std::function<void(const std::string &peerAddress, std::string body, MonotonicTime deadline, Reply done)>
            request;
        /** Tells of a newer version, inside step(); may be empty. */
        std::function<void(const AcceptedDocument &)> changed;
    };

    using AcceptDone = std::function<void(const AcceptOutcome &)>;

    ConfigExchange(Settings settings, Hooks hooks);

    /** Takes what has arrived and does what is due. Call several times a second. */
    void step(MonotonicTime now);

    /** Handles ConfigurationPeerMessage; the reply is empty. */
    std::string handleOffer(const std::string &body);

    /** Handles ConfigurationRequestPeerMessage; the reply is an offer, or empty without a document. */
    std::string handleRequest(const std::string &body) const;

    /** Tells of a peer's version, from gossip. */
    void peerVersion(const std::string &peerAddress, DocumentVersion version);

    /** Writes a new version if the newest one is the request's base; @p done is called inside step(). */
    void accept(AcceptRequest request, AcceptDone done);

    /** The newest document, or nothing. */
    std::shared_ptr<const AcceptedDocument> current() const;

    /** Version of current(); 0 without one. */
    DocumentVersion version() const;

    /** Whether the table or a peer has answered, so that current() is not merely unknown. */
    bool ready() const;

    /** How long ago the table confirmed that there was nothing newer; no value before its first answer. */
    std::optional<Duration> age(MonotonicTime now) const;

private:
    using Work = std::function<void(MonotonicTime now)>;

    struct Acceptance {
        AcceptRequest request;
        AcceptDone done;
        DocumentHead head;
        RowVersion headRow;
        OperationId operation;
    };
    using AcceptancePtr = std::shared_ptr<Acceptance>;

    void post(Work work) const;
    void startHeadRead(MonotonicTime now);
    void takeHead(MonotonicTime now, MonotonicTime sentAt, const std::optional<TableRows> &rows);
    void startTextRead(MonotonicTime now, MonotonicTime sentAt, const DocumentHead &head);
    bool adopt(const DocumentHead &head, const std::string &text);
    void takeOffer(const std::optional<std::string> &body);
    void startAcceptance(const AcceptancePtr &acceptance);
    void checkBase(const AcceptancePtr &acceptance, const std::optional<TableRows> &rows, MonotonicTime now);
    void writeAcceptance(const AcceptancePtr &acceptance);
    void settleAcceptance(const AcceptancePtr &acceptance);
    void takeSettlement(const AcceptancePtr &acceptance, const std::optional<TableRows> &rows, MonotonicTime now);
    void finishAcceptance(const AcceptancePtr &acceptance);
    std::string headKey() const;

    Settings m_settings;
    Hooks m_hooks;
    bool m_reading = false;
    MonotonicTime m_nextRead;
    MonotonicTime m_nextRequest;

    mutable std::mutex m_mutex;
    mutable std::vector<Work> m_inbox;
    std::shared_ptr<const AcceptedDocument> m_current;
    bool m_ready = false;
    std::optional<MonotonicTime> m_confirmedAt;
};

} // namespace coriander
