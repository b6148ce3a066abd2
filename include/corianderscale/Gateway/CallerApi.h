#pragma once

#include "corianderscale/Gateway/Authenticator.h"
#include "corianderscale/Gateway/JobService.h"
#include "corianderscale/Gateway/RequestService.h"

#include <memory>
#include <optional>
#include <string>

namespace coriander {

/**
 * The HTTP interface for callers: authenticates and validates requests and passes them to the services.
 *
 * Thread safety: the gateway's thread.
 */
class CallerApi
{
public:
    CallerApi(RequestService &requests, JobService &jobs);

    void setDocument(std::shared_ptr<const Document> document);
    std::shared_ptr<const Document> document() const;

    /** Refuses new work from now on; work in progress and read requests are still answered. */
    void stopAcceptingWork();

    void postRequest(const HttpRequest &request, const std::string &service, const HttpRespond &respond);
    void getRequest(const HttpRequest &request, const std::string &key, const HttpRespond &respond);
    void postJob(const HttpRequest &request, const HttpRespond &respond);
    void listJobs(const HttpRequest &request, const HttpRespond &respond);
    void getJob(const HttpRequest &request, const std::string &id, const HttpRespond &respond);
    void deleteJob(const HttpRequest &request, const std::string &id, const HttpRespond &respond);

private:
    /** The authenticated caller; otherwise sends the refusal and returns no value. */
    std::optional<CallerKey> authenticate(const HttpRequest &request, const HttpRespond &respond) const;
    /** Whether new work is accepted; otherwise sends the refusal. */
    bool checkAcceptsWork(const HttpRespond &respond) const;

    RequestService &m_requests;
    JobService &m_jobs;
    std::shared_ptr<const Document> m_document;
    std::unique_ptr<Authenticator> m_authenticator;
    bool m_refusesWork = false;
};

} // namespace coriander
