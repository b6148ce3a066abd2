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

/** Names of the peer messages that ConfigExchange sends and handles. */
inline constexpr const char *ConfigurationPeerMessage = "configuration";
inline constexpr const char *ConfigurationRequestPeerMessage = "configuration-request";

/** A document version whose head has been committed to the table. */
struct AcceptedDocument {
    DocumentHead head;
    std::string text;
};

/** Result of an attempt to accept a new version. */
struct AcceptOutcome {
    /**
     * None: accepted. Conflict: another version was accepted first. StoreUnavailable and OverBudget: not accepted.
     * OutcomeUnknown: it is not known whether the version was accepted; the table shows it.
     */
    CoordinationError error;
    /** The accepted version, or for a conflict the version that was accepted instead. */
    DocumentHead head;
};

/** Request of an operator to accept a new version. */
struct AcceptRequest {
    /** The newest version that the operator has seen; 0 when there is none. */
    DocumentVersion base;
    std::string text;
    std::string operatorName;
    std::int64_t acceptedUnixMs = 0;
    MonotonicTime deadline;
};

/**
 * Keeps the newest document of one environment, from the table and from peers. A state machine; the caller passes the
 * current time.
 *
 * A version is accepted only when the table has committed its head. The version held here never decreases. Thread
 * safety: step() from one thread, the other methods from any thread. Calls and completions take effect at the next
 * step(). Precondition: the hooks call no completion after the object has been destroyed, so the store and the peer
 * streams are stopped first.
 */
class ConfigExchange
{
public:
    struct Settings {
        std::string environment;
        /** Interval at which the head is read from the table. */
        Duration readInterval = std::chrono::seconds(2);
        /** Timeout of one call to the table or to a peer. */
        Duration callTimeout = std::chrono::milliseconds(1500);
        /** Delay after a failed call, and minimum time between requests to peers. */
        Duration retryDelay = std::chrono::milliseconds(300);
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
        /** Called inside step() when a newer version has been adopted; may be empty. */
        std::function<void(const AcceptedDocument &)> changed;
    };

    using AcceptDone = std::function<void(const AcceptOutcome &)>;

    ConfigExchange(Settings settings, Hooks hooks);

    /** Processes the inbox and starts the calls that are due. Call it several times a second. */
    void step(MonotonicTime now);

    /** Handles ConfigurationPeerMessage; the reply is empty. */
    std::string handleOffer(const std::string &body);

    /** Handles ConfigurationRequestPeerMessage. The reply is an offer, or empty when there is no document. */
    std::string handleRequest(const std::string &body) const;

    /** Records the document version of a peer, learned by gossip; a newer one is requested from that peer. */
    void handlePeerVersion(const std::string &peerAddress, DocumentVersion version);

    /** Accepts a new version if the newest version equals the request's base. Calls @p done inside step(). */
    void accept(AcceptRequest request, AcceptDone done);

    /** Returns the newest document, or null when none is known. */
    std::shared_ptr<const AcceptedDocument> current() const;

    /** Returns the version of current(), or 0 when none is known. */
    DocumentVersion version() const;

    /** Whether the table or a peer has answered, so that an empty current() means that there is no document. */
    bool isInitialized() const;

    /** Time since the table last confirmed that current() is the newest document; no value before the first answer. */
    std::optional<Duration> timeSinceConfirmation(MonotonicTime now) const;

private:
    using InboxItem = std::function<void(MonotonicTime now)>;

    struct Acceptance {
        AcceptRequest request;
        AcceptDone done;
        DocumentHead head;
        RowVersion headRowVersion;
        OperationId operation;
    };
    using AcceptancePtr = std::shared_ptr<Acceptance>;

    void post(InboxItem item) const;
    void startHeadRead(MonotonicTime now);
    void processHead(MonotonicTime now, MonotonicTime sentAt, const std::optional<TableRows> &rows);
    void startTextRead(MonotonicTime now, MonotonicTime sentAt, const DocumentHead &head);
    bool adopt(const DocumentHead &head, const std::string &text);
    void processOffer(const std::optional<std::string> &body);
    void startAcceptance(const AcceptancePtr &acceptance);
    void checkBase(const AcceptancePtr &acceptance, const std::optional<TableRows> &rows, MonotonicTime now);
    void writeAcceptance(const AcceptancePtr &acceptance);
    void verifyAcceptance(const AcceptancePtr &acceptance);
    void processVerification(const AcceptancePtr &acceptance, const std::optional<TableRows> &rows, MonotonicTime now);
    void finishAcceptance(const AcceptancePtr &acceptance);
    std::string headKey() const;

    Settings m_settings;
    Hooks m_hooks;
    bool m_reading = false;
    MonotonicTime m_nextRead;
    MonotonicTime m_nextRequest;

    mutable std::mutex m_mutex;
    mutable std::vector<InboxItem> m_inbox;
    std::shared_ptr<const AcceptedDocument> m_current;
    bool m_initialized = false;
    std::optional<MonotonicTime> m_confirmedAt;
};

} // namespace coriander
